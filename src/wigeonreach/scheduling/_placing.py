"""Assign the tasks that may start to workers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

from wigeonreach._room import Room
from wigeonreach.jobs import JobStore, Run, RunStarted, TaskKey
from wigeonreach.scheduling._advice import TicketCache
from wigeonreach.scheduling._choosing import WorkerRanking, best_room
from wigeonreach.scheduling._locality import DataLocality, fits_all_tasks
from wigeonreach.scheduling._preempting import Preemption, plan_preemption
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._room_left import WorkerRoom
from wigeonreach.scheduling._suspects import Apart, Suspects
from wigeonreach.scheduling.sharing import CapPlan

# Share of a pool's workers that may be reserved for isolated tasks.
_MAX_CLOSED_RATIO = 0.34


class Plan:
    """Task starts that are decided together, on the current capacity.

    Parameters
    ----------
    store
        The accepted jobs and where their tasks run.
    rooms
        The workers that accept tasks, by service.
    advice
        Tickets for the queues that require them.
    locality
        Decides which steps wait for capacity near their data.
    suspects
        The tasks that may crash their workers.
    caps
        What the workspaces may still start.
    now_s
        Clock in seconds.
    """

    def __init__(
        self,
        store: JobStore,
        rooms: dict[str, list[WorkerRoom]],
        advice: TicketCache,
        locality: DataLocality,
        suspects: Suspects,
        caps: CapPlan,
        now_s: float,
    ) -> None:
        """Start with an empty plan."""
        self._caps = caps
        self._locality = locality
        self._suspects = suspects
        self._store = store
        self._rooms = rooms
        self._advice = advice
        self._now_s = now_s
        self.starts: list[RunStarted] = []
        self.unplaced: list[ReadyStep] = []
        # Requests that fit on no worker of a service.
        self._unplaceable: dict[str, list[Room]] = {}

    def place(self, steps: Sequence[ReadyStep]) -> None:
        """Place the tasks of steps, in the given order."""
        self._mark_data_racks(steps)
        self._reserve_trial_workers(steps)
        for step in steps:
            if not self._caps.allows(step.job, step.spec):
                # Blocked by its cap, so more capacity would not help.
                continue
            rooms = self._candidate_rooms(step)
            if step.spec.is_gang:
                is_placed = self._place_gang(step, rooms)
            else:
                is_placed = self._place_tasks(step, rooms)
            if not is_placed:
                self.unplaced.append(step)

    def make_room(self, stopping: set[Run], vm_room: Room) -> Preemption:
        """Choose batch runs to preempt for unplaced serving tasks.

        Parameters
        ----------
        stopping
            Runs that are being stopped already; their capacity is counted on.
        vm_room
            Capacity of one VM.
        """
        return plan_preemption(
            self.unplaced,
            self._rooms,
            self._store,
            stopping,
            vm_room,
        )

    def _mark_data_racks(self, steps: Iterable[ReadyStep]) -> None:
        """Mark the workers on racks that hold the data of some step."""
        data_racks = {
            (self._service_of(step), step.spec.data_rack) for step in steps
        }
        for service, rooms in self._rooms.items():
            for room in rooms:
                rack = room.incarnation.report.rack
                room.has_local_demand = (service, rack) in data_racks

    def _reserve_trial_workers(self, steps: Iterable[ReadyStep]) -> None:
        """Reserve workers for the tasks that have to run alone.

        Tasks with the fewest crashes come first: most of the tasks that do not
        cause crashes are among them.
        """
        if not self._suspects.may_wait:
            return
        trials = [
            (crashes, step)
            for step in steps
            if not step.spec.is_gang
            and (crashes := self._crashes_before_trial(step))
        ]
        trials.sort(key=lambda trial: trial[0])
        for _, step in trials:
            pool = self._pool_of(step)
            reserve_for_trial(step, self._candidate_rooms(step), pool)

    def _crashes_before_trial(self, step: ReadyStep) -> int:
        """Return the fewest crashes among tasks that must run alone, or 0."""
        tasks = step.job.occurrences[step.occurrence][step.step]
        return min(
            (
                tasks[index].crash_count
                for index in step.waiting
                if tasks[index].crashes
                and self._isolation_of(step, _task_key(step, index))
                is Apart.FROM_ALL
            ),
            default=0,
        )

    def _candidate_rooms(self, step: ReadyStep) -> Sequence[WorkerRoom]:
        """Return the workers that may run tasks of a step now."""
        rooms: Sequence[WorkerRoom]
        rooms = self._pool_of(step)
        rooms = self._locality.local_rooms(step, rooms)
        if step.job.queue.advice is not None:
            rooms = self._advice.allowed(step, rooms, self._now_s)
        if step.spec.is_rack_local:
            rooms = self._locality.single_rack_rooms(step, rooms)
        return rooms

    def _place_tasks(
        self,
        step: ReadyStep,
        rooms: Sequence[WorkerRoom],
    ) -> bool:
        waiting = self._startable(step)
        ranking = self._ranking(step, rooms)
        if ranking is None:
            self._locality.add_queued(step, len(waiting))
            return not waiting
        is_placed = True
        for placed, index in enumerate(waiting):
            key = _task_key(step, index)
            isolation = self._isolation_of(step, key)
            room = ranking.best(key, isolation)
            if room is None and isolation is Apart.FROM_NOTHING:
                self._locality.add_queued(step, len(waiting) - placed)
                return False
            if room is None or _awaits_other_worker(step, key, room, rooms):
                is_placed = False
                continue
            self._start(step, key, room, _next_run(step, index))
        return is_placed

    def _startable(self, step: ReadyStep) -> list[int]:
        """Return the tasks of a step that may start, given enough capacity."""
        waiting = [
            index
            for index in step.waiting
            if not self._must_wait(step, _task_key(step, index))
        ]
        allowed = self._caps.startable_count(step.job, step.spec, len(waiting))
        return waiting[:allowed]

    def _ranking(
        self,
        step: ReadyStep,
        rooms: Sequence[WorkerRoom],
    ) -> WorkerRanking | None:
        """Return the ranked workers for a step, or None if none fits.

        Capacity only shrinks during planning.  In a full pool most steps need
        no look at the workers, because a smaller task did not fit before.
        """
        need = step.spec.room
        unplaceable = self._unplaceable.setdefault(self._service_of(step), [])
        if any(need.holds(request) for request in unplaceable):
            return None
        ranking = WorkerRanking(step, rooms)
        if ranking.has_rooms:
            return ranking
        if rooms is self._pool_of(step):
            unplaceable.append(need)
        return None

    def _service_of(self, step: ReadyStep) -> str:
        return self._store.service_of(step.job)

    def _pool_of(self, step: ReadyStep) -> Sequence[WorkerRoom]:
        return self._rooms.get(self._service_of(step), ())

    def _place_gang(
        self,
        step: ReadyStep,
        rooms: Sequence[WorkerRoom],
    ) -> bool:
        # A gang starts as a whole; members that wait for others would occupy
        # capacity without working.
        if len(step.waiting) < step.spec.count:
            return False
        if any(
            self._must_wait(step, _task_key(step, at)) for at in step.waiting
        ):
            return True
        chosen = _fit_gang(step, rooms)
        if chosen is None:
            self._locality.add_queued(step, len(step.waiting))
            return False
        run = max(_next_run(step, index) for index in step.waiting)
        for key, room in chosen:
            self._start(step, key, room, run)
        return True

    def _start(
        self,
        step: ReadyStep,
        key: TaskKey,
        room: WorkerRoom,
        run: int,
    ) -> None:
        room.add(key, step.spec)
        self._caps.add_start(step.job, step.spec.amounts)
        task = step.job.task(key)
        if task is not None and task.crash_count:
            self._note_suspect(step, room, task.crash_count)
        report = room.incarnation.report
        vm = report.vm_or_address
        self.starts.append(RunStarted(key, run, report.worker, vm))

    def _must_wait(self, step: ReadyStep, key: TaskKey) -> bool:
        task = step.job.task(key)
        return task is not None and self._suspects.must_wait(key, task)

    def _isolation_of(self, step: ReadyStep, key: TaskKey) -> Apart:
        """Return a task's isolation; serving tasks are never isolated."""
        task = step.job.task(key)
        if task is None or step.spec.is_service:
            return Apart.FROM_NOTHING
        return self._suspects.kept_apart(key, task)

    def _note_suspect(
        self,
        step: ReadyStep,
        room: WorkerRoom,
        crashes: int,
    ) -> None:
        room.add_suspect(step.job.spec.job_id, crashes)
        close_trial_workers(self._rooms[self._service_of(step)])


