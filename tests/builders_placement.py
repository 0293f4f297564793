"""Builders of jobs, workers and placements for tests."""

from __future__ import annotations

import dataclasses
from typing import Any

from wigeonreach._resources import Resources
from wigeonreach.fleet._placement import Placement
from wigeonreach.fleet._placement_model import (
    Job,
    JobSubmitted,
    TaskChanged,
    TaskEnd,
    Worker,
    WorkerJoined,
)

GIB = 1024.0**3
_JOB = Job('job', 'team', 'image', 'pool', Resources(4, 4 * GIB))
_WORKER = Worker('vm-0', 'pool', 'a', 'a-0', Resources(16, 32 * GIB))


def build_job(job_id: str, processors: float = 4, **changes: Any) -> Job:
    """Return a job that needs as many GiB as processors."""
    declared = Resources(processors, processors * GIB)
    job = dataclasses.replace(_JOB, job_id=job_id, declared=declared)
    return dataclasses.replace(job, **changes)


def build_worker(number: int, **changes: Any) -> Worker:
    """Return a worker with 16 processors."""
    return dataclasses.replace(_WORKER, name=f'vm-{number}', **changes)


def build_placement(workers: int, **settings: Any) -> Placement:
    """Return a placement whose workers joined at second 0."""
    placement = Placement(settings.pop('quotas', {'team': 1000}), **settings)
    for number in range(workers):
        placement.handle(WorkerJoined(build_worker(number)), 0)
    return placement


def submit(placement: Placement, job: Job, now_s: float = 0) -> list[Any]:
    """Submit a job and return the effects."""
    return placement.handle(JobSubmitted(job), now_s)


def report_task(
    placement: Placement,
    job_id: str,
    change: TaskEnd,
    now_s: float = 0,
) -> list[Any]:
    """Report a state of a job's current task and return the effects."""
    record = placement.job(job_id)
    assert record is not None
    event = TaskChanged(job_id, record.lease_token, change)
    return placement.handle(event, now_s)
