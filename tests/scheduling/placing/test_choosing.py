"""Test that a ranking made once per step chooses the same workers."""

from __future__ import annotations

import random
from unittest import mock

import testtools
from testtools import matchers

from tests.builders_jobs import (
    OTHER_JOB,
    QUEUE,
    FakeLead,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob, JobStore, StepSpec
from wigeonreach.lab import commit
from wigeonreach.scheduling._incarnation import Incarnation, resources_of
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._ready import ReadyStep, ReadySteps
from wigeonreach.scheduling._suspects import Suspects
from wigeonreach.scheduling.placing._choosing import WorkerRanking, best_worker
from wigeonreach.scheduling.placing._placing import Plan
from wigeonreach.scheduling.placing._worker_capacity import (
    WorkerCapacity,
    worker_capacity,
)
from wigeonreach.standins import StandInWorker

_DRAWS = 200
_RACKS = ('near', 'far')


def _capacities(rng: random.Random, store: JobStore) -> list[WorkerCapacity]:
    capacities: list[WorkerCapacity] = []
    for number in range(rng.randint(1, 8)):
        worker = StandInWorker(f'w{number}', f'vm{number}')
        worker.cpu_millicores = rng.choice((1000, 4000, 16_000))
        worker.rack = rng.choice(_RACKS)
        report = worker.report()
        incarnation = Incarnation(report, 0, 0, resources_of(report))
        capacity = worker_capacity(incarnation, store, ProgressTracker())
        capacity.is_slow = not rng.randrange(5)
        capacity.serving = rng.randint(0, 1)
        capacity.has_target = bool(capacity.serving)
        capacities.append(capacity)
    return capacities


def _step(rng: random.Random) -> StepSpec:
    return step(
        rng.randint(1, 12),
        cpu_millicores=rng.choice((500, 2000)),
        spread_limit=rng.choice((0, 0, 1, 2)),
        data_rack=rng.choice(('', 'near')),
    )


def _ready(store: JobStore) -> ReadyStep:
    ready = ReadySteps()
    ready.refresh(store, 0, 0)
    return ready.by_priority(0, 0, {})[0]


class TestRanking(testtools.TestCase):
    """Random steps on workers of different capacity."""

    def test_choice_equals_that_of_all_workers_per_task(self) -> None:
        """Each task gets the worker that a full comparison chooses."""
        for seed in range(_DRAWS):
            rng = random.Random(seed)
            store = store_with(job(_step(rng)))
            ready = _ready(store)
            state = rng.getstate()
            ranked = _capacities(rng, store)
            rng.setstate(state)
            compared = _capacities(rng, store)
            ranking = WorkerRanking(ready, ranked)
            for index in ready.waiting_tasks:
                found = _place(ranking.best(key(index)), ready, index)
                chosen = best_worker(ready, key(index), compared)
                expected = _place(chosen, ready, index)
                message = f'seed {seed}, task {index}'
                self.assertThat(found, matchers.Equals(expected), message)


def _place(worker: WorkerCapacity | None, ready: ReadyStep, index: int) -> str:
    """Place a task on a worker; return its name, or '' without one."""
    if worker is None:
        return ''
    worker.add(key(index), ready.spec)
    return worker.incarnation.report.worker


class TestBesideServing(testtools.TestCase):
    """A worker with a serving task, and an empty one."""

    def _worker_of_batch(self, latency_target_ms: int) -> str:
        """Return the worker on which a small batch task is placed."""
        serving = serving_step(1, latency_target_ms=latency_target_ms)
        store = store_with(job(serving), job(step(1), job_id=OTHER_JOB))
        busy = StandInWorker('w0', 'vm0')
        lead = FakeLead(store, (busy, StandInWorker('w1', 'vm1')))
        lead.round()
        return next(
            worker.name
            for worker in lead.workers.values()
            if any(task.job_id == OTHER_JOB for task, _ in worker.running)
        )

    def test_batch_avoids_tasks_with_latency_target(self) -> None:
        """Batch work beside them may increase their latency."""
        self.assertThat(self._worker_of_batch(100), matchers.Equals('w1'))

    def test_batch_shares_worker_with_other_serving_tasks(self) -> None:
        """The worker stays up for them anyway."""
        self.assertThat(self._worker_of_batch(0), matchers.Equals('w0'))


def _ranking_of_all(
    plan: Plan,
    ready: ReadyStep,
    workers: list[WorkerCapacity],
) -> WorkerRanking:
    return WorkerRanking(ready, workers)


def _full_pool_starts(seed: int) -> list[tuple[str, str]]:
    """Return the starts on a pool with more jobs than it can run."""
    rng = random.Random(seed)
    specs = [
        job(_step(rng), _step(rng), job_id=f'{number:016x}')
        for number in range(30)
    ]
    lead = FakeLead(store_with(*specs), workers(3))
    for worker in lead.workers.values():
        worker.cpu_millicores = rng.choice((4000, 8000))
        worker.rack = rng.choice(_RACKS)
        lead.hear(worker)
    return [(str(start.task), start.worker) for start in lead.plan()]


class TestFullPools(testtools.TestCase):
    """Many steps that fit on no worker in one plan."""

    def test_blocked_serving_task_preempts_nothing(self) -> None:
        """No run is stopped for a task whose losses are unexplained."""
        batch = job(step(16, estimate_ms=60_000))
        lead = FakeLead(store_with(batch), workers(1))
        lead.round()
        commit(
            lead.store, AddJob(job(serving_step(1), job_id=OTHER_JOB), QUEUE)
        )
        with mock.patch.object(Suspects, 'must_wait', lambda *_: True):
            lead.round()
        self.assertThat(lead.scheduler.stopping, matchers.Equals(set()))
        lead.round()
        self.assertThat(lead.scheduler.stopping, matchers.HasLength(1))

    def test_skipped_step_would_not_fit(self) -> None:
        """The starts are the same without skipping any step."""
        for seed in range(_DRAWS):
            found = _full_pool_starts(seed)
            with mock.patch.object(Plan, '_ranking', _ranking_of_all):
                expected = _full_pool_starts(seed)
            self.assertThat(found, matchers.Equals(expected), f'seed {seed}')
