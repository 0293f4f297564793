"""Test the replicated state of jobs and runs."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    QUEUE,
    TERM,
    job,
    key,
    manifest,
    queue,
    serving_step,
    step,
    store_with,
)
from wigeonreach.jobs import (
    AddJob,
    BeginTerm,
    CancelJob,
    CommandResult,
    ForgetJobs,
    JobPhase,
    JobStore,
    RecordRuns,
    RunEnd,
    RunEnded,
    RunStarted,
    SetManifest,
    TaskPhase,
)
from wigeonreach.jobs._queue_index import QueueIndex
from wigeonreach.lab import commit

_WORKER = 'w0'


def _start(store: JobStore, index: int = 0, run: int = 1) -> None:
    started = RunStarted(key(index), run, _WORKER)
    commit(store, RecordRuns(TERM, starts=(started,)))


def _end(
    store: JobStore,
    how: RunEnd,
    index: int = 0,
    run: int = 1,
    checkpoint: str = '',
) -> None:
    ended = RunEnded(key(index), run, _WORKER, how, checkpoint)
    commit(store, RecordRuns(TERM, ends=(ended,)))


class TestJobs(testtools.TestCase):
    """Accepting, cancelling and deleting jobs."""

    def test_resubmitted_job_is_known(self) -> None:
        """A job ID that was accepted before does not change the job."""
        store = store_with(job(step(2)))
        _start(store)
        result = commit(store, AddJob(job(step(5)), QUEUE))
        self.assertThat(result, matchers.Equals(CommandResult.KNOWN))
        self.assertThat(
            len(store.jobs[JOB].occurrences[0][0]),
            matchers.Equals(2),
        )

    def test_removed_queue_rejects_a_job(self) -> None:
        """A manifest may be applied before a job that was submitted earlier."""
        store = store_with()
        commit(store, SetManifest(manifest(queue('other'), version=2)))
        result = commit(store, AddJob(job(), QUEUE))
        self.assertThat(result, matchers.Equals(CommandResult.NO_QUEUE))
        self.assertThat(store.jobs, matchers.HasLength(0))

    def test_start_for_cancelled_job_is_ignored(self) -> None:
        """The start may have been decided before the cancellation."""
        store = store_with(job())
        commit(store, CancelJob(JOB))
        _start(store)
        self.assertThat(store.assigned_runs, matchers.HasLength(0))

    def test_job_with_assigned_runs_is_not_deleted(self) -> None:
        """A job is deleted only once it ended and has no assigned runs."""
        store = store_with(job())
        _start(store)
        commit(store, CancelJob(JOB))
        commit(store, ForgetJobs((JOB,)))
        self.assertThat(store.jobs, matchers.HasLength(1))
        _end(store, RunEnd.STOPPED)
        commit(store, ForgetJobs((JOB,)))
        self.assertThat(store.jobs, matchers.HasLength(0))


class TestManifests(testtools.TestCase):
    """Versions of the manifest."""

    def test_highest_manifest_version_stays(self) -> None:
        """An older or equal version does not replace it."""
        store = store_with()
        commit(store, SetManifest(manifest(queue('new'), version=5)))
        for version in (4, 5):
            commit(store, SetManifest(manifest(queue('late'), version=version)))
        self.assertThat(
            [spec.name for spec in store.manifest.queues],
            matchers.Equals(['new']),
        )

    def test_longest_prefix_wins(self) -> None:
        """A path belongs to the queue with the longest matching prefix."""
        short = queue('short', path_prefix='/a/')
        long = queue('long', path_prefix='/a/b/')
        index = QueueIndex(manifest(short, long))
        for path, expected in (
            ('/a/b/c', long),
            ('/a/b/', long),
            ('/a/bc', short),
            ('/a', None),
        ):
            found = index.at('club.example', path)
            self.assertThat(found, matchers.Equals(expected), path)
        self.assertThat(index.at('other', '/a/b/'), matchers.Is(None))


class TestRuns(testtools.TestCase):
    """Runs of tasks and how they end."""

    def test_job_completes_with_its_last_task(self) -> None:
        """It stays active until all of its tasks are done."""
        store = store_with(job(step(2)))
        for index in range(2):
            self.assertThat(
                store.jobs[JOB].phase,
                matchers.Equals(JobPhase.ACTIVE),
            )
            _start(store, index)
            _end(store, RunEnd.DONE, index)
        self.assertThat(
            store.jobs[JOB].phase,
            matchers.Equals(JobPhase.COMPLETED),
        )

    def test_end_of_an_older_run_is_ignored(self) -> None:
        """Once a task is reassigned, only its newest run counts."""
        store = store_with(job())
        _start(store)
        _end(store, RunEnd.LOST)
        _start(store, run=2)
        _end(store, RunEnd.DONE, run=1)
        self.assertThat(
            [task.phase for task in store.jobs[JOB].step_tasks(key())],
            matchers.Equals([TaskPhase.ASSIGNED]),
        )

    def test_late_success_of_a_lost_run_counts(self) -> None:
        """The task is not run again if the report was only late."""
        store = store_with(job())
        _start(store)
        _end(store, RunEnd.LOST)
        _end(store, RunEnd.DONE)
        self.assertThat(
            store.jobs[JOB].phase,
            matchers.Equals(JobPhase.COMPLETED),
        )
        self.assertThat(store.assigned_runs, matchers.HasLength(0))

    def test_late_failure_of_a_lost_run_is_ignored(self) -> None:
        """A lost run never counts as a failure of its task."""
        store = store_with(job())
        _start(store)
        _end(store, RunEnd.LOST)
        for _ in range(3):
            _end(store, RunEnd.FAILED)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))

    def test_late_success_of_a_lost_gang_member_is_ignored(self) -> None:
        """A gang that lost a member has to run again as a whole."""
        store = store_with(job(step(2, is_gang=True)))
        for index in range(2):
            _start(store, index)
        _end(store, RunEnd.LOST)
        _end(store, RunEnd.DONE)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))

    def test_only_failed_runs_count_as_failures(self) -> None:
        """Lost, stopped and refused runs do not count towards the limit."""
        store = store_with(job())
        ends = (RunEnd.LOST, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.REFUSED)
        for run, how in enumerate(ends, start=1):
            _start(store, run=run)
            _end(store, how, run=run)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))
        _start(store, run=len(ends) + 1)
        _end(store, RunEnd.FAILED, run=len(ends) + 1)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.FAILED))

    def test_serving_task_is_requeued_after_any_end(self) -> None:
        """It has no failure limit and is never done."""
        store = store_with(job(serving_step(1)))
        ends = (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.FAILED)
        for run, how in enumerate(ends, start=1):
            _start(store, run=run)
            _end(store, how, run=run)
        record = store.jobs[JOB]
        self.assertThat(record.phase, matchers.Equals(JobPhase.ACTIVE))
        self.assertThat(
            [task.phase for task in record.step_tasks(key())],
            matchers.Equals([TaskPhase.WAITING]),
        )

    def test_success_of_one_member_completes_its_gang(self) -> None:
        """All members are done and unassigned."""
        store = store_with(job(step(3, is_gang=True)))
        for index in range(3):
            _start(store, index)
        _end(store, RunEnd.DONE, 1)
        self.assertThat(
            store.jobs[JOB].phase,
            matchers.Equals(JobPhase.COMPLETED),
        )
        self.assertThat(store.assigned_runs, matchers.HasLength(0))

    def test_gang_members_share_a_checkpoint(self) -> None:
        """All members restart from the same checkpoint."""
        store = store_with(job(step(2, is_gang=True)))
        for index in range(2):
            _start(store, index)
        _end(store, RunEnd.STOPPED, 0, checkpoint='saved')
        self.assertThat(
            [task.checkpoint for task in store.jobs[JOB].occurrences[0][0]],
            matchers.Equals(['saved', 'saved']),
        )

    def test_records_of_former_leader_are_rejected(self) -> None:
        """A late proposal of a leader of an older term has no effect."""
        store = store_with(job())
        commit(store, BeginTerm(TERM + 1))
        _start(store)
        self.assertThat(store.assigned_runs, matchers.HasLength(0))


class TestUnknownTasks(testtools.TestCase):
    """Tasks that a worker reports but no job has."""

    def test_end_of_an_unknown_task_is_ignored(self) -> None:
        """A replica must not fail on a task key that a worker made up."""
        store = store_with(job())
        before = store.snapshot()
        for unknown in (key(7), key(0, 7), key(0, 0, '00000000000000ff')):
            ended = RunEnded(unknown, 1, _WORKER, RunEnd.DONE)
            commit(store, RecordRuns(TERM, ends=(ended,)))
        self.assertThat(store.snapshot(), matchers.Equals(before))


class TestSnapshots(testtools.TestCase):
    """Snapshots of the whole state."""

    def test_restored_state_is_the_same(self) -> None:
        """A restored replica behaves as the one the snapshot is from."""
        store = store_with(job(step(2)))
        _start(store)
        other = JobStore()
        other.restore(store.snapshot())
        _end(other, RunEnd.DONE)
        _end(store, RunEnd.DONE)
        self.assertThat(other.snapshot(), matchers.Equals(store.snapshot()))
        self.assertThat(
            other.assigned_runs, matchers.Equals(store.assigned_runs)
        )
