"""Data model of jobs, their steps and the manifest."""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

from wigeonreach._resources import Resources
from wigeonreach.workspaces import Amounts, WorkspaceSpec

MILLICORES = 1000
MEBIBYTE = 1024 * 1024


class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: a number of tasks with equal requirements.

    Attributes
    ----------
    estimate_ms
        Declared estimate of the run time of one task; 0 if unknown.
    after
        Indexes of the earlier steps that must be done first.
    is_gang
        The tasks are scheduled as a gang: all of them run, or none.
    is_rack_local
        Tasks are slower if they run on more than one rack.
    label
        Label that a worker must have; empty for any worker.
    data_rack
        Rack that stores the input data; empty if it does not matter.
    spread_limit
        Maximum number of tasks of one occurrence on one worker; 0 for no limit.
    has_copies
        Copies of a task may run concurrently; the first to end counts.
    is_service
        Tasks run until the job is cancelled and are always restarted.
    image
        Tasks of the same image are expected to behave alike.
    latency_target_ms
        Upper bound of the tail latency of a serving task; 0 for none.
    is_filler
        Tasks use only spare processor time, so they reserve no processors.
    max_unavailable
        How many tasks of a serving step may be stopped at the same time;
        None if there is no guarantee.
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
    max_unavailable: int | None = None

    @property
    def allows_copies(self) -> bool:
        """Whether two runs of a task may be active concurrently."""
        return self.has_copies and not self.is_gang

    @property
    def resources(self) -> Resources:
        """Resources that one task reserves on a worker."""
        millicores = 0 if self.is_filler else self.cpu_millicores
        return Resources(
            millicores / MILLICORES,
            self.memory_mb * MEBIBYTE,
            self.accelerators,
        )

    @property
    def amounts(self) -> Amounts:
        """Resources of one task that count towards its workspace's cap."""
        millicores = 0 if self.is_filler else self.cpu_millicores
        return Amounts(millicores, self.memory_mb, self.accelerators)

    @property
    def min_start_amounts(self) -> Amounts:
        """Resources of the smallest startable unit: one task, or a gang."""
        return self.amounts.times(self.count if self.is_gang else 1)


class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was submitted.

    Attributes
    ----------
    payload
        Opaque text that is passed to each task.
    first_due_ms
        Unix time in milliseconds at which the first occurrence is due;
        0 for immediately.
    interval_ms
        Time between two occurrences.
    occurrences
        How many times the steps run.
    """

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 1

    @property
    def is_serving(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(step.is_service for step in self.steps)

    @property
    def is_timed(self) -> bool:
        """Whether its occurrences start at a given wall clock time."""
        return self.first_due_ms > 0

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix time of an occurrence; 0 for immediately."""
        if not self.is_timed:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int


# A task and the number of one of its runs, counted from 1.
Run = tuple[TaskKey, int]


def task_name(key: TaskKey) -> str:
    """Return a task as JOB.OCCURRENCE.STEP.INDEX, for logs."""
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'


def run_name(run: Run) -> str:
    """Return a run as TASK/RUN, for logs."""
    key, number = run
    return f'{task_name(key)}/{number}'


class AdvicePolicy(msgspec.Struct, frozen=True, array_like=True):
    """Timing of the advisor's answers for a queue."""

    # Constant part of the time that an answer takes.
    decision_ms: int
    # Additional time per worker that is asked about.
    per_worker_ms: int
    validity_ms: int


class QueueSpec(msgspec.Struct, frozen=True, array_like=True):
    """A queue: addressed by host and path prefix, served by one service.

    Attributes
    ----------
    priority
        0 is the highest priority.
    max_failures
        Number of failed runs, summed over the members of a gang, after which
        a task is given up; its job then fails unless it has serving tasks.
    slack_factor
        A job is worth its full value if it ends within its objective: its
        critical path times this factor, plus ``target_latency_ms``.
    target_latency_ms
        Constant part of the objective.
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
    rejects_overload
        Whether its workers refuse tasks that exceed their free resources.
    is_standby
        Whether its VMs are powered off and cost nothing.
    """

    name: str
    rejects_overload: bool = True
    is_standby: bool = False


class Manifest(msgspec.Struct, frozen=True, array_like=True):
    """All queues, services and workspaces under one version.

    Attributes
    ----------
    document
        The text that the operator submitted, returned unchanged on a read.
    workspaces
        None if no call needs a credential.
    """

    version: int
    queues: tuple[QueueSpec, ...] = ()
    services: tuple[ServiceSpec, ...] = ()
    # Not enforced: the HTTP listeners have fixed limits.
    max_body_bytes: int = 0
    document: bytes = b''
    workspaces: tuple[WorkspaceSpec, ...] | None = None


class JobPhase(enum.IntEnum):
    """Whether a job is active, or how it ended."""

    ACTIVE = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class TaskPhase(enum.IntEnum):
    """State of a task.

    ``GIVEN_UP`` is a batch task that is not retried any more while its job
    stays active for its serving tasks.
    """

    WAITING = 0
    ASSIGNED = 1
    DONE = 2
    GIVEN_UP = 3


class RunEnd(enum.IntEnum):
    """How a run of a task ended.

    ``LOST`` is decided by the leader: the worker can't run it any more.
    ``REFUSED`` means that the worker never began the run.
    ``STOPPED`` means that the worker was told to stop the run.
    ``LAPSED`` means that the lease of its worker expired.
    ``PEER_ENDED`` means that another task of its gang ended.
    ``PEERS_MISSING`` means that the other tasks of its gang did not start.
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
