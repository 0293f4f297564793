"""Test which jobs of an overloaded pool still finish on time.

For some seconds a queue asks for several times what its pool can do.  Each job
is of full use for a few seconds only, and a tenth of the jobs are many times as
large as the others.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from unittest import mock

import testtools
from testtools import matchers

from tests.builders_jobs import (
    QUEUE,
    FakeLead,
    job,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob, JobPhase, JobSpec, Run, RunEnd
from wigeonreach.lab import commit
from wigeonreach.scheduling import _ready
from wigeonreach.scheduling._objectives import objective_s
from wigeonreach.scheduling.shortage._triage import (
    PendingOccurrence,
    deferred_occurrences,
)
from wigeonreach.standins import StandInWorker

_STEP_S = 0.1
_PEAK_S = 4.0
_LENGTH_S = 16.0
_TASK_S = 0.6
_JOBS_PER_STEP = 8
_POOL = 4
_SEEDS = range(3)
_EMPTY = matchers.HasLength(0)


def _defer_nothing(*_: object) -> set[tuple[str, int]]:
    return set()


def _pending(job_id: str, work_s: float, due_s: float) -> PendingOccurrence:
    return PendingOccurrence(job_id, work_s, due_s, 0.5)


class TestDeferredOccurrences(testtools.TestCase):
    """One pool of ten usable processors, at second 0."""

    def _deferred(self, *jobs: PendingOccurrence) -> set[str]:
        waiting = deferred_occurrences(jobs, 10 / 0.85, 0)
        self.assertThat({number for _, number in waiting} - {0}, _EMPTY)
        return {job_id for job_id, _ in waiting}

    def test_nothing_is_deferred_while_all_fit(self) -> None:
        """Forty processor seconds are available until second 4."""
        waiting = self._deferred(_pending('a', 20, 4), _pending('b', 20, 4))
        self.assertThat(waiting, matchers.Equals(set()))

    def test_largest_job_is_deferred(self) -> None:
        """Three jobs finish on time instead of one or none."""
        waiting = self._deferred(
            _pending('large', 30, 4),
            *(_pending(name, 12, 4) for name in 'abc'),
        )
        self.assertThat(waiting, matchers.Equals({'large'}))

    def test_large_job_with_more_time_is_kept(self) -> None:
        """It runs after the others, and still finishes on time."""
        waiting = self._deferred(
            _pending('large', 30, 8),
            *(_pending(name, 12, 4) for name in 'abc'),
        )
        self.assertThat(waiting, matchers.Equals(set()))

    def test_job_that_is_late_anyway_is_deferred(self) -> None:
        """Its critical path alone takes too long."""
        late = PendingOccurrence('late', 1, 4, 5)
        self.assertThat(self._deferred(late), matchers.Equals({'late'}))


class TestClaimants(testtools.TestCase):
    """Workspaces that share ten usable processors by their weights."""

    def _deferred(
        self, *jobs: PendingOccurrence, **weights: float
    ) -> collections.Counter[str]:
        by_id = {job.occurrence_id: job for job in jobs}
        waiting = deferred_occurrences(jobs, 10 / 0.85, 0, weights)
        return collections.Counter(by_id[name].workspace for name in waiting)

    def _claim(
        self, workspace: str, jobs: int, work_s: float = 4
    ) -> list[PendingOccurrence]:
        return [
            PendingOccurrence(
                f'{workspace}-{number}', work_s, 4, 0.5, workspace=workspace
            )
            for number in range(jobs)
        ]

    def test_flood_defers_only_its_own_jobs(self) -> None:
        """Others stay within a third of the 40 processor seconds."""
        deferred = self._deferred(
            *self._claim('flood', 30),
            *self._claim('club', 3),
            *self._claim('school', 1, work_s=12),
        )
        self.assertThat(deferred, matchers.Equals({'flood': 26}))

    def test_unused_share_goes_to_who_asks(self) -> None:
        """Nothing is deferred while all fit, whatever their weights."""
        deferred = self._deferred(
            *self._claim('flood', 9), *self._claim('club', 1), club=8
        )
        self.assertThat(deferred, matchers.Equals({}))

    def test_weights_count(self) -> None:
        """Three quarters of the processors belong to the club."""
        jobs = (*self._claim('club', 20), *self._claim('school', 20))
        deferred = self._deferred(*jobs, club=3, school=1)
        self.assertThat(deferred, matchers.Equals({'club': 12, 'school': 18}))
        changed = self._deferred(*jobs, club=1, school=1)
        self.assertThat(changed, matchers.Equals({'club': 15, 'school': 15}))

    def test_two_floods_leave_the_others_alone(self) -> None:
        """Both give way, none of the third."""
        deferred = self._deferred(
            *self._claim('flood', 30),
            *self._claim('second', 20),
            *self._claim('club', 3),
        )
        self.assertThat(sum(deferred.values()), matchers.Equals(43))
        self.assertThat(deferred['club'], matchers.Equals(0))

    def test_flood_by_all_defers_the_largest(self) -> None:
        """As many jobs are in time as without any claimants."""
        rng = random.Random(1)
        jobs = [
            PendingOccurrence(
                f'{number}',
                rng.expovariate(1 / 4),
                rng.uniform(2, 6),
                0.5,
                workspace=f'club-{number % 5}',
            )
            for number in range(60)
        ]
        alone = [dataclasses.replace(job, workspace='') for job in jobs]
        waiting = deferred_occurrences(jobs, 10, 0)
        fewest = deferred_occurrences(alone, 10, 0)
        self.assertThat(len(waiting) - len(fewest), matchers.LessThan(4))

    def test_no_processors(self) -> None:
        """All is deferred, and nothing fails."""
        jobs = self._claim('club', 7, work_s=0.1)
        waiting = deferred_occurrences(jobs, 0, 0)
        self.assertThat(waiting, matchers.HasLength(7))


class _Peak:
    """A load peak on one pool, simulated in virtual time."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._lead = FakeLead(store_with(), workers(_POOL))
        self._left_s: dict[Run, float] = {}
        self._accepted_s: dict[str, float] = {}
        self.in_time: set[str] = set()

    def play(self) -> int:
        """Run the simulation; return how many jobs finished on time."""
        while self._lead.now_s < _LENGTH_S:
            if self._lead.now_s < _PEAK_S:
                for _ in range(_JOBS_PER_STEP):
                    self._submit()
            for worker in self._lead.workers.values():
                self._work(worker)
            self._lead.round(_STEP_S)
            self._note_ended()
        return len(self.in_time)

    def _submit(self) -> None:
        job_id = f'{len(self._accepted_s):016x}'
        is_large = not self._rng.randrange(10)
        count = 20 if is_large else self._rng.randint(1, 4)
        spec: JobSpec = job(
            step(count, estimate_ms=int(_TASK_S * 1000)),
            job_id=job_id,
        )
        commit(self._lead.store, AddJob(spec, QUEUE))
        self._accepted_s[job_id] = self._lead.now_s

    def _work(self, worker: StandInWorker) -> None:
        for run in list(worker.running):
            left_s = self._left_s.get(run, _TASK_S) - _STEP_S
            self._left_s[run] = left_s
            if left_s <= 0:
                worker.end(run, RunEnd.DONE)

    def _note_ended(self) -> None:
        for job_id, accepted_s in self._accepted_s.items():
            record = self._lead.store.jobs[job_id]
            due_s = accepted_s + objective_s(record)
            is_done = record.phase is JobPhase.COMPLETED
            if is_done and self._lead.now_s <= due_s:
                self.in_time.add(job_id)


class TestPeak(testtools.TestCase):
    """A pool with three times the load that it can handle."""

    def test_more_jobs_are_on_time_than_by_laxity_alone(self) -> None:
        """At least a fifth more jobs are on time."""
        for seed in _SEEDS:
            with mock.patch.object(
                _ready, 'deferred_occurrences', _defer_nothing
            ):
                by_laxity = _Peak(seed).play()
            in_time = _Peak(seed).play()
            message = f'seed {seed}: {in_time} after {by_laxity}'
            self.assertThat(
                in_time > 1.2 * by_laxity, matchers.Is(True), message
            )
