"""Measure the start delay of urgent jobs and the cost of a placement."""

from __future__ import annotations

import contextlib
import dataclasses
import heapq
import random
import time
from collections.abc import Iterable, Iterator
from unittest import mock

from bench.figures import Figure, at_most, unbounded
from wigeonreach._resources import Resources
from wigeonreach.fleet._placement import Placement
from wigeonreach.fleet._placement_model import (
    Effect,
    Event,
    Job,
    JobSubmitted,
    StartTask,
    StopTask,
    TaskChanged,
    TaskEnd,
    ThrottleTask,
    Tick,
    UsageReported,
    Worker,
    WorkerJoined,
)
from wigeonreach.fleet._placement_yield import RoomMaker

_BENCH = 'urgent'
_BOUND_S = 1.6
_GIB = 1024.0**3
_VM_RESOURCES = Resources(16, 32 * _GIB)
# Time that the platform takes for each action, in seconds.
_START_S = 0.15
_THROTTLE_S = 0.2
_STOP_S = 1.0
_REPORT_LAG_S = 5.0
_WORKERS = 200
_RUN_S = 300.0
_SEEDS = (5, 11, 17)
# Jobs queued from the start, so that the pool is always full.
_BACKLOG = 2500
_ORDINARY_MEAN_S = 600.0
_URGENT_MEAN_S = 20.0
_FIRST_BURST_S = 60
_BURST_EVERY_S = 30
_BURST_JOBS = 60
_SIZES = (40, 400, 4000, 22_000)
_TIMED_EVENTS = 2000
_SCANS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class _Policy:
    """How capacity for urgent jobs is provided."""

    name: str
    held_ratio: float
    preempts: bool


@dataclasses.dataclass(slots=True)
class _Simulation:
    """Simulates five minutes of a full pool under one policy."""

    placement: Placement
    rng: random.Random
    due: list[tuple[float, int, Event]] = dataclasses.field(
        default_factory=list,
    )
    submitted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    delays_s: list[float] = dataclasses.field(default_factory=list)
    served: float = 0.0
    planned: int = 0

    def plan(self, at_s: float, event: Event) -> None:
        """Schedule an event at a time, in seconds."""
        self.planned += 1
        heapq.heappush(self.due, (at_s, self.planned, event))

    def run(self) -> None:
        """Handle all events in chronological order."""
        while self.due and self.due[0][0] < _RUN_S:
            now_s, _, event = heapq.heappop(self.due)
            if isinstance(event, Tick):
                self.plan(now_s + 1, event)
            if self._is_current(event):
                self._perform(self.placement.handle(event, now_s), now_s)

    def late_ratio(self) -> float:
        """Return the share of urgent jobs that did not start in time."""
        late = sum(delay_s > _BOUND_S for delay_s in self.delays_s)
        # A job still waiting at the end is late if its time limit has passed.
        late += sum(
            at_s < _RUN_S - _BOUND_S for at_s in self.submitted_s.values()
        )
        return late / (len(self.delays_s) + len(self.submitted_s))

    def percentile_s(self, ratio: float) -> float:
        """Return a percentile of the start delay of started jobs."""
        ordered = sorted(self.delays_s)
        return ordered[int(len(ordered) * ratio)]

    def _is_current(self, event: Event) -> bool:
        if not isinstance(event, TaskChanged):
            return True
        record = self.placement.job(event.job_id)
        return record is not None and record.lease_token == event.lease_token

    def _perform(self, effects: list[Effect], now_s: float) -> None:
        wait_s = 0.0
        for effect in effects:
            if isinstance(effect, ThrottleTask):
                wait_s = _THROTTLE_S
            elif isinstance(effect, StopTask):
                self._end(effect, TaskEnd.STOPPED, now_s + _STOP_S)
            elif isinstance(effect, StartTask):
                self._start(effect, now_s + wait_s + _START_S)

    def _start(self, effect: StartTask, at_s: float) -> None:
        job = self.jobs[effect.job_id]
        asked_s = self.submitted_s.pop(job.job_id, None)
        if asked_s is not None:
            self.delays_s.append(at_s - asked_s)
        mean_s = _URGENT_MEAN_S if job.is_urgent else _ORDINARY_MEAN_S
        length_s = self.rng.expovariate(1 / mean_s)
        self.served += job.declared.processors * length_s
        self._end(effect, TaskEnd.STARTED, at_s)
        self._end(effect, TaskEnd.FINISHED, at_s + length_s)
        ratio = self.rng.choice((0.2, 0.5, 1))
        used = job.declared.scaled(ratio, ratio)
        report = UsageReported(
            job.job_id,
            effect.lease_token,
            used,
            at_s,
        )
        self.plan(at_s + _REPORT_LAG_S, report)

    def _end(
        self,
        effect: StartTask | StopTask,
        change: TaskEnd,
        at_s: float,
    ) -> None:
        event = TaskChanged(effect.job_id, effect.lease_token, change)
        self.plan(at_s, event)


_POLICIES = (
    _Policy('none', 0, preempts=False),
    _Policy('held', 0.1, preempts=False),
    _Policy('made', 0, preempts=True),
    _Policy('both', 0.1, preempts=True),
)


