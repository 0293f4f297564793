"""Measure the cost of one scheduling cycle of a leader, by fleet size.

Every worker sends four heartbeats a second, and jobs arrive at a rate that
keeps part of the fleet busy.  A cycle handles heartbeats of a tenth of the
workers, records ended runs, plans and replies.  Commits are not included:
they are measured elsewhere.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
import time
from collections.abc import Iterable

import msgspec

from bench.figures import Figure, at_most, unbounded
from wigeonreach.jobs import (
    AddJob,
    BeginTerm,
    Command,
    JobSpec,
    JobStore,
    Manifest,
    QueueSpec,
    RecordRuns,
    Run,
    RunEnd,
    ServiceSpec,
    SetManifest,
    StepSpec,
    encode_command,
)
from wigeonreach.scheduling import Scheduler
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import WorkerReport

_BENCH = 'deciding'
_SIZES = (30, 180, 1000)
# Current deployments have four active pools.
_POOLS = 4
_STEPS = 40
_STEP_S = 0.25
_PARTS = 10
_WORKERS_PER_JOB = 40
_US_PER_S = 1_000_000
# Maximum growth of the cost of a heartbeat from 30 to 1,000 workers; before
# leases, VMs and capacities were indexed, it was 11 times.
_MAX_GROWTH = 2.0
_TASK = StepSpec(6, cpu_millicores=2000, memory_mb=512, estimate_ms=600)
_SECOND = msgspec.structs.replace(_TASK, after=(0,))


@dataclasses.dataclass(slots=True)
class _Worker:
    """A stand-in worker and the heartbeats left until each run ends."""

    stand_in: StandInWorker
    left: dict[Run, int] = dataclasses.field(default_factory=dict)

    def report(self) -> WorkerReport:
        """Advance all runs by one heartbeat and return that heartbeat."""
        for run, left in list(self.left.items()):
            self.left[run] = left - 1
            if left <= 1:
                self.left.pop(run)
                self.stand_in.end(run, RunEnd.DONE)
        return self.stand_in.report()


class _Fleet:
    """Workers, jobs and a leader whose commits are immediate."""

    def __init__(self, size: int) -> None:
        self.rng = random.Random(size)  # noqa: S311
        self.size = size
        self.store = JobStore()
        self.now_s = 0.0
        self.spent_s = 0.0
        self.heartbeats = 0
        self._indexes = itertools.count(1)
        self._jobs = itertools.count(1)
        pools = [f'pool-{number}' for number in range(_POOLS)]
        self.commit(SetManifest(_manifest(pools)))
        self.commit(BeginTerm(1))
        self.scheduler = Scheduler(self.store, 1, 0)
        self.workers = [
            _Worker(
                StandInWorker(
                    f'w{number}',
                    f'vm{number}',
                    pools[number % _POOLS],
                ),
            )
            for number in range(size)
        ]

    def commit(self, command: Command) -> None:
        """Apply a command to the store without replication."""
        self.store.apply(next(self._indexes), encode_command(command))

    def step(self) -> None:
        """Simulate a quarter of a second."""
        self.now_s += _STEP_S
        for number in range(max(1, self.size // _WORKERS_PER_JOB)):
            self._submit(number)
        for part in range(_PARTS):
            self._cycle(self.workers[part::_PARTS])

    def _submit(self, number: int) -> None:
        job_id = f'{next(self._jobs):016x}'
        spec = JobSpec(job_id, 'payload', (_TASK, _SECOND))
        self.commit(AddJob(spec, f'queue-{number % _POOLS}'))

    def _cycle(self, heard: list[_Worker]) -> None:
        reports = [worker.report() for worker in heard]
        for report in reports:
            self._hear(report)
        with self._timed():
            self.scheduler.take_lost_runs(self.now_s)
            starts = self.scheduler.plan(self.now_s, 0)
            self.scheduler.plan_moves(self.now_s)
        self.commit(RecordRuns(1, starts=starts))
        for worker in heard:
            self._answer(worker)

    def _hear(self, report: WorkerReport) -> None:
        with self._timed():
            result = self.scheduler.process_heartbeat(report, self.now_s)
        self.heartbeats += 1
        if result is None:
            return
        self.commit(RecordRuns(1, ends=result.ends))
        numbers = [ended.number for ended in report.ended]
        last_end = max((result.incarnation.last_recorded_end, *numbers))
        result.incarnation.last_recorded_end = last_end

    def _answer(self, worker: _Worker) -> None:
        name = worker.stand_in.name
        incarnation = self.scheduler.workers.incarnations[name]
        with self._timed():
            orders = self.scheduler.answers.orders(incarnation, self.now_s)
        for start in worker.stand_in.obey(orders, percent=1):
            run = (start.task, start.run)
            worker.left[run] = self.rng.randint(2, 5)

    def _timed(self) -> _Timed:
        return _Timed(self)


class _Timed:
    """Context manager that adds the block's CPU time to a fleet's total."""

    def __init__(self, fleet: _Fleet) -> None:
        self._fleet = fleet
        self._began_s = 0.0

    def __enter__(self) -> None:
        self._began_s = time.process_time()

    def __exit__(self, *_: object) -> None:
        self._fleet.spent_s += time.process_time() - self._began_s


def run() -> Iterable[Figure]:
    """Yield the cost of a heartbeat at each size, and how it grows."""
    costs_us: list[float] = []
    for size in _SIZES:
        fleet = _Fleet(size)
        for _ in range(_STEPS):
            fleet.step()
        costs_us.append(fleet.spent_s / fleet.heartbeats * _US_PER_S)
        name = f'{size} workers: processor time'
        yield unbounded(_BENCH, name, costs_us[-1], 'us/heartbeat')
    growth = costs_us[-1] / costs_us[0]
    name = f'{_SIZES[-1]} workers over {_SIZES[0]}'
    yield at_most(_BENCH, name, growth, 'ratio', _MAX_GROWTH)


def _manifest(pools: list[str]) -> Manifest:
    queues = tuple(
        QueueSpec(
            f'queue-{number}',
            'jobs.example',
            f'/{number}/',
            pool,
            3000,
            max_failures=2,
            slack_factor=1.6,
            target_latency_ms=3600,
        )
        for number, pool in enumerate(pools)
    )
    services = tuple(ServiceSpec(pool) for pool in pools)
    return Manifest(1, queues, services)
