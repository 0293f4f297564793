"""Test starts on workers whose resources shrink and grow again.

A worker may report fewer resources than before.  If it does not enforce them,
each start that does not fit disturbs its other runs.  Starts must therefore
fit into the resources in its newest heartbeat, beside all runs that are
listed, being stopped or assigned.
"""

from __future__ import annotations

import random

import testtools
from testtools import matchers

from tests.builders_jobs import (
    FakeLead,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import JobStore, RunEnd, TaskPhase
from wigeonreach.standins import StandInWorker

_FULL = 16_000
_HALF = 8000
_DRAWS = 60


def _used(worker: StandInWorker, store: JobStore) -> int:
    """Return the millicores that the runs on a worker use."""
    return sum(
        store.jobs[task.job_id].step_spec(task).cpu_millicores
        for task, _ in worker.running
    )


class TestShrinkingCapacity(testtools.TestCase):
    """A worker with fewer resources than before."""

    def test_shrunk_worker_takes_only_what_fits(self) -> None:
        """The change counts from the heartbeat that reports it."""
        store = store_with(job(step(16)))
        lead = FakeLead(store, workers(1))
        lead.workers['w0'].cpu_millicores = _HALF
        lead.round()
        lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(8))

    def test_shrunk_worker_keeps_what_runs_and_takes_nothing(self) -> None:
        """Its runs continue, and none is added until there is capacity again."""
        store = store_with(job(step(20)))
        lead = FakeLead(store, workers(1))
        worker = lead.workers['w0']
        lead.round()
        worker.cpu_millicores = _HALF
        for index in range(8):
            worker.end((key(index), 1), RunEnd.DONE)
        for _ in range(5):
            lead.round()
        self.assertThat(worker.running, matchers.HasLength(8))
        worker.cpu_millicores = _FULL
        lead.round()
        self.assertThat(worker.running, matchers.HasLength(12))

    def test_assigned_start_is_withdrawn_when_it_fits_no_more(self) -> None:
        """It was recorded, but had not begun when the resources shrank."""
        store = store_with(job(step(16)))
        lead = FakeLead(store, workers(1))
        worker = lead.workers['w0']
        lead.hear(worker)
        lead.plan()
        worker.cpu_millicores = _HALF
        lead.round()
        self.assertThat(worker.running, matchers.HasLength(8))
        waiting = [
            task
            for task in store.jobs[key().job_id].occurrences[0][0]
            if task.phase is TaskPhase.WAITING
        ]
        self.assertThat(waiting, matchers.HasLength(8))

    def test_what_is_being_stopped_counts_on_a_shrunk_worker(self) -> None:
        """Its resources are free once its end is listed, not before."""
        store = store_with(job(step(16)), job(step(8), job_id='b' * 16))
        lead = FakeLead(store, workers(1))
        worker = lead.workers['w0']
        lead.round()
        worker.cpu_millicores = _HALF
        lead.cancel()
        # Stops were ordered, but no end is listed yet.
        lead.hear(worker)
        self.assertThat(lead.plan(), matchers.HasLength(0))

    def test_serving_tasks_wait_for_capacity_too(self) -> None:
        """They precede batch work, but don't exceed a worker's resources."""
        store = store_with(
            job(serving_step(2, cpu_millicores=9000, spread_limit=0)),
        )
        lead = FakeLead(store, workers(1))
        lead.workers['w0'].cpu_millicores = _HALF
        for _ in range(3):
            lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))

    def test_no_start_goes_over_the_reported_capacity(self) -> None:
        """Many random runs, in which resources change with every heartbeat."""
        for seed in range(_DRAWS):
            rng = random.Random(seed)
            jobs = [
                job(
                    step(8, cpu_millicores=rng.choice((500, 2000, 5000))),
                    job_id=f'{number:016x}',
                )
                for number in range(6)
            ]
            store = store_with(*jobs)
            lead = FakeLead(store, workers(3))
            for _ in range(40):
                self.pass_round(lead, store, rng, seed)

    def pass_round(
        self,
        lead: FakeLead,
        store: JobStore,
        rng: random.Random,
        seed: int,
    ) -> None:
        """Change resources, end runs, and check each start."""
        for worker in lead.workers.values():
            worker.cpu_millicores = rng.choice((1000, 4000, _HALF, _FULL))
            for run in list(worker.running):
                if not rng.randrange(4):
                    worker.end(run, RunEnd.DONE)
        before = {
            worker.name: set(worker.running) for worker in lead.workers.values()
        }
        lead.round()
        for after in lead.workers.values():
            if set(after.running) - before[after.name]:
                self.assertThat(
                    _used(after, store),
                    matchers.LessThan(after.cpu_millicores + 1),
                    f'seed {seed}, {after.name}',
                )
