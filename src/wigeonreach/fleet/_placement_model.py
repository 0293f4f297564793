"""Jobs, workers, and the events and effects of placement."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

from wigeonreach._room import Room


@dataclasses.dataclass(frozen=True, slots=True)
class Worker:
    """One VM or worker of a pool and its whole room."""

    name: str
    pool: str
    zone: str
    rack: str
    room: Room


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as its team declared it.

    Attributes
    ----------
    family
        Jobs of one team and image; what is learned of one holds for all.
    can_wait
        It may be throttled, and stopped after a checkpoint, for other work.
    is_idempotent
        It may be started again where an earlier start may have run.
    """

    job_id: str
    team: str
    family: str
    pool: str
    declared: Room
    is_urgent: bool = False
    can_wait: bool = False
    is_idempotent: bool = True

    @property
    def gives_way(self) -> bool:
        """Whether it may be stopped for other work."""
        return self.can_wait and self.is_idempotent and not self.is_urgent


class Reason(enum.StrEnum):
    """Why a job is not running."""

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
    """A team asks for a job."""

    job: Job


@dataclasses.dataclass(frozen=True, slots=True)
class JobsCancelled:
    """Teams withdraw jobs, many at once perhaps."""

    job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FoundTask:
    """A task that was running before this placement began."""

    job: Job
    lease_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerJoined:
    """A worker may be used, for the first time or again."""

    worker: Worker
    found: tuple[FoundTask, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeard:
    """The platform answered for a worker, which renews its jobs' leases."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerDraining:
    """A worker is to be emptied and given nothing new."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLost:
    """A worker can't be reached; its jobs may still run until leases end."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReported:
    """What a task used at some earlier time."""

    job_id: str
    lease_token: int
    used: Room
    measured_at_s: float


class TaskEnd(enum.StrEnum):
    """What the platform proved about a task."""

    STARTED = 'started'
    NOT_STARTED = 'not_started'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'


@dataclasses.dataclass(frozen=True, slots=True)
class TaskChanged:
    """The platform tells of one task under one lease."""

    job_id: str
    lease_token: int
    change: TaskEnd


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time passed."""


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
    """Stop a job, after a checkpoint if it can."""

    job_id: str
    worker: str
    lease_token: int
    with_checkpoint: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Let a job use this part of its processors; 1 is all of them."""

    job_id: str
    worker: str
    lease_token: int
    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetAside:
    """Try a job no more."""

    job_id: str
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ReportRun:
    """Tell a person of a non-idempotent job that may have run."""

    job_id: str
    worker: str
    reason: Reason


Effect: TypeAlias = StartTask | StopTask | ThrottleTask | SetAside | ReportRun
