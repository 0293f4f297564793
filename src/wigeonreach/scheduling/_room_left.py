"""Tell how much room each worker has left, and what is on it."""

from __future__ import annotations

import collections
import dataclasses

from wigeonreach._room import Room
from wigeonreach.jobs import JobStore, StepSpec, TaskKey
from wigeonreach.scheduling._evidence import SOUND_S
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._suspects import CRASHES_BEFORE_TRIAL, Apart


@dataclasses.dataclass(slots=True)
class WorkerRoom:
    """What one worker has left while a plan is made.

    Attributes
    ----------
    steps
        How many tasks of each step of an occurrence are on it.
    serving
        How many serving tasks are on it.
    has_target
        Some of them must answer within a time, which what runs beside them
        may spoil.
    is_reserved
        Room is being made on it for a serving task.
    is_slow
        Its runs take much longer than on other workers, or are slowed down.
    is_wanted_near
        Some task that waits has its data on its rack.
    suspects
        Jobs of tasks on it whose workers crashed before.
    trial_job
        Job of a task that has to run alone, as two workers crashed under it.
    is_closed
        Nothing of other jobs may be put beside that task.
    has_crashed_lately
        An earlier worker of its VM went down a short time ago.
    """

    incarnation: Incarnation
    left: Room
    steps: collections.Counter[tuple[str, int, int]]
    serving: int = 0
    has_target: bool = False
    is_reserved: bool = False
    is_slow: bool = False
    is_wanted_near: bool = False
    suspects: set[str] = dataclasses.field(default_factory=set)
    trial_job: str = ''
    is_closed: bool = False
    has_crashed_lately: bool = False

    @property
    def name(self) -> str:
        """The worker's name."""
        return self.incarnation.report.worker

    @property
    def _labels(self) -> tuple[str, ...]:
        return self.incarnation.report.labels

    def add(self, key: TaskKey, spec: StepSpec) -> None:
        """Put a task on it."""
        self.left = self.left - spec.room
        self.steps[key.job_id, key.occurrence, key.step] += 1
        self.serving += spec.is_service
        self.has_target |= spec.is_service and spec.latency_target_ms > 0

    def holds(self, key: TaskKey, spec: StepSpec) -> bool:
        """Whether a task may be put on it."""
        if self.is_reserved and not spec.is_service:
            return False
        if self.is_closed and key.job_id != self.trial_job:
            # Serving tasks have users that wait: for them it only costs more.
            return spec.is_service and self._has_room(key, spec)
        return self._has_room(key, spec)

    def note_suspect(self, job_id: str, crashes: int) -> None:
        """Take note that a task on it may bring it down."""
        if crashes:
            self.suspects.add(job_id)
        if crashes >= CRASHES_BEFORE_TRIAL:
            self.trial_job = job_id

    def has_others(self, job_id: str) -> bool:
        """Whether tasks of other jobs are on it."""
        return any(on_it[0] != job_id for on_it in self.steps)

    def keeps_apart(self, job_id: str, apart: Apart) -> bool:
        """Whether a job's task is kept there from what it has to be."""
        if apart is Apart.FROM_SUSPECTS:
            return self.suspects <= {job_id}
        if apart is Apart.FROM_ALL:
            is_kept = self.is_closed and self.trial_job == job_id
            return is_kept and not self.has_others(job_id)
        return True

    def may_run_empty_for(self, spec: StepSpec) -> bool:
        """Whether others may be kept from it until a task is alone there."""
        if self.serving or self.trial_job or self.is_reserved:
            return False
        has_label = not spec.label or spec.label in self._labels
        return has_label and self.incarnation.room.holds(spec.room)

    def _has_room(self, key: TaskKey, spec: StepSpec) -> bool:
        return self.left.holds(spec.room) and self.allows(key, spec)

    def count(self, key: TaskKey, spec: StepSpec) -> int:
        """Return how many tasks of a step may be put on it."""
        if not self.holds(key, spec):
            return 0
        fitting = self.left.count(spec.room)
        if not spec.spread_limit:
            return fitting
        same = self.steps[key.job_id, key.occurrence, key.step]
        return min(fitting, spec.spread_limit - same)

    def allows(self, key: TaskKey, spec: StepSpec) -> bool:
        """Whether a task may be put on it once there is room."""
        if spec.label and spec.label not in self._labels:
            return False
        same = self.steps[key.job_id, key.occurrence, key.step]
        return not spec.spread_limit or same < spec.spread_limit


def room_left(
    incarnation: Incarnation,
    store: JobStore,
    progress: ProgressWatch,
) -> WorkerRoom:
    """Return what a worker has left beside all that it has or may have."""
    worker = incarnation.report.worker
    room = WorkerRoom(incarnation, incarnation.room, collections.Counter())
    held = store.held_by(worker)
    for key, run in held.items():
        _add_known(room, key, store)
        task = store.task_of(key)
        if task is None or not task.crash_count:
            continue
        if progress.worked_s((key, run), incarnation.heard_s) < SOUND_S:
            room.note_suspect(key.job_id, task.crash_count)
    for row in incarnation.running:
        # What is being stopped takes room until its end is listed.
        if row.task not in held:
            _add_known(room, row.task, store)
    return room


def _add_known(room: WorkerRoom, key: TaskKey, store: JobStore) -> None:
    spec = store.spec_of(key)
    if spec is not None:
        room.add(key, spec)
