"""State transitions of tasks as their runs start, end and crash."""

from __future__ import annotations

from wigeonreach.jobs._commands import (
    CrashEvidence,
    RunCrashed,
    RunEnded,
    RunStarted,
)
from wigeonreach.jobs._model import JobPhase, RunEnd, TaskKey, TaskPhase
from wigeonreach.jobs._records import (
    MAX_LOST_RUNS,
    JobRecord,
    TaskCrash,
    TaskRecord,
)

# Limits for giving up a task that crashes its workers.  Each crash costs a VM for
# some seconds and all other runs on it, again and again; a task that is given up
# wrongly costs its team a job.  So several crashes are needed, as a worker may
# also go down by coincidence, and crashes that may have another cause count
# only beside early ones or, with a higher limit, if they came at a start.
# Early crashes are those with evidence ``ALONE``: the run was never listed.
_EARLY_CRASH_LIMIT = 2
_CRASH_LIMIT_WITH_EARLY = 3
_CONCLUSIVE_CRASH_LIMIT = 3
# A worker that sends no heartbeat after a start may have gone down by coincidence
# or because of another start; a sound task does not meet that so often.
_START_CRASH_LIMIT = 5
_CONCLUSIVE = frozenset((CrashEvidence.AT_WORK, CrashEvidence.ALONE))
_FINAL_PHASES = frozenset((TaskPhase.DONE, TaskPhase.GIVEN_UP))


def apply_run_start(job: JobRecord, start: RunStarted) -> bool:
    """Assign a task to a worker; return whether the start was valid."""
    task = job.task(start.task)
    if task is None or not job.is_active:
        return False
    if task.phase is not TaskPhase.WAITING or start.run <= task.run:
        return False
    if not task.has_starts_left:
        return False
    task.phase = TaskPhase.ASSIGNED
    task.run = start.run
    task.worker = start.worker
    task.vm = start.vm
    job.has_started = True
    return True


def apply_run_end(job: JobRecord, ended: RunEnded) -> tuple[TaskKey, ...]:
    """Apply the end of a run to its task.

    Only the newest run of a task counts, except that of runs that may be active
    concurrently, the first to be done counts.  If the newest run is reported as
    done while its task waits for another run, because it was recorded as lost,
    it still counts, unless the task is part of a gang.

    Returns
    -------
    tuple of TaskKey
        The tasks that are no longer assigned.
    """
    task = job.task(ended.task)
    if task is None or not _is_valid_end(job, task, ended):
        return ()
    if ended.checkpoint:
        _save_checkpoint(job, ended)
    if ended.end is RunEnd.DONE and not job.step_spec(ended.task).is_service:
        return _finish_task(job, ended)
    _requeue(job, ended, task)
    return (ended.task,)


def apply_run_crash(job: JobRecord, crashed: RunCrashed) -> bool:
    """Update the crashes of a lost worker's task; return whether it changed.

    Each run counts once, whether or not it is still the newest: a crash is
    certain only once the VM has another worker, and the task may have been
    started again before that.
    """
    task = job.task(crashed.task)
    if task is None:
        return False
    if crashed.evidence is CrashEvidence.EXPLAINED:
        return _without_crash(task, crashed)
    if not job.is_active or task.phase in _FINAL_PHASES:
        return False
    if crashed.evidence is CrashEvidence.SOUND:
        task.crashes = ()
        task.lost_runs = ()
        return True
    crashes = _with_crash(task.crashes, crashed)
    if crashes == task.crashes:
        return False
    task.crashes = crashes
    is_service = job.step_spec(crashed.task).is_service
    if not is_service and _is_proven_cause(task.crashes):
        _give_up(job, crashed.task)
    return True


def apply_start_limit(job: JobRecord, key: TaskKey) -> bool:
    """Give up a task that is out of starts; return whether it was given up.

    While some of its losses are unsettled it only waits, as a worker that
    returns gives a start back.
    """
    task = job.task(key)
    if task is None or not job.is_active:
        return False
    if task.phase is not TaskPhase.WAITING or task.has_starts_left:
        return False
    if not task.is_settled:
        return False
    _give_up(job, key)
    return True


def _without_crash(task: TaskRecord, explained: RunCrashed) -> bool:
    """Remove the crash of a run from its task; return whether it changed.

    A run that was lost with its worker used up a start whatever the cause, but
    not if the worker never went down.
    """
    run = explained.run
    before = (task.crashes, task.lost_runs)
    task.crashes = tuple(crash for crash in task.crashes if crash.run != run)
    if explained.has_returned:
        task.lost_runs = tuple(lost for lost in task.lost_runs if lost != run)
    return (task.crashes, task.lost_runs) != before


