"""Compute the remaining work of jobs and their time objectives."""

from __future__ import annotations

from collections.abc import Iterable

from wigeonreach.jobs import JobRecord, StepSpec, TaskPhase

# Used where a step gives no estimate.
_DEFAULT_ESTIMATE_S = 1.0
_MS_PER_S = 1000.0


def task_estimate_s(step: StepSpec) -> float:
    """Return the estimated run time of one task, in seconds."""
    return step.estimate_ms / _MS_PER_S or _DEFAULT_ESTIMATE_S


def objective_s(job: JobRecord) -> float:
    """Return the objective for finishing a job or occurrence, in seconds."""
    total_s = _longest_path_s(
        job.spec.steps, map(task_estimate_s, job.spec.steps)
    )
    queue = job.queue
    return queue.slack_factor * total_s + queue.target_latency_ms / _MS_PER_S


def critical_path_s(job: JobRecord, occurrence: int) -> float:
    """Return the critical path of an occurrence's unfinished steps."""
    left_s = (
        0.0 if job.is_step_done(occurrence, number) else task_estimate_s(step)
        for number, step in enumerate(job.spec.steps)
    )
    return _longest_path_s(job.spec.steps, left_s)


def unfinished_tasks(job: JobRecord, occurrence: int, step: int) -> int:
    """Return how many tasks of a step are not done."""
    tasks = job.occurrences[occurrence][step]
    return sum(task.phase is not TaskPhase.DONE for task in tasks)


def remaining_work_s(job: JobRecord, occurrence: int) -> float:
    """Return the processor seconds that an occurrence still needs."""
    return sum(
        step.resources.processors
        * task_estimate_s(step)
        * unfinished_tasks(job, occurrence, number)
        for number, step in enumerate(job.spec.steps)
    )


def _longest_path_s(
    steps: Iterable[StepSpec],
    durations_s: Iterable[float],
) -> float:
    ends_s: list[float] = []
    for step, duration_s in zip(steps, durations_s, strict=True):
        begin_s = max((ends_s[earlier] for earlier in step.after), default=0)
        ends_s.append(begin_s + duration_s)
    return max(ends_s, default=0)
