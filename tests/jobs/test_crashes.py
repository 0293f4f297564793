"""Test when crashes of workers fail a job, and how they are stored."""

from __future__ import annotations

import msgspec
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
    CancelJob,
    CrashEvidence,
    JobPhase,
    JobStore,
    RecordRuns,
    RunCrashed,
    RunEnd,
    RunEnded,
    RunStarted,
    TaskPhase,
    TaskRecord,
)
from wigeonreach.lab import commit

_ALONE = CrashEvidence.ALONE
_AT_WORK = CrashEvidence.AT_WORK
_BESIDE = CrashEvidence.BESIDE_OTHERS
_UNCERTAIN = CrashEvidence.UNCERTAIN
_SOUND = CrashEvidence.SOUND
_UNSETTLED = CrashEvidence.UNSETTLED
# Sequences of crashes, and whether the last of them fails the job.
_SERIES = (
    ((_ALONE,), False),
    ((_ALONE, _ALONE), False),
    ((_ALONE, _ALONE, _ALONE), True),
    ((_BESIDE, _ALONE), False),
    ((_BESIDE, _BESIDE, _ALONE), False),
    ((_BESIDE, _ALONE, _ALONE), True),
    ((_ALONE, _ALONE, _UNCERTAIN), True),
    ((_UNCERTAIN, _ALONE), False),
    ((_UNCERTAIN, _ALONE, _ALONE), True),
    ((_AT_WORK, _AT_WORK), False),
    ((_AT_WORK, _AT_WORK, _AT_WORK), True),
    ((_UNCERTAIN, _AT_WORK, _AT_WORK), False),
    ((_BESIDE, _BESIDE, _BESIDE, _AT_WORK, _ALONE), False),
    ((_BESIDE,) * 9, False),
    ((_UNCERTAIN,) * 9, False),
    ((_UNSETTLED,) * 9, False),
    ((_ALONE, _ALONE, _SOUND, _ALONE, _ALONE), False),
    ((_AT_WORK, _AT_WORK, _SOUND, _AT_WORK, _AT_WORK), False),
)


def _crash(
    store: JobStore,
    run: int,
    evidence: CrashEvidence,
    is_at_start: bool = False,
) -> None:
    crashed = RunCrashed(key(), run, evidence, is_at_start)
    commit(store, RecordRuns(TERM, crashes=(crashed,)))


def _start(store: JobStore, run: int, vm: str = '') -> None:
    start = RunStarted(key(), run, f'w{run}', vm)
    commit(store, RecordRuns(TERM, starts=(start,)))


def _lose(store: JobStore, run: int) -> None:
    ended = RunEnded(key(), run, f'w{run}', RunEnd.LOST)
    commit(store, RecordRuns(TERM, ends=(ended,)))


def _record(store: JobStore) -> TaskRecord:
    record = store.task_of(key())
    assert record is not None
    return record


