"""Build workers that restart under their id, as the platform tells of them."""

from __future__ import annotations

import collections
import dataclasses
import json
from types import MappingProxyType

from tests.builders_jobs import JOB, QUEUE, FakeLead
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
    """A worker that keeps its id, and says when it started."""

    born_ms: int | None = BORN_MS

    @property
    def last_report(self) -> WorkerReport:
        """Its newest heartbeat, as it is read from the platform's body."""
        return decode_heartbeat(self.name, json.dumps(self._body()).encode())

    def start_again(self, after_s: float = 1.0) -> None:
        """Start again under the id, a while after the last start."""
        assert self.born_ms is not None
        self.restart(self.born_ms + int(after_s * _MS_PER_S))

    def _body(self) -> dict[str, object]:
        told: dict[str, object] = {
            'service': self.service,
            'address': '10.0.0.9:8080',
            'zone': self.zone,
            'sequence': self.sequence,
            'state': 'draining' if self.is_draining else 'ready',
            'machine': self.vm,
            'labels': [self.kind, self.rack],
            'capacity': {'cpu': self.cpu_millicores, 'memMb': self.memory_mb},
            'running': [
                [_name(row.task), row.run, row.checkpoint, row.percent]
                for row in self.running.values()
            ],
            'finished': [_end_row(ended) for ended in self.ended],
        }
        if self.born_ms is not None:
            told['born'] = self.born_ms
        return told


class WorkingFleet:
    """A lead whose workers end well, a round later, all that they begin.

    Parameters
    ----------
    store
        The replicated state.
    workers
        Who is there.

    Attributes
    ----------
    begun
        How often each task was begun.
    """

    def __init__(self, store: JobStore, *workers: StandInWorker) -> None:
        """Begin nothing yet."""
        self.store = store
        self.workers = workers
        self.lead = FakeLead(store, workers)
        self.begun = collections.Counter[TaskKey]()

    def run(self, rounds: int) -> None:
        """Let tasks begin and end well."""
        for _ in range(rounds):
            self.lead.round()
            for worker in self.workers:
                self.begun.update(task for task, _ in worker.running)
                for run in list(worker.running):
                    worker.end(run, RunEnd.DONE)

    def lead_anew(self) -> None:
        """Let another process lead, which has heard nobody."""
        self.lead = FakeLead(
            self.store,
            self.workers,
            self.lead.term + 1,
            self.lead.now_s,
        )

    def accept(self, spec: JobSpec) -> None:
        """Accept another job."""
        commit(self.store, AddJob(spec, QUEUE))

    def phase(self, job_id: str = JOB) -> JobPhase:
        """Return how far a job is."""
        return self.store.jobs[job_id].phase


def platform_workers(count: int) -> list[PlatformWorker]:
    """Return workers on VMs of their own."""
    return [
        PlatformWorker(f'i-{number}', f'vm{number}') for number in range(count)
    ]


def next_life(worker: StandInWorker) -> StandInWorker:
    """Return a worker of the platform after it has started again."""
    assert isinstance(worker, PlatformWorker)
    worker.start_again()
    return worker


def _end_row(ended: EndedRun) -> list[object]:
    return [ended.number, _name(ended.task), ended.run, _ENDS[ended.end], '']


def _name(key: TaskKey) -> str:
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'