def run() -> Iterable[Figure]:
    """Return delays by policy and the cost of a placement by size."""
    merged = {policy.name: _simulate_seeds(policy) for policy in _POLICIES}
    none = merged['none']
    for name, each in merged.items():
        figure = unbounded if name in {'none', 'held'} else _bounded
        yield figure(
            _BENCH,
            f'late_ratio_{name}',
            each.late_ratio(),
            'ratio',
            baseline=none.late_ratio(),
        )
        yield unbounded(
            _BENCH,
            f'start_delay_p99_{name}',
            each.percentile_s(0.99),
            's',
            none.percentile_s(0.99),
        )
        yield unbounded(
            _BENCH,
            f'work_served_{name}',
            each.served / none.served,
            'ratio',
            1,
        )
    yield from _slopes()


def _bounded(
    bench: str,
    figure: str,
    measured: float,
    unit: str,
    baseline: float,
) -> Figure:
    return at_most(bench, figure, measured, unit, 0.01, baseline)


def _simulate_seeds(policy: _Policy) -> _Simulation:
    """Simulate all seeds and merge the results into the first."""
    first, *others = (_simulate(policy, seed) for seed in _SEEDS)
    for other in others:
        first.delays_s.extend(other.delays_s)
        first.served += other.served
        first.submitted_s.update(
            {
                f'{id(other)}/{name}': at_s
                for name, at_s in other.submitted_s.items()
            },
        )
    return first


def _simulate(policy: _Policy, seed: int) -> _Simulation:
    rng = random.Random(seed)
    placement = _placement(_WORKERS, policy.held_ratio)
    simulated = _Simulation(placement, rng)
    for at_s, job in _arrivals(random.Random(seed)):
        simulated.jobs[job.job_id] = job
        if job.is_urgent:
            simulated.submitted_s[job.job_id] = at_s
        simulated.plan(at_s, JobSubmitted(job))
    simulated.plan(1, Tick())
    with _preemption(preempts=policy.preempts):
        simulated.run()
    return simulated


@contextlib.contextmanager
def _preemption(*, preempts: bool) -> Iterator[None]:
    if preempts:
        yield
        return
    with (
        mock.patch.object(RoomMaker, 'throttle_for', return_value=(None, [])),
        mock.patch.object(RoomMaker, 'stop_for', return_value=[]),
    ):
        yield


def _arrivals(rng: random.Random) -> Iterator[tuple[float, Job]]:
    for filling in range(_BACKLOG):
        yield 0, _job(rng, filling, is_urgent=False)
    number = _BACKLOG
    for burst_s in range(_FIRST_BURST_S, int(_RUN_S), _BURST_EVERY_S):
        for _ in range(_BURST_JOBS):
            number += 1
            yield burst_s, _job(rng, number, is_urgent=True)


def _job(rng: random.Random, number: int, *, is_urgent: bool) -> Job:
    processors = rng.choice((1, 2, 4) if is_urgent else (2, 4, 8))
    return Job(
        f'job-{number}',
        f'team-{rng.randrange(1200)}',
        f'image-{rng.randrange(300)}',
        'pool',
        Resources(processors, 1.5 * processors * _GIB),
        is_urgent=is_urgent,
        can_wait=rng.randrange(10) < 4,
    )


def _placement(workers: int, held_ratio: float) -> Placement:
    quotas = {f'team-{number}': 16.0 for number in range(1200)}
    placement = Placement(quotas, held_ratio=held_ratio)
    for number in range(workers):
        worker = Worker(f'vm-{number}', 'pool', 'a', 'a-0', _VM_RESOURCES)
        placement.handle(WorkerJoined(worker), 0)
    return placement


def _slopes() -> Iterable[Figure]:
    cost_us = {size: _cost_us(size) for size in _SIZES}
    for size, cost in cost_us.items():
        yield unbounded(_BENCH, f'placement_cost_{size}', cost, 'us')
    smallest, largest = _SIZES[0], _SIZES[-1]
    growth = cost_us[largest] / cost_us[smallest]
    scan_growth = _scan_us(largest) / _scan_us(smallest)
    yield at_most(
        _BENCH,
        f'cost_growth_{smallest}_to_{largest}',
        growth,
        'ratio',
        4,
        scan_growth,
    )


def _cost_us(workers: int) -> float:
    """Return the median cost of a submission or an end in a full pool."""
    rng = random.Random(3)
    placement = _placement(workers, 0)
    running = [f'fill-{number}' for number in range(2 * workers)]
    for name in running:
        placement.handle(JobSubmitted(_sized(name)), 0)
    spent_s: list[float] = []
    for number in range(_TIMED_EVENTS):
        index = rng.randrange(len(running))
        record = placement.job(running[index])
        assert record is not None
        running[index] = f'next-{number}'
        ended = TaskChanged(
            record.job.job_id,
            record.lease_token,
            TaskEnd.FINISHED,
        )
        begun_s = time.perf_counter()
        placement.handle(ended, 1)
        placement.handle(JobSubmitted(_sized(running[index])), 1)
        spent_s.append(time.perf_counter() - begun_s)
    return sorted(spent_s)[len(spent_s) // 2] / 2 * 1e6


def _scan_us(workers: int) -> float:
    """Return the cost of scanning all workers for the tightest fit."""
    workers_free = [
        Resources(16 * (number % 3) / 2, _GIB) for number in range(workers)
    ]
    need = Resources(8, _GIB)
    begun_s = time.perf_counter()
    for _ in range(_SCANS):
        min(
            (free.processors for free in workers_free if free.covers(need)),
            default=0.0,
        )
    return (time.perf_counter() - begun_s) / _SCANS * 1e6


def _sized(name: str) -> Job:
    return Job(name, 'team-0', 'image', 'pool', Resources(8, 8 * _GIB))
