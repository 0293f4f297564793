"""Change tasks as their runs start and end."""

from __future__ import annotations

from wigeonreach.jobs._commands import (
    CrashEvidence,
    RunCrashed,
    RunEnded,
    RunStarted,
)
from wigeonreach.jobs._model import JobPhase, RunEnd, TaskKey, TaskPhase
from wigeonreach.jobs._records import JobRecord, TaskCrash, TaskRecord

# What ends a task that crashes its workers.  It costs each time a VM for some
# seconds and all that runs beside it, without end; a task that is given up wrongly
# costs its team a job.  So only crashes count under which nothing else could be
# the cause, several of them, as a worker may go down by itself beside them.
_ALONE_AT_START = 2
_CRASHES_WITH_THEM = 3
_ALONE = 3
# A worker that is not heard after a start may go down by itself in that moment, or
# by another start; no sound task meets that so often.
_AT_START = 5
_PROVES_IT = frozenset((CrashEvidence.AT_WORK, CrashEvidence.ALONE))
_OVER = frozenset((TaskPhase.DONE, TaskPhase.GIVEN_UP))
# Whatever they prove, and also those that may have come after its lease.
_MOST_CRASHES = 4


def note_start(job: JobRecord, start: RunStarted) -> bool:
    """Assign a task to a worker; tell whether it was free for it."""
    task = job.task(start.task)
    if task is None or not job.is_active:
        return False
    if task.phase is not TaskPhase.WAITING or start.run <= task.run:
        return False
    task.phase = TaskPhase.ASSIGNED
    task.run = start.run
    task.worker = start.worker
    task.vm = start.vm
    job.has_started = True
    return True


def note_end(job: JobRecord, ended: RunEnded) -> tuple[TaskKey, ...]:
    """Take the end of a run.

    The end of an older run changes nothing: its task was reassigned, and only
    the newest run counts.  A run that was given up as lost still counts if it
    turns out to have ended well before another began, or beside another that
    is a copy of it.

    Returns
    -------
    tuple of TaskKey
        The tasks that are assigned no more.
    """
    task = job.task(ended.task)
    if task is None or not _counts(job, task, ended):
        return ()
    if ended.checkpoint:
        _save(job, ended)
    if ended.end is RunEnd.DONE and not job.step_spec(ended.task).is_service:
        return _finish(job, ended)
    _release(job, ended, task)
    return (ended.task,)


def note_crash(job: JobRecord, crashed: RunCrashed) -> bool:
    """Take note of what became of a run's worker; tell what changed by it.

    Each run counts once.  It does not matter which run is the newest by now: a
    crash is known for sure only once the VM has another worker, and the task may
    have been started again before that.
    """
    task = job.task(crashed.task)
    if task is None:
        return False
    if crashed.evidence is CrashEvidence.EXPLAINED:
        return _drop_mark(task, crashed.run)
    if not job.is_active or task.phase in _OVER:
        return False
    if crashed.evidence is CrashEvidence.SOUND:
        task.crashes = ()
        return True
    crashes = _with_mark(task.crashes, crashed)
    if crashes == task.crashes:
        return False
    task.crashes = crashes
    is_service = job.step_spec(crashed.task).is_service
    if not is_service and _is_proved(task.crashes):
        _give_up(job, crashed.task)
    return True


def _drop_mark(task: TaskRecord, run: int) -> bool:
    """Hold a loss against a task no more; tell whether it was."""
    before = len(task.crashes)
    task.crashes = tuple(mark for mark in task.crashes if mark.run != run)
    return len(task.crashes) < before


def _with_mark(
    crashes: tuple[TaskCrash, ...],
    crashed: RunCrashed,
) -> tuple[TaskCrash, ...]:
    """Return the marks of a task with what is known of one of its runs now."""
    others = tuple(mark for mark in crashes if mark.run != crashed.run)
    settled = [
        mark
        for mark in crashes
        if mark.run == crashed.run
        and mark.evidence is not CrashEvidence.UNSETTLED
    ]
    if settled:
        return crashes
    mark = TaskCrash(crashed.run, crashed.evidence, crashed.is_at_start)
    return (*others, mark)


def _give_up(job: JobRecord, key: TaskKey) -> None:
    """Start a task no more, and end its job unless others of it serve.

    Nothing but its cancelling ends a job with tasks that serve.
    """
    if not job.spec.is_serving:
        job.phase = JobPhase.FAILED
        return
    for member in members(job, key):
        task = job.task(member)
        if task is not None:
            task.phase = TaskPhase.GIVEN_UP


def _is_proved(crashes: tuple[TaskCrash, ...]) -> bool:
    """Whether it is a task that brings its workers down."""
    alone = sum(mark.evidence in _PROVES_IT for mark in crashes)
    alone_at_start = sum(
        mark.evidence is CrashEvidence.ALONE for mark in crashes
    )
    at_start = sum(mark.is_at_start for mark in crashes)
    is_at_once = (
        alone_at_start >= _ALONE_AT_START and len(crashes) >= _CRASHES_WITH_THEM
    )
    return is_at_once or alone >= _ALONE or at_start >= _AT_START


def _counts(job: JobRecord, task: TaskRecord, ended: RunEnded) -> bool:
    if _is_first_copy(job, task, ended):
        return True
    if task.run != ended.run or task.worker != ended.worker:
        return False
    if task.phase is TaskPhase.WAITING:
        # A gang ends well together; one that lost a member did not.
        is_gang = job.step_spec(ended.task).is_gang
        return ended.end is RunEnd.DONE and not is_gang
    return task.phase is TaskPhase.ASSIGNED


def _is_first_copy(
    job: JobRecord,
    task: TaskRecord,
    ended: RunEnded,
) -> bool:
    """Whether a run ended well before the newer copy of it did."""
    may_run_twice = job.step_spec(ended.task).may_run_twice
    is_older = ended.run < task.run and task.phase not in _OVER
    return may_run_twice and is_older and ended.end is RunEnd.DONE


def members(job: JobRecord, key: TaskKey) -> tuple[TaskKey, ...]:
    """Return a task's whole gang, or the task alone."""
    return job.step_keys(key) if job.step_spec(key).is_gang else (key,)


def _save(job: JobRecord, ended: RunEnded) -> None:
    # The progress of one member of a gang is that of all.
    for key in members(job, ended.task):
        member = job.task(key)
        if member is not None:
            member.checkpoint = ended.checkpoint


def _finish(job: JobRecord, ended: RunEnded) -> tuple[TaskKey, ...]:
    # One member's good end stands for all of its gang.
    finished = members(job, ended.task)
    for key in finished:
        member = job.task(key)
        if member is not None:
            member.phase = TaskPhase.DONE
            member.checkpoint = ''
    if job.is_active and job.is_done():
        job.phase = JobPhase.COMPLETED
    return finished


def _release(job: JobRecord, ended: RunEnded, task: TaskRecord) -> None:
    task.phase = TaskPhase.WAITING
    step = job.step_spec(ended.task)
    if ended.end is not RunEnd.FAILED or step.is_service:
        return
    task.failures += 1
    failures = task.failures
    if step.is_gang:
        failures = sum(member.failures for member in job.step_tasks(ended.task))
    if job.is_active and failures >= job.queue.max_failures:
        _give_up(job, ended.task)
