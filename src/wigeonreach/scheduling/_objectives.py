"""Tell how much work jobs still need, and by when it is of full use."""

from __future__ import annotations

from collections.abc import Iterable

from wigeonreach.jobs import JobRecord, StepSpec, TaskPhase

# Where a team gave no estimate.
_UNKNOWN_ESTIMATE_S = 1.0
_MS = 1000.0


def estimate_s(step: StepSpec) -> float:
    """Return the time of one task, in seconds."""
    return step.estimate_ms / _MS or _UNKNOWN_ESTIMATE_S


def objective_of(job: JobRecord) -> float:
    """Return within how many seconds a job, or an occurrence, is of full use."""
    whole_s = _longest_s(job.spec.steps, map(estimate_s, job.spec.steps))
    queue = job.queue
    return queue.slack_factor * whole_s + queue.target_latency_ms / _MS


def chain_s(job: JobRecord, occurrence: int) -> float:
    """Return the longest chain of work that is left of an occurrence."""
    left_s = (
        0.0 if job.is_step_done(occurrence, number) else estimate_s(step)
        for number, step in enumerate(job.spec.steps)
    )
    return _longest_s(job.spec.steps, left_s)


def tasks_left(job: JobRecord, occurrence: int, step: int) -> int:
    """Return how many tasks of a step are not done."""
    tasks = job.occurrences[occurrence][step]
    return sum(task.phase is not TaskPhase.DONE for task in tasks)


def work_s(job: JobRecord, occurrence: int) -> float:
    """Return the processor seconds that are left of an occurrence."""
    return sum(
        step.room.processors
        * estimate_s(step)
        * tasks_left(job, occurrence, number)
        for number, step in enumerate(job.spec.steps)
    )


def _longest_s(
    steps: Iterable[StepSpec],
    durations_s: Iterable[float],
) -> float:
    ends_s: list[float] = []
    for step, duration_s in zip(steps, durations_s, strict=True):
        begin_s = max((ends_s[earlier] for earlier in step.after), default=0)
        ends_s.append(begin_s + duration_s)
    return max(ends_s, default=0)