class TestGivingUpTasks(testtools.TestCase):
    """After which crashes a task is given up."""

    def test_crashes_fail_the_job_if_conclusive(self) -> None:
        """Checked for all sequences on a job of one batch task."""
        for series, is_failed in _SERIES:
            store = store_with(job(step()))
            for run, evidence in enumerate(series, start=1):
                _crash(store, run, evidence)
            phase = store.jobs[JOB].phase
            expected = JobPhase.FAILED if is_failed else JobPhase.ACTIVE
            self.assertThat(phase, matchers.Equals(expected), str(series))

    def test_crashes_at_start_fail_the_job_at_the_limit(self) -> None:
        """Many crashes at a start count, even if none is conclusive alone."""
        for evidence in (_BESIDE, _UNCERTAIN, _UNSETTLED):
            store = store_with(job(step()))
            for run in range(1, MOST_STARTS + 1):
                phase = store.jobs[JOB].phase
                self.assertThat(phase, matchers.Equals(JobPhase.ACTIVE))
                _crash(store, run, evidence, is_at_start=True)
            phase = store.jobs[JOB].phase
            self.assertThat(phase, matchers.Equals(JobPhase.FAILED))

    def test_serving_job_is_never_failed_by_crashes(self) -> None:
        """Only a cancellation ends it, whatever the crashes prove."""
        for series, _ in _SERIES:
            store = store_with(job(serving_step()))
            for run, evidence in enumerate(series, start=1):
                _crash(store, run, evidence)
            phase = store.jobs[JOB].phase
            active = matchers.Equals(JobPhase.ACTIVE)
            self.assertThat(phase, active, str(series))

    def test_crash_of_a_run_counts_once(self) -> None:
        """A leader without a reply may record the same crash again."""
        store = store_with(job(step()))
        for _ in range(5):
            _crash(store, 1, _ALONE)
        self.assertThat(_record(store).crashes, matchers.HasLength(1))
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))

    def test_unsettled_losses_count_until_explained(self) -> None:
        """An explained loss is removed, and a settled crash stays settled."""
        store = store_with(job(step()))
        _crash(store, 1, CrashEvidence.UNSETTLED)
        _crash(store, 2, CrashEvidence.UNSETTLED)
        self.assertThat(_record(store).crash_count, matchers.Equals(2))
        _crash(store, 1, CrashEvidence.EXPLAINED)
        _crash(store, 3, CrashEvidence.EXPLAINED)
        self.assertThat(_record(store).crashes, matchers.HasLength(1))
        self.assertThat(_record(store).crash_count, matchers.Equals(0))
        _crash(store, 2, _ALONE)
        _crash(store, 2, CrashEvidence.UNSETTLED)
        self.assertThat(
            [crash.evidence for crash in _record(store).crashes],
            matchers.Equals([_ALONE]),
        )
        self.assertThat(_record(store).crash_count, matchers.Equals(1))

    def test_crashes_are_counted_per_task(self) -> None:
        """Crashes of two tasks of a step are not added up."""
        store = store_with(job(step(2)))
        both = tuple(RunCrashed(key(index), 1, _ALONE) for index in range(2))
        commit(store, RecordRuns(TERM, crashes=both))
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))

    def test_done_task_is_not_given_up(self) -> None:
        """Its end, or that of a copy, may be reported before the crash."""
        store = store_with(job(step(2)))
        _start(store, 1)
        ended = RunEnded(key(), 1, 'w1', RunEnd.DONE)
        commit(store, RecordRuns(TERM, ends=(ended,)))
        for run in (1, 2, 3, 4):
            _crash(store, run, _ALONE)
        self.assertThat(_record(store).phase, matchers.Equals(TaskPhase.DONE))
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))

    def test_cancelled_job_stays_cancelled(self) -> None:
        """Later crashes of its tasks do not change its phase."""
        store = store_with(job(step()))
        commit(store, CancelJob(JOB))
        for run in (1, 2, 3, 4):
            _crash(store, run, _ALONE)
        phase = store.jobs[JOB].phase
        self.assertThat(phase, matchers.Equals(JobPhase.CANCELLED))

    def test_crash_from_former_leader_is_rejected(self) -> None:
        """Its records carry an older term."""
        store = store_with(job(step()))
        crashed = RunCrashed(key(), 1, _ALONE)
        commit(store, RecordRuns(TERM - 1, crashes=(crashed,)))
        self.assertThat(_record(store).crashes, matchers.HasLength(0))

    def test_crash_counts_after_a_newer_run_started(self) -> None:
        """A VM may come back after its task was started elsewhere."""
        store = store_with(job(step()))
        _start(store, 1)
        _lose(store, 1)
        _start(store, 2)
        _crash(store, 3, _ALONE)
        _crash(store, 1, _ALONE)
        _crash(store, 2, _ALONE)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.FAILED))


class TestSnapshots(testtools.TestCase):
    """Crashes in snapshots."""

    def test_snapshot_keeps_crashes_and_vms(self) -> None:
        """The restored store continues to count."""
        store = store_with(job(step()))
        _start(store, 1, vm='vm7')
        _crash(store, 1, _BESIDE)
        restored = JobStore()
        restored.restore(store.snapshot())
        self.assertThat(_record(restored), matchers.Equals(_record(store)))
        self.assertThat(_record(restored).vm, matchers.Equals('vm7'))
        _crash(restored, 2, _ALONE)
        _crash(restored, 3, _ALONE)
        phase = restored.jobs[JOB].phase
        self.assertThat(phase, matchers.Equals(JobPhase.FAILED))

    def test_older_record_without_crashes_is_read(self) -> None:
        """Records of older versions decode with default values."""
        before = msgspec.msgpack.encode((1, 2, 'w2', 1, 'saved'))
        record = msgspec.msgpack.decode(before, type=TaskRecord)
        self.assertThat(record.crashes, matchers.Equals(()))
        self.assertThat(record.vm, matchers.Equals(''))
