"""Choose the worker for each task of a step."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from wigeonreach.jobs import StepSpec, TaskKey
from wigeonreach.scheduling._ready import ReadyStep, most_together
from wigeonreach.scheduling._room_left import WorkerRoom
from wigeonreach.scheduling._suspects import CRASHES_BEFORE_TRIAL, Apart

# Weights of what speaks for a worker; each outweighs all behind it.
_FAILED_HERE = 100.0
_SLOW = 50.0
_FAR_FROM_DATA = 10.0
# Only beside tasks whose answers are timed: the others' workers stay anyway, so
# what fits there keeps a VM less.
_BESIDE_SERVING = 4.0
_CROWDED = 20.0
# Two tasks that may crash their worker would each stand for the other's crash.
_SUSPECTS_TOGETHER = 30.0
# Beside others the next crash tells nothing, and takes them along.
_NOT_ALONE = 25.0
_CRASHED_LATELY = 8.0
# What runs beside such a task may be lost with it; that costs less than a run
# away from its data, as few of these tasks are the cause.
_BESIDE_SUSPECT = 6.0
# Work that could go anywhere leaves a rack to what has its data there.
_WANTED_NEAR = 2.0

# What speaks against a worker; the lowest is taken.
_Cost = tuple[float, float, str]


class Ranking:
    """The workers for the tasks of one step, while a plan is made.

    Room only shrinks meanwhile, so a worker that can't take one task of a
    step takes none of the others, and all workers are looked at once a step
    instead of once a task.

    Parameters
    ----------
    step
        Whose tasks are to be placed.
    rooms
        The workers that may take something.
    """

    def __init__(
        self,
        step: ReadyStep,
        rooms: Iterable[WorkerRoom],
    ) -> None:
        """Rank the workers with room for a task."""
        need = step.spec.room
        self._step = step
        self._rooms = [room for room in rooms if room.left.holds(need)]
        self._heap: list[tuple[_Cost, WorkerRoom]] | None = None

    @property
    def has_rooms(self) -> bool:
        """Whether some worker had room for a task."""
        return bool(self._rooms)

    def best(
        self,
        key: TaskKey,
        apart: Apart = Apart.FROM_NOTHING,
    ) -> WorkerRoom | None:
        """Return the worker for one task, or None if it fits nowhere.

        Parameters
        ----------
        key
            The task.
        apart
            Beside what it may not be.
        """
        task = self._step.job.task(key)
        has_run = task is not None and bool(task.run)
        if has_run or self._step.spec.is_service:
            # Where it ran, and where its siblings are, counts too.
            crashes = task.crash_count if task else 0
            rooms = self._rooms
            if apart is not Apart.FROM_NOTHING:
                rooms = [
                    room
                    for room in rooms
                    if room.keeps_apart(key.job_id, apart)
                ]
            return best_room(self._step, key, rooms, crashes)
        return self._first(key)

    def _first(self, key: TaskKey) -> WorkerRoom | None:
        if self._heap is None:
            self._heap = [
                (_cost(self._step, key, room), room) for room in self._rooms
            ]
            heapq.heapify(self._heap)
        while self._heap:
            ranked, room = self._heap[0]
            if not room.holds(key, self._step.spec):
                heapq.heappop(self._heap)
                continue
            current = _cost(self._step, key, room)
            if current == ranked:
                return room
            # Something was put on it since it was ranked.
            heapq.heapreplace(self._heap, (current, room))
        return None


def best_room(
    step: ReadyStep,
    key: TaskKey,
    rooms: Iterable[WorkerRoom],
    crashes: int = 0,
) -> WorkerRoom | None:
    """Return the worker for one task, or None if it fits nowhere.

    ``crashes`` is how many workers may have gone down by it.
    """
    fitting = [room for room in rooms if room.holds(key, step.spec)]
    return min(
        fitting,
        key=lambda room: _cost(step, key, room, crashes),
        default=None,
    )


def _cost(
    step: ReadyStep,
    key: TaskKey,
    room: WorkerRoom,
    crashes: int = 0,
) -> _Cost:
    """Return what speaks against a worker."""
    spec = step.spec
    report = room.incarnation.report
    task = step.job.task(key)
    cost = _crash_cost(key.job_id, room, crashes)
    if task is not None and task.run and task.worker == report.worker:
        cost += _FAILED_HERE
    if spec.data_rack and spec.data_rack != report.rack:
        cost += _FAR_FROM_DATA
    elif not spec.data_rack and room.is_wanted_near:
        cost += _WANTED_NEAR
    if room.is_slow:
        cost += _SLOW
    if spec.is_service:
        cost += _serving_cost(key, spec, room)
    elif room.has_target:
        cost += _BESIDE_SERVING
    return cost, _tightness(spec, room), report.worker


def _crash_cost(job_id: str, room: WorkerRoom, crashes: int) -> float:
    """Keep tasks that may crash their workers apart from all others."""
    if not crashes and not room.suspects:
        return 0.0
    cost = _NOT_ALONE if room.is_closed and room.trial_job != job_id else 0.0
    others = len(room.suspects - {job_id})
    beside = _SUSPECTS_TOGETHER if crashes else _BESIDE_SUSPECT
    cost += others * beside
    if crashes >= CRASHES_BEFORE_TRIAL and room.has_others(job_id):
        cost += _NOT_ALONE
    if crashes and room.has_crashed_lately:
        cost += _CRASHED_LATELY
    return cost


def _serving_cost(key: TaskKey, spec: StepSpec, room: WorkerRoom) -> float:
    """Keep a step's tasks on two workers or more, but serving tasks on few.

    The loss of one worker must not cost a step all of its tasks; workers
    without any serving task run batch work undisturbed, and can be moved.
    """
    same_step = room.steps[key.job_id, key.occurrence, key.step]
    if same_step >= most_together(spec):
        return _CROWDED + same_step
    return -min(room.serving, 1)


def _tightness(spec: StepSpec, room: WorkerRoom) -> float:
    """Return the room that would be left; tight fits keep others whole."""
    if spec.is_service:
        return -room.left.processors
    return room.left.processors
