"""Track the free capacity of a worker, and the tasks on it."""

from __future__ import annotations

import collections
import dataclasses
from typing import TypeAlias

from wigeonreach._resources import NO_RESOURCES, Resources
from wigeonreach.jobs import JobStore, StepSpec, TaskKey
from wigeonreach.scheduling._evidence import CLEARED_AFTER_S
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._suspects import CRASHES_BEFORE_ISOLATION, Isolation


@dataclasses.dataclass(slots=True)
class WorkerCapacity:
    """Free capacity of one worker while a plan is made.

    Attributes
    ----------
    incarnation
        The worker.
    free
        Free capacity.
    steps
        Number of tasks on it, by job id, occurrence and step.
    serving
        Number of serving tasks on it.
    has_target
        Some serving task on it has a latency target, which other tasks on the
        worker may violate.
    is_reserved
        Some run on it is being stopped; only serving tasks may be placed.
    is_quarantined
        Runs of several jobs in a row failed on it, so tasks avoid it.
    is_slow
        Its runs take much longer than on other workers, or are paced.
    has_local_demand
        Some waiting task has its data on the worker's rack.
    suspects
        Jobs with a task on it against which the loss of an earlier worker
        counts.
    trial_job
        Job of a task that has to run alone, as two of its workers crashed.
    is_closed
        Tasks of other jobs may not be placed beside that task.
    has_crashed_recently
        An earlier worker of its VM crashed a short time ago.
    takes_one_run
        It began none of its runs before, so it is given a single one now.
    """

    incarnation: Incarnation
    free: Resources
    steps: collections.Counter[tuple[str, int, int]]
    serving: int = 0
    has_target: bool = False
    is_reserved: bool = False
    is_quarantined: bool = False
    is_slow: bool = False
    has_local_demand: bool = False
    suspects: set[str] = dataclasses.field(default_factory=set)
    trial_job: str = ''
    is_closed: bool = False
    has_crashed_recently: bool = False
    takes_one_run: bool = False

    @property
    def name(self) -> str:
        """The worker's name."""
        return self.incarnation.report.worker

    @property
    def _labels(self) -> tuple[str, ...]:
        return self.incarnation.report.labels

    def add(self, key: TaskKey, spec: StepSpec) -> None:
        """Place a task on the worker."""
        self.free = (
            NO_RESOURCES if self.takes_one_run else self.free - spec.resources
        )
        self.steps[key.job_id, key.occurrence, key.step] += 1
        self.serving += spec.is_service
        self.has_target |= spec.is_service and spec.latency_target_ms > 0

    def holds(self, key: TaskKey, spec: StepSpec) -> bool:
        """Whether a task may be placed on the worker now."""
        if self.is_reserved and not spec.is_service:
            return False
        if self.is_closed and key.job_id != self.trial_job:
            # Users wait for serving tasks, so a closed worker is not excluded
            # for these, though it may cost more.
            return spec.is_service and self._fits(key, spec)
        return self._fits(key, spec)

    def has_room(self, key: TaskKey, spec: StepSpec) -> bool:
        """Whether a task fits on the worker, which may be closed to it."""
        is_open = spec.is_service or not self.is_reserved
        return is_open and self._fits(key, spec)

    def add_suspect(self, job_id: str, crashes: int) -> None:
        """Record that a task on the worker may crash it."""
        if crashes:
            self.suspects.add(job_id)
        if crashes >= CRASHES_BEFORE_ISOLATION:
            self.trial_job = job_id

    def runs_other_jobs(self, job_id: str) -> bool:
        """Whether tasks of other jobs are on the worker."""
        return any(step_key[0] != job_id for step_key in self.steps)

    def isolates(self, job_id: str, isolation: Isolation) -> bool:
        """Whether the worker gives a job's task the isolation it needs."""
        if isolation is Isolation.FROM_SUSPECTS:
            return self.suspects <= {job_id}
        if isolation is Isolation.FROM_ALL:
            is_own_trial = self.is_closed and self.trial_job == job_id
            return is_own_trial and not self.runs_other_jobs(job_id)
        return True

    def can_host_trial(self, spec: StepSpec) -> bool:
        """Whether the worker can be reserved for a task that runs alone."""
        if self.serving or self.trial_job or self.is_reserved:
            return False
        if self.is_quarantined:
            return False
        resources = self.incarnation.resources
        return self._has_label(spec) and resources.covers(spec.resources)

    def could_ever_hold(self, spec: StepSpec) -> bool:
        """Whether a task could run on the worker if it were empty.

        A worker whose capacity has shrunk may have it back at any time.
        """
        largest = self.incarnation.largest_resources
        return self._has_label(spec) and largest.covers(spec.resources)

    def _has_label(self, spec: StepSpec) -> bool:
        return not spec.label or spec.label in self._labels

    def _fits(self, key: TaskKey, spec: StepSpec) -> bool:
        return self.free.covers(spec.resources) and self.meets_constraints(
            key, spec
        )

    def count(self, key: TaskKey, spec: StepSpec) -> int:
        """Return how many tasks of a step may be placed on the worker."""
        if not self.holds(key, spec):
            return 0
        fitting = self.free.count(spec.resources)
        if not spec.spread_limit:
            return fitting
        placed = self.steps[key.job_id, key.occurrence, key.step]
        return min(fitting, spec.spread_limit - placed)

    def meets_constraints(self, key: TaskKey, spec: StepSpec) -> bool:
        """Whether the worker suits a task apart from its free capacity."""
        if not self._has_label(spec):
            return False
        placed = self.steps[key.job_id, key.occurrence, key.step]
        return not spec.spread_limit or placed < spec.spread_limit


# Free capacity of the workers of each service, by service name.
CapacityByService: TypeAlias = dict[str, list[WorkerCapacity]]


@dataclasses.dataclass(frozen=True, slots=True)
class AvailableCapacity:
    """Free capacity by service, without the workers that accept no tasks now.

    Attributes
    ----------
    accepting
        The workers that may be given any task.
    quarantined
        The quarantined workers, which tasks avoid.
    """

    accepting: CapacityByService
    quarantined: CapacityByService


def worker_capacity(
    incarnation: Incarnation,
    store: JobStore,
    progress: ProgressTracker,
) -> WorkerCapacity:
    """Return a worker's free capacity beside everything it may run."""
    worker = incarnation.report.worker
    capacity = WorkerCapacity(
        incarnation, incarnation.resources, collections.Counter()
    )
    held = store.runs_of(worker)
    for key, run in held.items():
        _add_task(capacity, key, store)
        task = store.task_of(key)
        if task is None or not task.crash_count:
            continue
        if (
            progress.reported_for_s((key, run), incarnation.heard_s)
            < CLEARED_AFTER_S
        ):
            capacity.add_suspect(key.job_id, task.crash_count)
    for row in incarnation.running:
        # A run that is no longer assigned to the worker still uses capacity
        # until the worker reports its end.
        if row.task not in held:
            _add_task(capacity, row.task, store)
    return capacity


def _add_task(capacity: WorkerCapacity, key: TaskKey, store: JobStore) -> None:
    spec = store.spec_of(key)
    if spec is not None:
        capacity.add(key, spec)
