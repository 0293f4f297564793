"""Choose the worker for each task of a step."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from wigeonreach.jobs import StepSpec, TaskKey
from wigeonreach.scheduling._ready import ReadyStep, max_tasks_per_worker
from wigeonreach.scheduling._room_left import WorkerRoom
from wigeonreach.scheduling._suspects import CRASHES_BEFORE_TRIAL, Apart

# Costs of placing a task on a worker; the worker with the lowest sum is chosen.
_FAILED_HERE_COST = 100.0
_SLOW_WORKER_COST = 50.0
_REMOTE_DATA_COST = 10.0
# Applies only beside serving tasks with a latency target.  Workers of other
# serving tasks stay up anyway, so batch work that fits there saves a VM.
_BESIDE_SERVING_COST = 4.0
_CROWDED_COST = 20.0
# A crash of a worker with two suspect tasks can't be attributed to one of them.
_SUSPECTS_TOGETHER_COST = 30.0
# A crash beside other tasks does not show its cause, and ends those tasks too.
_NOT_ISOLATED_COST = 25.0
_RECENT_CRASH_COST = 8.0
# A task beside a suspect may be lost with it.  This costs less than running on
# a rack without the data, since few suspects do cause crashes.
_BESIDE_SUSPECT_COST = 6.0
# Keeps tasks without a data rack off racks where waiting tasks have their data.
_DATA_RACK_COST = 2.0

# Cost, tie-breaker by leftover capacity, worker name; the lowest is chosen.
_Cost = tuple[float, float, str]


class WorkerRanking:
    """The workers for the tasks of one step, ranked during planning.

    Free capacity only shrinks during planning, so a worker that can't take one
    task of a step can't take the others either.  All workers are therefore
    ranked once per step instead of once per task, except for serving tasks and
    tasks that ran before: their costs differ from task to task.

    Parameters
    ----------
    step
        The step whose tasks are to be placed.
    rooms
        The workers that accept tasks.
    """

    def __init__(
        self,
        step: ReadyStep,
        rooms: Iterable[WorkerRoom],
    ) -> None:
        """Select the workers with capacity for a task."""
        need = step.spec.room
        self._step = step
        self._rooms = [room for room in rooms if room.left.holds(need)]
        self._heap: list[tuple[_Cost, WorkerRoom]] | None = None

    @property
    def has_rooms(self) -> bool:
        """Whether some worker had capacity for a task."""
        return bool(self._rooms)

    def best(
        self,
        key: TaskKey,
        isolation: Apart = Apart.FROM_NOTHING,
    ) -> WorkerRoom | None:
        """Return the best worker for one task, or None if none fits.

        Parameters
        ----------
        key
            The task.
        isolation
            Which other tasks it must not share a worker with.
        """
        task = self._step.job.task(key)
        was_started = task is not None and bool(task.run)
        if was_started or self._step.spec.is_service:
            # The cost depends on where the task ran before or where other
            # tasks of its step are, so the shared ranking does not apply.
            crashes = task.crash_count if task else 0
            rooms = self._rooms
            if isolation is not Apart.FROM_NOTHING:
                rooms = [
                    room
                    for room in rooms
                    if room.isolates(key.job_id, isolation)
                ]
            return best_room(self._step, key, rooms, crashes)
        return self._cheapest(key)

    def _cheapest(self, key: TaskKey) -> WorkerRoom | None:
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
            # A task was placed on the worker since it was ranked.
            heapq.heapreplace(self._heap, (current, room))
        return None


def best_room(
    step: ReadyStep,
    key: TaskKey,
    rooms: Iterable[WorkerRoom],
    crashes: int = 0,
) -> WorkerRoom | None:
    """Return the best worker for one task, or None if none fits.

    ``crashes`` is the number of worker crashes that the task may have caused.
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
    """Return the cost of placing a task on a worker."""
    spec = step.spec
    report = room.incarnation.report
    task = step.job.task(key)
    cost = _crash_cost(key.job_id, room, crashes)
    if task is not None and task.run and task.worker == report.worker:
        cost += _FAILED_HERE_COST
    if spec.data_rack and spec.data_rack != report.rack:
        cost += _REMOTE_DATA_COST
    elif not spec.data_rack and room.has_local_demand:
        cost += _DATA_RACK_COST
    if room.is_slow:
        cost += _SLOW_WORKER_COST
    if spec.is_service:
        cost += _serving_cost(key, spec, room)
    elif room.has_target:
        cost += _BESIDE_SERVING_COST
    return cost, _leftover_cost(spec, room), report.worker


def _crash_cost(job_id: str, room: WorkerRoom, crashes: int) -> float:
    """Return the cost of placing suspect tasks beside others."""
    if not crashes and not room.suspects:
        return 0.0
    cost = (
        _NOT_ISOLATED_COST
        if room.is_closed and room.trial_job != job_id
        else 0.0
    )
    others = len(room.suspects - {job_id})
    beside = _SUSPECTS_TOGETHER_COST if crashes else _BESIDE_SUSPECT_COST
    cost += others * beside
    if crashes >= CRASHES_BEFORE_TRIAL and room.runs_other_jobs(job_id):
        cost += _NOT_ISOLATED_COST
    if crashes and room.has_crashed_lately:
        cost += _RECENT_CRASH_COST
    return cost


def _serving_cost(key: TaskKey, spec: StepSpec, room: WorkerRoom) -> float:
    """Return the cost of placing a serving task on a worker.

    A step's tasks are spread over at least two workers, so that it survives
    the loss of one.  Beyond that serving tasks are packed on few workers: the
    others can run batch work without disturbing them, and their VMs can move.
    """
    same_step = room.steps[key.job_id, key.occurrence, key.step]
    if same_step >= max_tasks_per_worker(spec):
        return _CROWDED_COST + same_step
    return -min(room.serving, 1)


def _leftover_cost(spec: StepSpec, room: WorkerRoom) -> float:
    """Return a tie-breaker: best fit for batch tasks, worst fit for serving."""
    if spec.is_service:
        return -room.left.processors
    return room.left.processors
