"""Build platform workers that restart under the same id."""

from __future__ import annotations

import collections
import dataclasses
import json
from types import MappingProxyType

import msgspec

from tests.builders_jobs import JOB, QUEUE, FakeLead
from tests.builders_platform import heartbeat
from wigeonreach.jobs import (
    AddJob,
    JobPhase,
    JobSpec,
    JobStore,
    RunEnd,
    TaskKey,
)
from wigeonreach.lab import commit
from wigeonreach.platform._workers import decode_heartbeat
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import EndedRun, WorkerReport

# The time of day of a worker's first start, in milliseconds since 1970.
BORN_MS = 1_764_740_000_000
_MS_PER_S = 1000
_ENDS = MappingProxyType(
    {
        RunEnd.DONE: 'done',
        RunEnd.FAILED: 'failed',
        RunEnd.STOPPED: 'stopped',
        RunEnd.LAPSED: 'lapsed',
        RunEnd.REFUSED: 'refused',
    },
)


@dataclasses.dataclass(slots=True)
class PlatformWorker(StandInWorker):
    """A worker that keeps its id and reports when it started."""

    born_ms: int | None = BORN_MS

    @property
    def last_report(self) -> WorkerReport:
        """Its newest heartbeat, decoded from the platform's body.

        The body's clock stands still; the decoded one is this worker's.
        """
        body = json.dumps(self._body()).encode()
        report = decode_heartbeat(self.name, body)
        return msgspec.structs.replace(report, clock_ms=self.clock_ms)

    def start_again(self, after_s: float = 1.0) -> None:
        """Restart under the same id, a while after the last start."""
        assert self.born_ms is not None
        self.restart(self.born_ms + int(after_s * _MS_PER_S))

    def _body(self) -> dict[str, object]:
        body: dict[str, object] = {
            **heartbeat(),
            'service': self.service,
            'zone': self.zone,
            'sequence': self.sequence,
            'state': 'draining' if self.is_draining else 'ready',
            'machine': self.vm,
            'labels': [self.kind, self.rack],
            'capacity': {
                'cpu': self.cpu_millicores,
                'memMb': self.memory_mb,
                'gpu': 0,
            },
            'running': [
                [_name(row.task), row.run, row.checkpoint, row.percent]
                for row in self.running.values()
            ],
            'finished': [_end_row(ended) for ended in self.ended],
        }
        if self.born_ms is not None:
            body['born'] = self.born_ms
        return body


class WorkingFleet:
    """A leader whose workers complete every run in the round that starts it.

    Parameters
    ----------
    store
        The replicated state.
    workers
        The workers.

    Attributes
    ----------
    begun
        How often each task was started.
    """

    def __init__(self, store: JobStore, *workers: StandInWorker) -> None:
        """Start without any run."""
        self.store = store
        self.workers = workers
        self.lead = FakeLead(store, workers)
        self.begun = collections.Counter[TaskKey]()

    def run(self, rounds: int) -> None:
        """Simulate rounds in which tasks start and succeed."""
        for _ in range(rounds):
            self.lead.round()
            for worker in self.workers:
                self.begun.update(task for task, _ in worker.running)
                for run in list(worker.running):
                    worker.end(run, RunEnd.DONE)

    def change_leader(self) -> None:
        """Replace the leader by one that has heard no worker yet."""
        self.lead = FakeLead(
            self.store,
            self.workers,
            self.lead.term + 1,
            self.lead.now_s,
        )

    def accept(self, spec: JobSpec) -> None:
        """Submit another job."""
        commit(self.store, AddJob(spec, QUEUE))

    def phase(self, job_id: str = JOB) -> JobPhase:
        """Return the phase of a job."""
        return self.store.jobs[job_id].phase


def platform_workers(count: int) -> list[PlatformWorker]:
    """Return workers, each on its own VM."""
    return [
        PlatformWorker(f'i-{number}', f'vm{number}') for number in range(count)
    ]


def next_life(worker: StandInWorker) -> StandInWorker:
    """Restart a worker of the platform, and return it."""
    assert isinstance(worker, PlatformWorker)
    worker.start_again()
    return worker


def _end_row(ended: EndedRun) -> list[object]:
    return [ended.number, _name(ended.task), ended.run, _ENDS[ended.end], '']


def _name(key: TaskKey) -> str:
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'
