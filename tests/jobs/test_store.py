"""Test that the store keeps each job once and each run apart."""

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
    ForgetJobs,
    JobPhase,
    JobStore,
    RecordRuns,
    RunEnd,
    RunEnded,
    RunStarted,
    SetManifest,
    TaskPhase,
    Verdict,
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
    """Jobs as they are accepted, cancelled and forgotten."""

    def test_same_id_is_the_same_job(self) -> None:
        """A job that is handed in again changes nothing."""
        store = store_with(job(step(2)))
        _start(store)
        verdict = commit(store, AddJob(job(step(5)), QUEUE))
        self.assertThat(verdict, matchers.Equals(Verdict.KNOWN))
        self.assertThat(
            len(store.jobs[JOB].occurrences[0][0]),
            matchers.Equals(2),
        )

    def test_dropped_queue_takes_no_job(self) -> None:
        """A manifest that overtook a submission refuses it."""
        store = store_with()
        commit(store, SetManifest(manifest(queue('other'), version=2)))
        verdict = commit(store, AddJob(job(), QUEUE))
        self.assertThat(verdict, matchers.Equals(Verdict.NO_QUEUE))
        self.assertThat(store.jobs, matchers.HasLength(0))

    def test_cancelled_job_starts_nothing(self) -> None:
        """A start that was decided before the cancellation is void."""
        store = store_with(job())
        commit(store, CancelJob(JOB))
        _start(store)
        self.assertThat(store.assigned, matchers.HasLength(0))

    def test_running_job_is_not_forgotten(self) -> None:
        """Jobs are dropped once they ended and nothing is left of them."""
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

    def test_highest_version_stays(self) -> None:
        """An older or equal one is taken note of and changes nothing."""
        store = store_with()
        commit(store, SetManifest(manifest(queue('new'), version=5)))
        for version in (4, 5):
            commit(store, SetManifest(manifest(queue('late'), version=version)))
        self.assertThat(
            [spec.name for spec in store.manifest.queues],
            matchers.Equals(['new']),
        )

    def test_longest_prefix_wins(self) -> None:
        """A path belongs to the queue with the longest prefix."""
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

    def test_all_tasks_done_complete_a_job(self) -> None:
        """A job is completed by its last task, not before."""
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

    def test_late_end_of_an_older_run_is_void(self) -> None:
        """Only the newest run counts, once a task was reassigned."""
        store = store_with(job())
        _start(store)
        _end(store, RunEnd.LOST)
        _start(store, run=2)
        _end(store, RunEnd.DONE, run=1)
        self.assertThat(
            [task.phase for task in store.jobs[JOB].step_tasks(key())],
            matchers.Equals([TaskPhase.ASSIGNED]),
        )

    def test_late_good_end_of_a_lost_run_counts_until_the_next(self) -> None:
        """What was done is not done again just because word of it was late."""
        store = store_with(job())
        _start(store)
        _end(store, RunEnd.LOST)
        _end(store, RunEnd.DONE)
        self.assertThat(
            store.jobs[JOB].phase,
            matchers.Equals(JobPhase.COMPLETED),
        )
        self.assertThat(store.assigned, matchers.HasLength(0))

    def test_late_bad_end_of_a_lost_run_is_void(self) -> None:
        """A lost run is no failure of its task, whatever comes later."""
        store = store_with(job())
        _start(store)
        _end(store, RunEnd.LOST)
        for _ in range(3):
            _end(store, RunEnd.FAILED)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))

    def test_late_good_end_of_a_lost_member_is_void(self) -> None:
        """A gang that lost a member did not end well together."""
        store = store_with(job(step(2, is_gang=True)))
        for index in range(2):
            _start(store, index)
        _end(store, RunEnd.LOST)
        _end(store, RunEnd.DONE)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))

    def test_only_failed_runs_count_as_failures(self) -> None:
        """A job fails after so many failed runs, not after lost ones."""
        store = store_with(job())
        ends = (RunEnd.LOST, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.REFUSED)
        for run, how in enumerate(ends, start=1):
            _start(store, run=run)
            _end(store, how, run=run)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))
        _start(store, run=len(ends) + 1)
        _end(store, RunEnd.FAILED, run=len(ends) + 1)
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.FAILED))

    def test_serving_task_waits_again_however_it_ends(self) -> None:
        """It has no limit of failures and is never done."""
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

    def test_one_good_end_stands_for_its_gang(self) -> None:
        """All members are done with it, and off their workers."""
        store = store_with(job(step(3, is_gang=True)))
        for index in range(3):
            _start(store, index)
        _end(store, RunEnd.DONE, 1)
        self.assertThat(
            store.jobs[JOB].phase,
            matchers.Equals(JobPhase.COMPLETED),
        )
        self.assertThat(store.assigned, matchers.HasLength(0))

    def test_progress_of_one_member_is_that_of_its_gang(self) -> None:
        """All members start again with the same checkpoint."""
        store = store_with(job(step(2, is_gang=True)))
        for index in range(2):
            _start(store, index)
        _end(store, RunEnd.STOPPED, 0, checkpoint='saved')
        self.assertThat(
            [task.checkpoint for task in store.jobs[JOB].occurrences[0][0]],
            matchers.Equals(['saved', 'saved']),
        )

    def test_former_leaders_records_are_void(self) -> None:
        """What a leader of an older term proposes late changes nothing."""
        store = store_with(job())
        commit(store, BeginTerm(TERM + 1))
        _start(store)
        self.assertThat(store.assigned, matchers.HasLength(0))


class TestStrangeTasks(testtools.TestCase):
    """Tasks that a worker tells of and no job has."""

    def test_end_of_a_task_that_no_job_has_changes_nothing(self) -> None:
        """A replica must not stumble over what a worker made up."""
        store = store_with(job())
        before = store.snapshot()
        for strange in (key(7), key(0, 7), key(0, 0, '00000000000000ff')):
            ended = RunEnded(strange, 1, _WORKER, RunEnd.DONE)
            commit(store, RecordRuns(TERM, ends=(ended,)))
        self.assertThat(store.snapshot(), matchers.Equals(before))


class TestSnapshots(testtools.TestCase):
    """Whole states."""

    def test_restored_state_is_the_same(self) -> None:
        """A replica that got a snapshot goes on where the others are."""
        store = store_with(job(step(2)))
        _start(store)
        other = JobStore()
        other.restore(store.snapshot())
        _end(other, RunEnd.DONE)
        _end(store, RunEnd.DONE)
        self.assertThat(other.snapshot(), matchers.Equals(store.snapshot()))
        self.assertThat(other.assigned, matchers.Equals(store.assigned))
