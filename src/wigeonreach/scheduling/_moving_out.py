"""Empty a worker without taking more of a serving step than it may miss."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wigeonreach.jobs import (
    JobRecord,
    JobStore,
    Run,
    StepSpec,
    TaskKey,
    TaskPhase,
)
from wigeonreach.scheduling._workers import Incarnation

# A serving task whose step says nothing is moved with one away at a time.
_DEFAULT_MAY_MISS = 1
_AT_WORK_PERCENT = 100


def is_empty(incarnation: Incarnation, store: JobStore) -> bool:
    """Whether nothing is on a worker, or may be."""
    held = store.held_by(incarnation.report.worker)
    return not held and not incarnation.running


def movable_now(
    incarnation: Incarnation,
    incarnations: Mapping[str, Incarnation],
    store: JobStore,
    stopping: Iterable[Run],
) -> list[Run]:
    """Return the serving runs that may be stopped on a worker now.

    Of each step one at most is returned, so that what is away is counted
    anew before the next.
    """
    leaving = set(stopping)
    steps: set[tuple[str, int, int]] = set()
    chosen: list[Run] = []
    for run in store.held_by(incarnation.report.worker).items():
        key, _ = run
        step = (key.job_id, key.occurrence, key.step)
        job = store.job_of(key)
        if job is None or run in leaving or step in steps:
            continue
        spec = job.step_spec(key)
        if spec.is_service and _may_go(key, job, spec, incarnations, leaving):
            steps.add(step)
            chosen.append(run)
    return chosen


def _may_go(
    key: TaskKey,
    job: JobRecord,
    spec: StepSpec,
    incarnations: Mapping[str, Incarnation],
    leaving: set[Run],
) -> bool:
    may_miss = _DEFAULT_MAY_MISS if spec.may_miss is None else spec.may_miss
    away = sum(
        not _is_at_work(other, job, incarnations, leaving)
        for other in job.step_keys(key)
        if other != key
    )
    return away < may_miss


def _is_at_work(
    key: TaskKey,
    job: JobRecord,
    incarnations: Mapping[str, Incarnation],
    leaving: set[Run],
) -> bool:
    task = job.task(key)
    if task is None or task.phase is not TaskPhase.ASSIGNED:
        return False
    if (key, task.run) in leaving:
        return False
    incarnation = incarnations.get(task.worker)
    if incarnation is None:
        return False
    return any(
        row.task == key and row.percent >= _AT_WORK_PERCENT
        for row in incarnation.running
    )