def reserve_for_trial(
    step: ReadyStep,
    rooms: Sequence[WorkerRoom],
    pool: Sequence[WorkerRoom],
) -> None:
    """Reserve the emptiest worker for a task that has to run alone.

    Parameters
    ----------
    step
        The step that the task belongs to.
    rooms
        The workers that may run the task.
    pool
        All workers of its service.
    """
    job_id = step.job.spec.job_id
    trials = [room for room in pool if room.trial_job]
    if len(trials) >= _max_closed(pool):
        return
    if any(room.trial_job == job_id for room in trials):
        return
    emptiest = min(
        (room for room in rooms if room.can_host_trial(step.spec)),
        key=lambda room: (sum(room.steps.values()), room.name),
        default=None,
    )
    if emptiest is not None:
        emptiest.trial_job = job_id
        close_trial_workers(pool)


def close_trial_workers(rooms: Sequence[WorkerRoom]) -> None:
    """Close reserved workers to the tasks of other jobs.

    Most of a pool stays open.  With many isolated tasks at once, those without
    a worker of their own wait for a while and then run beside others.
    """
    trials = [room for room in rooms if room.trial_job]
    trials.sort(key=lambda room: room.runs_other_jobs(room.trial_job))
    allowed = _max_closed(rooms)
    for number, room in enumerate(trials):
        room.is_closed = number < allowed


