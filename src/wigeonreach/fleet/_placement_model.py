"""Jobs and workers, and the events and effects of job placement."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from wigeonreach._resources import Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """A worker of a pool and its total resources."""

    name: str
    pool: str
    zone: str
    rack: str
    resources: Resources


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as its team declared it.

    Attributes
    ----------
    family
        Group of jobs of one team and image, which share usage estimates and
        failure statistics.
    declared
        Resources that the team requests for the job.
    can_wait
        Whether the job may be throttled, or checkpointed and stopped, in
        favour of other work.
    is_idempotent
        Whether the job may be started again although an earlier start may
        have taken effect.
    """

    job_id: str
    team: str
    family: str
    pool: str
    declared: Resources
    is_urgent: bool = False
    can_wait: bool = False
    is_idempotent: bool = True

    @property
    def is_preemptible(self) -> bool:
        """Whether the job may be stopped in favour of other work."""
        return self.can_wait and self.is_idempotent and not self.is_urgent


class Reason(enum.StrEnum):
    """Reason why a job is not running."""

    NO_ROOM = 'no-room'
    QUOTA_USED = 'quota-used'
    GAVE_WAY = 'gave-way'
    NEVER_FITS = 'never-fits'
    FAILS_EVERYWHERE = 'fails-everywhere'
    LOSES_WORKERS = 'loses-workers'
    MAY_HAVE_RUN = 'may-have-run'
    WORKER_LOST = 'worker-lost'
    DRAINED = 'drained'


@dataclasses.dataclass(frozen=True, slots=True)
class JobSubmitted:
    """A team submits a job."""

    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class JobsCancelled:
    """Teams cancel one or more jobs."""

    job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FoundTask:
    """A task that was already running when its worker joined."""

    job: Job
    lease_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker is available, for the first time or again."""

    worker: Worker
    found: tuple[FoundTask, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeard:
    """The platform answered for a worker, which renews its jobs' leases."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerDraining:
    """A worker is being drained and gets no new jobs."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLost:
    """A worker is unreachable; its jobs may run until their leases expire."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReported:
    """Resource usage of a task, measured at an earlier time."""

    job_id: str
    lease_token: int
    used: Resources
    measured_at_s: float


class TaskEnd(enum.StrEnum):
    """Confirmed state of a task, as reported by the platform."""

    STARTED = 'started'
    NOT_STARTED = 'not_started'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class TaskChanged:
    """The platform reports the state of one task under one lease."""

    job_id: str
    lease_token: int
    change: TaskEnd


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Event: TypeAlias = (
    JobSubmitted
    | JobsCancelled
    | WorkerJoined
    | WorkerHeard
    | WorkerDraining
    | WorkerLost
    | UsageReported
    | TaskChanged
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class StartTask:
    """Start a job on a worker under a lease."""

    job_id: str
    worker: str
    lease_token: int
    lease_ends_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a job, after a checkpoint if ``with_checkpoint`` is set."""

    job_id: str
    worker: str
    lease_token: int
    with_checkpoint: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Limit a job to this ratio of its processors; 1 lifts the limit."""

    job_id: str
    worker: str
    lease_token: int
    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetAside:
    """Give up on a job that can't be run."""

    job_id: str
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRun:
    """Report to an operator that a non-idempotent job may have run."""

    job_id: str
    worker: str
    reason: Reason


Effect: TypeAlias = StartTask | StopTask | ThrottleTask | SetAside | ReportRun
