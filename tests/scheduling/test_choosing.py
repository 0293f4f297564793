"""Test that ranking a step's workers once chooses as asking anew each time."""

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
from wigeonreach.scheduling._choosing import Ranking, best_room
from wigeonreach.scheduling._incarnation import Incarnation, room_of
from wigeonreach.scheduling._placing import Plan
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._ready import ReadyStep, ReadySteps
from wigeonreach.scheduling._room_left import WorkerRoom, room_left
from wigeonreach.scheduling._suspects import Suspects
from wigeonreach.standins import StandInWorker

_DRAWS = 200
_RACKS = ('near', 'far')


def _rooms(rng: random.Random, store: JobStore) -> list[WorkerRoom]:
    rooms: list[WorkerRoom] = []
    for number in range(rng.randint(1, 8)):
        worker = StandInWorker(f'w{number}', f'vm{number}')
        worker.cpu_millicores = rng.choice((1000, 4000, 16_000))
        worker.rack = rng.choice(_RACKS)
        report = worker.report()
        incarnation = Incarnation(report, 0, 0, room_of(report))
        room = room_left(incarnation, store, ProgressWatch())
        room.is_slow = not rng.randrange(5)
        room.serving = rng.randint(0, 1)
        room.has_target = bool(room.serving)
        rooms.append(room)
    return rooms


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
    return ready.in_order(0, 0, {})[0]


class TestRanking(testtools.TestCase):
    """Steps of unlike tasks on workers of unlike room."""

    def test_choice_is_that_of_asking_all_workers_each_time(self) -> None:
        """For each task the same worker, or none, as a look at all."""
        for seed in range(_DRAWS):
            rng = random.Random(seed)
            store = store_with(job(_step(rng)))
            ready = _ready(store)
            state = rng.getstate()
            ranked = _rooms(rng, store)
            rng.setstate(state)
            looked_at = _rooms(rng, store)
            ranking = Ranking(ready, ranked)
            for index in ready.waiting:
                found = _put(ranking.best(key(index)), ready, index)
                looked = best_room(ready, key(index), looked_at)
                expected = _put(looked, ready, index)
                place = f'seed {seed}, task {index}'
                self.assertThat(found, matchers.Equals(expected), place)


def _put(room: WorkerRoom | None, ready: ReadyStep, index: int) -> str:
    """Put a task on a worker; return its name, or nothing without one."""
    if room is None:
        return ''
    room.add(key(index), ready.spec)
    return room.incarnation.report.worker


class TestBesideServing(testtools.TestCase):
    """A worker with a serving task, and an empty one."""

    def _worker_of_batch(self, latency_target_ms: int) -> str:
        """Return where a small batch task is put."""
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

    def test_timed_answers_are_left_alone(self) -> None:
        """What runs beside them may make them late."""
        self.assertThat(self._worker_of_batch(100), matchers.Equals('w1'))

    def test_others_share_their_worker(self) -> None:
        """It stays up for them anyway."""
        self.assertThat(self._worker_of_batch(0), matchers.Equals('w0'))


def _ranking_of_all(
    plan: Plan,
    ready: ReadyStep,
    rooms: list[WorkerRoom],
) -> Ranking:
    return Ranking(ready, rooms)


def _full_pool_starts(seed: int) -> list[tuple[str, str]]:
    """Return what starts where in a pool that many jobs ask for too much of."""
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
    """Many steps that find no room in one plan."""

    def test_serving_task_that_may_not_start_makes_no_room(self) -> None:
        """Nothing is stopped for one that waits until its losses are explained."""
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

    def test_step_that_is_not_tried_would_find_no_room(self) -> None:
        """The same starts as with a look at all workers for each step."""
        for seed in range(_DRAWS):
            found = _full_pool_starts(seed)
            with mock.patch.object(Plan, '_ranking', _ranking_of_all):
                expected = _full_pool_starts(seed)
            self.assertThat(found, matchers.Equals(expected), f'seed {seed}')