def _with_crash(
    crashes: tuple[TaskCrash, ...],
    crashed: RunCrashed,
) -> tuple[TaskCrash, ...]:
    """Return a task's crashes updated with the evidence for one run."""
    others = tuple(crash for crash in crashes if crash.run != crashed.run)
    settled = [
        crash
        for crash in crashes
        if crash.run == crashed.run
        and crash.evidence is not CrashEvidence.UNSETTLED
    ]
    if settled:
        return crashes
    crash = TaskCrash(
        crashed.run,
        crashed.evidence,
        crashed.is_at_start,
        crashed.is_coincident,
    )
    return (*others, crash)


def _give_up(job: JobRecord, key: TaskKey) -> None:
    """Stop retrying a task, and fail its job unless it has serving tasks.

    A job with serving tasks ends only when it is cancelled.
    """
    if not job.spec.is_serving:
        job.phase = JobPhase.FAILED
        return
    for member in gang_of(job, key):
        task = job.task(member)
        if task is not None:
            task.phase = TaskPhase.GIVEN_UP


def _is_proven_cause(crashes: tuple[TaskCrash, ...]) -> bool:
    """Whether the crashes prove that the task brings its workers down."""
    conclusive = sum(crash.evidence in _CONCLUSIVE for crash in crashes)
    early = sum(crash.evidence is CrashEvidence.ALONE for crash in crashes)
    at_start = sum(crash.is_at_start for crash in crashes)
    is_early_cause = (
        early >= _EARLY_CRASH_LIMIT and len(crashes) >= _CRASH_LIMIT_WITH_EARLY
    )
    return (
        is_early_cause
        or conclusive >= _CONCLUSIVE_CRASH_LIMIT
        or at_start >= _START_CRASH_LIMIT
    )


def _is_valid_end(job: JobRecord, task: TaskRecord, ended: RunEnded) -> bool:
    if _is_first_copy(job, task, ended):
        return True
    if task.run != ended.run or task.worker != ended.worker:
        return False
    if task.phase is TaskPhase.WAITING:
        # A gang that lost a member has to run again as a whole.
        is_gang = job.step_spec(ended.task).is_gang
        return ended.end is RunEnd.DONE and not is_gang
    return task.phase is TaskPhase.ASSIGNED


def _is_first_copy(
    job: JobRecord,
    task: TaskRecord,
    ended: RunEnded,
) -> bool:
    """Whether an older run is done first, of a task that may run twice."""
    allows_copies = job.step_spec(ended.task).allows_copies
    is_older = ended.run < task.run and task.phase not in _FINAL_PHASES
    return allows_copies and is_older and ended.end is RunEnd.DONE


def gang_of(job: JobRecord, key: TaskKey) -> tuple[TaskKey, ...]:
    """Return all tasks of a task's gang, or only the task without a gang."""
    return job.step_keys(key) if job.step_spec(key).is_gang else (key,)


def _save_checkpoint(job: JobRecord, ended: RunEnded) -> None:
    # All members of a gang share one checkpoint.
    for key in gang_of(job, ended.task):
        member = job.task(key)
        if member is not None:
            member.checkpoint = ended.checkpoint


def _finish_task(job: JobRecord, ended: RunEnded) -> tuple[TaskKey, ...]:
    # A gang is done as soon as one member reports that it is.
    finished = gang_of(job, ended.task)
    for key in finished:
        member = job.task(key)
        if member is not None:
            member.phase = TaskPhase.DONE
            member.checkpoint = ''
    if job.is_active and job.is_done():
        job.phase = JobPhase.COMPLETED
    return finished


def _requeue(job: JobRecord, ended: RunEnded, task: TaskRecord) -> None:
    task.phase = TaskPhase.WAITING
    step = job.step_spec(ended.task)
    if step.is_service:
        return
    if ended.end is RunEnd.LOST and ended.may_have_begun:
        task.lost_runs = (*task.lost_runs, ended.run)[-MAX_LOST_RUNS:]
    if ended.end is not RunEnd.FAILED:
        return
    task.failures += 1
    failures = task.failures
    if step.is_gang:
        failures = sum(member.failures for member in job.step_tasks(ended.task))
    if job.is_active and failures >= job.queue.max_failures:
        _give_up(job, ended.task)
