"""Test how many runs a task may lose with their workers.

Guards against this failure: evidence was limited by its kind and starts were
not, so a task whose losses all proved little was started without limit.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_crashes import MOST_STARTS
from tests.builders_jobs import (
    JOB,
    TERM,
    job,
    key,
    serving_step,
    step,
    store_with,
)
from wigeonreach.jobs import (
    CrashEvidence,
    JobPhase,
    JobStore,
    RecordRuns,
    RunCrashed,
    RunEnd,
    RunEnded,
    RunStarted,
    StepSpec,
    TaskPhase,
)
from wigeonreach.lab import commit

_ACTIVE = matchers.Equals(JobPhase.ACTIVE)
_FAILED = matchers.Equals(JobPhase.FAILED)
_BESIDE = CrashEvidence.BESIDE_OTHERS
_EXPLAINED = CrashEvidence.EXPLAINED
_UNCERTAIN = CrashEvidence.UNCERTAIN
_UNSETTLED = CrashEvidence.UNSETTLED
_MANY = 9


def _store(one_step: StepSpec | None = None) -> JobStore:
    return store_with(job(one_step or step()))


def _lose(
    store: JobStore,
    run: int,
    evidence: CrashEvidence,
    may_have_begun: bool = True,
    is_coincident: bool = False,
) -> None:
    """Start a run, lose its worker, and record what that proves."""
    worker = f'w{run}'
    started = RunStarted(key(), run, worker, f'vm{run}')
    commit(store, RecordRuns(TERM, starts=(started,)))
    ended = RunEnded(
        key(), run, worker, RunEnd.LOST, may_have_begun=may_have_begun
    )
    crashed = RunCrashed(key(), run, evidence, is_coincident=is_coincident)
    commit(store, RecordRuns(TERM, ends=(ended,), crashes=(crashed,)))


def _settle(store: JobStore, crashed: RunCrashed) -> None:
    commit(store, RecordRuns(TERM, crashes=(crashed,)))


def _starts(store: JobStore, run: int) -> bool:
    """Whether the store accepts one more start."""
    started = RunStarted(key(), run, 'next', 'vm-next')
    commit(store, RecordRuns(TERM, starts=(started,)))
    task = store.task_of(key())
    return task is not None and task.phase is TaskPhase.ASSIGNED


class TestStartLimit(testtools.TestCase):
    """A task whose runs are lost with their workers again and again."""

    def test_task_without_starts_left_is_given_up(self) -> None:
        """Its losses prove little each, and there are five of them."""
        store = _store()
        for run in range(1, MOST_STARTS + 1):
            self.assertThat(store.jobs[JOB].phase, _ACTIVE)
            _lose(store, run, _BESIDE)
        self.assertThat(store.jobs[JOB].phase, _FAILED)

    def test_last_loss_is_settled_first(self) -> None:
        """Until then the job neither fails nor starts the task again."""
        store = _store()
        for run in range(1, MOST_STARTS):
            _lose(store, run, _BESIDE)
        _lose(store, MOST_STARTS, _UNSETTLED)
        self.assertThat(_starts(store, MOST_STARTS + 1), matchers.Is(False))
        self.assertThat(store.jobs[JOB].phase, _ACTIVE)
        _settle(store, RunCrashed(key(), MOST_STARTS, _BESIDE))
        self.assertThat(store.jobs[JOB].phase, _FAILED)

    def test_worker_that_returns_gives_its_start_back(self) -> None:
        """It was cut off and never went down."""
        store = _store()
        for run in range(1, MOST_STARTS):
            _lose(store, run, _BESIDE)
        _lose(store, MOST_STARTS, _UNSETTLED)
        returned = RunCrashed(key(), MOST_STARTS, _EXPLAINED, has_returned=True)
        _settle(store, returned)
        self.assertThat(store.jobs[JOB].phase, _ACTIVE)
        self.assertThat(_starts(store, MOST_STARTS + 1), matchers.Is(True))

    def test_explained_loss_uses_a_start_up(self) -> None:
        """The worker went down, so the task is the more likely cause."""
        store = _store()
        _lose(store, 1, _EXPLAINED)
        for run in range(2, MOST_STARTS + 1):
            self.assertThat(store.jobs[JOB].phase, _ACTIVE)
            _lose(store, run, _UNCERTAIN)
        self.assertThat(store.jobs[JOB].phase, _FAILED)

    def test_losses_beside_others_and_failing_workers_fail_no_job(self) -> None:
        """Others, or what made workers fail, may have caused each of them."""
        store = _store()
        for run in range(1, 3):
            _lose(store, run, _UNCERTAIN, is_coincident=True)
        for later in range(3, MOST_STARTS + 1):
            _lose(store, later, _BESIDE)
        self.assertThat(store.jobs[JOB].phase, _ACTIVE)

    def test_losses_beside_failing_workers_fail_no_job(self) -> None:
        """Each came at the moment at which workers failed by themselves."""
        store = _store()
        for run in range(1, _MANY):
            _lose(store, run, _UNCERTAIN, is_coincident=True)
        self.assertThat(store.jobs[JOB].phase, _ACTIVE)
        _lose(store, _MANY, _UNCERTAIN)
        self.assertThat(store.jobs[JOB].phase, _FAILED)

    def test_losses_of_its_own_fail_a_job_beside_explained_ones(self) -> None:
        """Its last starts were made alone and while nothing else failed.

        Guards against a sixth start, which most losses being explained by
        storms allowed.
        """
        store = _store()
        for run in range(1, 4):
            _lose(store, run, _EXPLAINED)
        for later in range(4, MOST_STARTS + 1):
            self.assertThat(store.jobs[JOB].phase, _ACTIVE)
            _lose(store, later, _UNCERTAIN)
        self.assertThat(store.jobs[JOB].phase, _FAILED)

    def test_explained_losses_alone_fail_no_job(self) -> None:
        """Racks fail under it, however often."""
        store = _store()
        for run in range(1, _MANY):
            _lose(store, run, _EXPLAINED)
        self.assertThat(store.jobs[JOB].phase, _ACTIVE)
        self.assertThat(_starts(store, _MANY), matchers.Is(True))

    def test_run_that_never_began_uses_no_start_up(self) -> None:
        """Its worker went down before it was told to start the run."""
        store = _store()
        for run in range(1, _MANY):
            _lose(store, run, _EXPLAINED, may_have_begun=False)
        task = store.task_of(key())
        assert task is not None
        self.assertThat(task.lost_runs, matchers.Equals(()))

    def test_serving_task_has_no_limit(self) -> None:
        """Only cancelling ends its job."""
        store = _store(serving_step(1))
        for run in range(1, _MANY):
            _lose(store, run, _BESIDE)
        self.assertThat(store.jobs[JOB].phase, _ACTIVE)
        self.assertThat(_starts(store, _MANY), matchers.Is(True))

    def test_snapshot_keeps_the_lost_runs(self) -> None:
        """A process that starts from a snapshot allows no more starts."""
        store = _store()
        _lose(store, 1, _BESIDE)
        restored = JobStore()
        restored.restore(store.snapshot())
        task = restored.task_of(key())
        assert task is not None
        self.assertThat(task.lost_runs, matchers.Equals((1,)))