def _max_closed(rooms: Sequence[WorkerRoom]) -> int:
    return max(int(len(rooms) * _MAX_CLOSED_RATIO), 1)


def _fit_gang(
    step: ReadyStep,
    rooms: Sequence[WorkerRoom],
) -> list[tuple[TaskKey, WorkerRoom]] | None:
    """Return a worker for each task of a gang, or None if it does not fit."""
    if not fits_all_tasks(step, rooms):
        # This cheap check rules out most gangs that don't fit.
        return None
    copies = [
        dataclasses.replace(room, steps=room.steps.copy()) for room in rooms
    ]
    originals = dict(zip(map(id, copies), rooms, strict=True))
    chosen: list[tuple[TaskKey, WorkerRoom]] = []
    for index in step.waiting:
        key = _task_key(step, index)
        task = step.job.task(key)
        crashes = task.crash_count if task else 0
        room = best_room(step, key, copies, crashes)
        if room is None:
            return None
        room.add(key, step.spec)
        chosen.append((key, originals[id(room)]))
    return chosen


def _task_key(step: ReadyStep, index: int) -> TaskKey:
    return TaskKey(step.job.spec.job_id, step.occurrence, step.step, index)


def _next_run(step: ReadyStep, index: int) -> int:
    task = step.job.task(_task_key(step, index))
    return task.run + 1 if task else 1


def _awaits_other_worker(
    step: ReadyStep,
    key: TaskKey,
    room: WorkerRoom,
    rooms: Sequence[WorkerRoom],
) -> bool:
    """Whether a task's last attempt would use the worker it failed on.

    A worker that fails every task must not make a job fail by itself.
    """
    task = step.job.task(key)
    if task is None or task.worker != room.incarnation.report.worker:
        return False
    is_last = task.failures + 1 >= step.job.queue.max_failures
    return bool(task.failures) and is_last and len(rooms) > 1
