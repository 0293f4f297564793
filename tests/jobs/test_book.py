"""Test that the book keeps each job once and each run apart."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    QUEUE,
    TERM,
    book_with,
    commit,
    job,
    key,
    manifest,
    queue,
    serving_step,
    step,
)
from wigeonreach.jobs import (
    AddJob,
    BeginTerm,
    CancelJob,
    ForgetJobs,
    JobBook,
    JobPhase,
    RecordRuns,
    RunEnd,
    RunEnded,
    RunStarted,
    SetManifest,
    TaskPhase,
    Verdict,
)

_WORKER = 'w0'


def _start(book: JobBook, index: int = 0, run: int = 1) -> None:
    started = RunStarted(key(index), run, _WORKER)
    commit(book, RecordRuns(TERM, starts=(started,)))


def _end(
    book: JobBook,
    how: RunEnd,
    index: int = 0,
    run: int = 1,
    checkpoint: str = '',
) -> None:
    ended = RunEnded(key(index), run, _WORKER, how, checkpoint)
    commit(book, RecordRuns(TERM, ends=(ended,)))


class TestJobs(testtools.TestCase):
    """Jobs as they are accepted, cancelled and forgotten."""

    def test_same_id_is_the_same_job(self) -> None:
        """A job that is handed in again changes nothing."""
        book = book_with(job(step(2)))
        _start(book)
        verdict = commit(book, AddJob(job(step(5)), QUEUE))
        self.assertThat(verdict, matchers.Equals(Verdict.KNOWN))
        self.assertThat(
            len(book.jobs[JOB].occurrences[0][0]),
            matchers.Equals(2),
        )

    def test_dropped_queue_takes_no_job(self) -> None:
        """A manifest that overtook a submission refuses it."""
        book = book_with()
        commit(book, SetManifest(manifest(queue('other'), version=2)))
        verdict = commit(book, AddJob(job(), QUEUE))
        self.assertThat(verdict, matchers.Equals(Verdict.NO_QUEUE))
        self.assertThat(book.jobs, matchers.HasLength(0))

    def test_cancelled_job_starts_nothing(self) -> None:
        """A start that was decided before the cancellation is void."""
        book = book_with(job())
        commit(book, CancelJob(JOB))
        _start(book)
        self.assertThat(book.assigned, matchers.HasLength(0))

    def test_running_job_is_not_forgotten(self) -> None:
        """Jobs are dropped once they ended and nothing is left of them."""
        book = book_with(job())
        _start(book)
        commit(book, CancelJob(JOB))
        commit(book, ForgetJobs((JOB,)))
        self.assertThat(book.jobs, matchers.HasLength(1))
        _end(book, RunEnd.STOPPED)
        commit(book, ForgetJobs((JOB,)))
        self.assertThat(book.jobs, matchers.HasLength(0))


class TestManifests(testtools.TestCase):
    """Versions of the manifest."""

    def test_highest_version_stays(self) -> None:
        """An older or equal one is taken note of and changes nothing."""
        book = book_with()
        commit(book, SetManifest(manifest(queue('new'), version=5)))
        for version in (4, 5):
            commit(book, SetManifest(manifest(queue('late'), version=version)))
        self.assertThat(
            [spec.name for spec in book.manifest.queues],
            matchers.Equals(['new']),
        )

    def test_longest_prefix_wins(self) -> None:
        """A path belongs to the queue with the longest prefix."""
        short = queue('short', path_prefix='/a/')
        long = queue('long', path_prefix='/a/b/')
        found = manifest(short, long).queue_of('club.example', '/a/b/c')
        self.assertThat(found, matchers.Equals(long))


class TestRuns(testtools.TestCase):
    """Runs of tasks and how they end."""

    def test_all_tasks_done_complete_a_job(self) -> None:
        """A job is completed by its last task, not before."""
        book = book_with(job(step(2)))
        for index in range(2):
            self.assertThat(
                book.jobs[JOB].phase,
                matchers.Equals(JobPhase.ACTIVE),
            )
            _start(book, index)
            _end(book, RunEnd.DONE, index)
        self.assertThat(
            book.jobs[JOB].phase,
            matchers.Equals(JobPhase.COMPLETED),
        )

    def test_late_end_of_an_older_run_is_void(self) -> None:
        """Only the newest run counts, once a task was given on."""
        book = book_with(job())
        _start(book)
        _end(book, RunEnd.LOST)
        _start(book, run=2)
        _end(book, RunEnd.DONE, run=1)
        self.assertThat(
            [task.phase for task in book.jobs[JOB].step_tasks(key())],
            matchers.Equals([TaskPhase.ASSIGNED]),
        )

    def test_only_failed_runs_count_as_failures(self) -> None:
        """A job fails after so many failed runs, not after lost ones."""
        book = book_with(job())
        ends = (RunEnd.LOST, RunEnd.FAILED, RunEnd.STOPPED, RunEnd.REFUSED)
        for run, how in enumerate(ends, start=1):
            _start(book, run=run)
            _end(book, how, run=run)
        self.assertThat(book.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE))
        _start(book, run=len(ends) + 1)
        _end(book, RunEnd.FAILED, run=len(ends) + 1)
        self.assertThat(book.jobs[JOB].phase, matchers.Equals(JobPhase.FAILED))

    def test_serving_task_waits_again_however_it_ends(self) -> None:
        """It has no limit of failures and is never done."""
        book = book_with(job(serving_step(1)))
        ends = (RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.FAILED)
        for run, how in enumerate(ends, start=1):
            _start(book, run=run)
            _end(book, how, run=run)
        record = book.jobs[JOB]
        self.assertThat(record.phase, matchers.Equals(JobPhase.ACTIVE))
        self.assertThat(
            [task.phase for task in record.step_tasks(key())],
            matchers.Equals([TaskPhase.WAITING]),
        )

    def test_one_good_end_stands_for_its_gang(self) -> None:
        """All members are done with it, and off their workers."""
        book = book_with(job(step(3, is_gang=True)))
        for index in range(3):
            _start(book, index)
        _end(book, RunEnd.DONE, 1)
        self.assertThat(
            book.jobs[JOB].phase,
            matchers.Equals(JobPhase.COMPLETED),
        )
        self.assertThat(book.assigned, matchers.HasLength(0))

    def test_progress_of_one_member_is_that_of_its_gang(self) -> None:
        """All members start again with the same checkpoint."""
        book = book_with(job(step(2, is_gang=True)))
        for index in range(2):
            _start(book, index)
        _end(book, RunEnd.STOPPED, 0, checkpoint='saved')
        self.assertThat(
            [task.checkpoint for task in book.jobs[JOB].occurrences[0][0]],
            matchers.Equals(['saved', 'saved']),
        )

    def test_former_leaders_records_are_void(self) -> None:
        """What a leader of an older term proposes late changes nothing."""
        book = book_with(job())
        commit(book, BeginTerm(TERM + 1))
        _start(book)
        self.assertThat(book.assigned, matchers.HasLength(0))


class TestStrangeTasks(testtools.TestCase):
    """Tasks that a worker tells of and no job has."""

    def test_end_of_a_task_that_no_job_has_changes_nothing(self) -> None:
        """A replica must not stumble over what a worker made up."""
        book = book_with(job())
        before = book.snapshot()
        for strange in (key(7), key(0, 7), key(0, 0, '00000000000000ff')):
            ended = RunEnded(strange, 1, _WORKER, RunEnd.DONE)
            commit(book, RecordRuns(TERM, ends=(ended,)))
        self.assertThat(book.snapshot(), matchers.Equals(before))


class TestSnapshots(testtools.TestCase):
    """Whole states."""

    def test_restored_state_is_the_same(self) -> None:
        """A replica that got a snapshot goes on where the others are."""
        book = book_with(job(step(2)))
        _start(book)
        other = JobBook()
        other.restore(book.snapshot())
        _end(other, RunEnd.DONE)
        _end(book, RunEnd.DONE)
        self.assertThat(other.snapshot(), matchers.Equals(book.snapshot()))
        self.assertThat(other.assigned, matchers.Equals(book.assigned))
