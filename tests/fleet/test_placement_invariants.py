"""Test invariants of job placement under random sequences of events."""

from __future__ import annotations

import dataclasses
import random
from typing import Any
from unittest import mock

import hypothesis
import testtools
from hypothesis import strategies

from tests.builders_placement import GIB, build_job, build_placement
from wigeonreach._resources import Resources
from wigeonreach.fleet._placement import LEASE_S, Placement
from wigeonreach.fleet._placement_index import ResourceIndex
from wigeonreach.fleet._placement_model import (
    Job,
    JobsCancelled,
    JobSubmitted,
    ReportRun,
    StartTask,
    TaskChanged,
    TaskEnd,
    Tick,
    UsageReported,
    WorkerHeard,
    WorkerLost,
)

_WORKERS = 3
_STEPS = 120


@dataclasses.dataclass(slots=True)
class _Task:
    worker: str
    token: int
    lease_ends_s: float


class _Platform:
    """Simulated platform with its own record of the running tasks."""

    def __init__(self, rng: random.Random) -> None:
        """Start without running tasks."""
        self.rng = rng
        self.now_s = 0.0
        self.placement = build_placement(_WORKERS, quotas={'a': 8, 'b': 40})
        self.running: dict[str, _Task] = {}
        self.begun: set[str] = set()
        self.lost: set[str] = set()
        self.jobs: dict[str, Job] = {}

    def send(self, event: Any) -> None:
        """Send an event to the placement and check each effect."""
        for effect in self.placement.handle(event, self.now_s):
            if isinstance(effect, StartTask):
                self._start(effect)
            if isinstance(effect, ReportRun):
                assert not self.jobs[effect.job_id].is_idempotent

    def _start(self, effect: StartTask) -> None:
        job = self.jobs[effect.job_id]
        old = self.running.get(effect.job_id)
        assert old is None or old.lease_ends_s < self.now_s, 'runs twice'
        assert effect.worker not in self.lost, 'started on a lost worker'
        if not job.is_idempotent:
            assert effect.job_id not in self.begun, 'billing ran twice'
        state = self.placement.pool('pool').workers.state(effect.worker)
        used = sum(
            (
                allocation.allocated.memory_bytes
                for allocation in state.allocations.values()
            ),
        )
        assert used <= state.worker.resources.memory_bytes + 1, (
            'over its resources'
        )
        ends_s = self.now_s + LEASE_S
        task = _Task(effect.worker, effect.lease_token, ends_s)
        self.running[effect.job_id] = task

    def step(self) -> None:
        """Advance the clock and send one random event."""
        self.now_s += self.rng.choice((0.1, 1, 20))
        self.rng.choice(
            (self._submit, self._submit, self._end, self._end, self._usage)
            + (self._lose, self._hear, self._hear, self._cancel, self._tick),
        )()

    def _submit(self) -> None:
        job = build_job(
            f'job-{len(self.jobs)}',
            self.rng.choice((1, 4, 15, 40, 200)),
            team=self.rng.choice('ab'),
            is_urgent=not self.rng.randrange(5),
            can_wait=not self.rng.randrange(2),
            is_idempotent=bool(self.rng.randrange(3)),
        )
        self.jobs[job.job_id] = job
        self.send(JobSubmitted(job))

    def _end(self) -> None:
        if not self.running:
            return
        job_id = self.rng.choice(sorted(self.running))
        task = self.running[job_id]
        if task.worker in self.lost:
            return
        changes = list(TaskEnd)
        if job_id in self.begun:
            changes.remove(TaskEnd.NOT_STARTED)
        change = self.rng.choice(changes)
        if change is TaskEnd.STARTED:
            self.begun.add(job_id)
        else:
            self.running.pop(job_id)
        if change not in {TaskEnd.STARTED, TaskEnd.NOT_STARTED}:
            self.begun.add(job_id)
        event = TaskChanged(job_id, task.token, change)
        self.send(event)
        # Reports may be duplicated.
        self.send(event)

    def _usage(self) -> None:
        if not self.running:
            return
        job_id = self.rng.choice(sorted(self.running))
        processors = self.rng.choice((0.5, 2, 8))
        used = Resources(processors, processors * GIB)
        token = self.running[job_id].token
        self.send(UsageReported(job_id, token, used, self.now_s))

    def _lose(self) -> None:
        name = f'vm-{self.rng.randrange(_WORKERS)}'
        self.lost.add(name)
        self.send(WorkerLost(name))

    def _hear(self) -> None:
        name = f'vm-{self.rng.randrange(_WORKERS)}'
        self.lost.discard(name)
        for task in self.running.values():
            # The platform renews only leases that have not yet expired.
            if task.worker == name and task.lease_ends_s >= self.now_s:
                task.lease_ends_s = self.now_s + LEASE_S
        self.send(WorkerHeard(name))

    def _cancel(self) -> None:
        if self.jobs:
            names = self.rng.sample(sorted(self.jobs), 1)
            self.send(JobsCancelled(tuple(names)))

    def _tick(self) -> None:
        self.send(Tick())


def _run(seed: int) -> None:
    platform = _Platform(random.Random(seed))
    for _ in range(_STEPS):
        platform.step()


def _run_many() -> None:
    for seed in range(60):
        _run(seed)


class TestInvariants(testtools.TestCase):
    """Jobs run once and within the resources of their worker."""

    @hypothesis.seed(1)
    @hypothesis.settings(database=None, deadline=None, max_examples=150)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_any_order(self, seed: int) -> None:
        """No event order runs a job twice or overcommits a worker's memory."""
        _run(seed)

    def test_finds_early_restart(self) -> None:
        """The check detects a restart before the lease has expired."""
        with mock.patch.object(Placement, '_lease_end_s', return_value=0):
            self.assertRaises(AssertionError, _run_many)

    def test_finds_non_idempotent_restart(self) -> None:
        """The check detects a non-idempotent job that starts again."""
        module = 'wigeonreach.fleet._placement_jobs._ENDS_WITHOUT_PROOF'
        with mock.patch(module, frozenset()):
            self.assertRaises(AssertionError, _run_many)

    def test_finds_full_worker(self) -> None:
        """The check detects a job on a worker without enough memory."""
        find = ResourceIndex.find

        def find_ignoring_memory(
            index: ResourceIndex,
            need: Resources,
            *others: Any,
        ) -> str | None:
            return find(index, Resources(need.processors, 0), *others)

        with mock.patch.object(ResourceIndex, 'find', find_ignoring_memory):
            self.assertRaises(AssertionError, _run_many)
