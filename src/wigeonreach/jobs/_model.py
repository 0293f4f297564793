"""Describe jobs, their steps and the manifest of queues and services."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

from wigeonreach._room import Room
from wigeonreach.workspaces import Amounts, WorkspaceSpec

MILLICORES = 1000
MEBIBYTE = 1024 * 1024


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: tasks of the same shape.

    Attributes
    ----------
    estimate_ms
        Rough time of one task, as its team declared it; 0 if unknown.
    after
        Numbers of the earlier steps that must be done first.
    is_gang
        All tasks of one run work together or not at all.
    is_rack_local
        Tasks are slower if they run on more than one rack.
    label
        What a worker must carry, or nothing.
    data_rack
        Where the data lies, or nothing.
    spread_limit
        Most tasks of one occurrence on one worker; 0 for any number.
    has_copies
        Copies of a task may run side by side; the first end counts.
    is_service
        Tasks run until the job is cancelled and are restarted always.
    image
        Tasks of one image behave alike.
    latency_target_ms
        The tail of a serving task must stay below this; 0 for none.
    is_filler
        Its processors are what others leave, so they take no room.
    may_miss
        Tasks of a serving step that this system may take away at once;
        None if nothing is promised.
    """

    count: int
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_rack_local: bool = False
    label: str = ''
    data_rack: str = ''
    spread_limit: int = 0
    saves_progress: bool = False
    has_copies: bool = False
    is_service: bool = False
    image: str = ''
    latency_target_ms: int = 0
    is_filler: bool = False
    may_miss: int | None = None

    @property
    def may_run_twice(self) -> bool:
        """Whether two runs of a task may go on at a time."""
        return self.has_copies and not self.is_gang

    @property
    def room(self) -> Room:
        """What one task takes of a worker."""
        millicores = 0 if self.is_filler else self.cpu_millicores
        return Room(
            millicores / MILLICORES,
            self.memory_mb * MEBIBYTE,
            self.accelerators,
        )

    @property
    def amounts(self) -> Amounts:
        """What one task takes of its workspace's cap."""
        millicores = 0 if self.is_filler else self.cpu_millicores
        return Amounts(millicores, self.memory_mb, self.accelerators)

    @property
    def least_start(self) -> Amounts:
        """The least of it that can start: one task, or a whole gang."""
        return self.amounts.times(self.count if self.is_gang else 1)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as its caller handed it in.

    Attributes
    ----------
    payload
        What each task is given; this system does not look into it.
    first_due_ms
        When the first occurrence is due, since 1970; 0 for at once.
    interval_ms
        Between two occurrences.
    occurrences
        How often the steps run.
    """

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 1

    @property
    def is_serving(self) -> bool:
        """Whether it has tasks that run until it is cancelled."""
        return any(step.is_service for step in self.steps)

    @property
    def is_timed(self) -> bool:
        """Whether its occurrences wait for a time of day."""
        return self.first_due_ms > 0

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, since 1970; 0 for at once."""
        if not self.is_timed:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


# A task and the number of one of its runs.
Run = tuple[TaskKey, int]


def task_name(key: TaskKey) -> str:
    """Return JOB.OCCURRENCE.STEP.INDEX, for people."""
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'


def run_name(run: Run) -> str:
    """Return TASK/RUN, for people."""
    key, number = run
    return f'{task_name(key)}/{number}'


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """How the advisor answers for a queue."""

    decision_ms: int
    per_worker_ms: int
    validity_ms: int


class QueueSpec(msgspec.Struct, frozen=True, array_like=True):
    """A queue: callers reach it by host and path, workers run its jobs.

    Attributes
    ----------
    priority
        0 comes first.
    max_failures
        A task that failed this often ends its job.
    slack_factor
        Times of the longest chain of work within which a job is of full use.
    target_latency_ms
        Added to that.
    is_public
        Whether calls need no credential.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int
    priority: int = 0
    max_failures: int = 1
    slack_factor: float = 1.0
    target_latency_ms: int = 0
    advice: AdvicePolicy | None = None
    is_public: bool = False


class ServiceSpec(msgspec.Struct, frozen=True, array_like=True):
    """A pool of workers.

    Attributes
    ----------
    guards_room
        Its workers refuse what does not fit.
    is_standby
        Its VMs are off and cost nothing.
    """

    name: str
    guards_room: bool = True
    is_standby: bool = False


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """All queues, services and workspaces under one version.

    Attributes
    ----------
    document
        The operator's own text, given back on a read.
    workspaces
        None if no call needs a credential.
    """

    version: int
    queues: tuple[QueueSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    max_body_bytes: int = 0
    document: bytes = b''
    workspaces: tuple[WorkspaceSpec, ...] | None = None


class JobPhase(enum.IntEnum):
    """Whether a job goes on, or how it ended."""

    ACTIVE = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class TaskPhase(enum.IntEnum):
    """Where a task is.

    ``GIVEN_UP`` is a task that can't be done beside others of its job that serve.
    """

    WAITING = 0
    ASSIGNED = 1
    DONE = 2
    GIVEN_UP = 3


class RunEnd(enum.IntEnum):
    """How a run of a task ended.

    ``LOST`` is this system's own verdict: the worker can't run it any more.
    ``REFUSED`` was never begun.
    """

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    PEER_ENDED = 4
    PEERS_MISSING = 5
    REFUSED = 6
    LOST = 7


def tasks_of(spec: JobSpec, occurrence: int) -> Iterator[TaskKey]:
    """Yield the keys of all tasks of an occurrence."""
    for number, step in enumerate(spec.steps):
        for index in range(step.count):
            yield TaskKey(spec.job_id, occurrence, number, index)
