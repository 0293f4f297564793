"""Choose workers for the tasks that may start."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

from wigeonreach._room import Room
from wigeonreach.jobs import JobStore, Run, RunStarted, TaskKey
from wigeonreach.scheduling._advice import TicketCache
from wigeonreach.scheduling._choosing import Ranking, best_room
from wigeonreach.scheduling._near import NearRooms, fits_whole
from wigeonreach.scheduling._preempting import RoomMade, make_room
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._room_left import WorkerRoom
from wigeonreach.scheduling._suspects import Apart, Suspects
from wigeonreach.scheduling.sharing import CapPlan

# Of a pool's workers, so many may have one task alone.
_MOST_CLOSED_RATIO = 0.34


class Plan:
    """Starts that are decided together, on the room of this moment.

    Parameters
    ----------
    store
        What is accepted and where it runs.
    rooms
        The workers that may take something, by service.
    advice
        Tickets of the queues that need them.
    near
        Who waits for room near its data.
    suspects
        Which tasks may bring their workers down.
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
        near: NearRooms,
        suspects: Suspects,
        caps: CapPlan,
        now_s: float,
    ) -> None:
        """Start nothing yet."""
        self._caps = caps
        self._near = near
        self._suspects = suspects
        self._store = store
        self._rooms = rooms
        self._advice = advice
        self._now_s = now_s
        self.starts: list[RunStarted] = []
        self.unplaced: list[ReadyStep] = []
        # What found no room on any worker of a service.
        self._too_large: dict[str, list[Room]] = {}

    def place(self, steps: Sequence[ReadyStep]) -> None:
        """Place the tasks of steps, in their order."""
        self._mark_wanted(steps)
        self._keep_for_trials(steps)
        for step in steps:
            if not self._caps.allows(step.job, step.spec):
                # No room that is made or waited for would help.
                continue
            rooms = self._rooms_for(step)
            if step.spec.is_gang:
                is_placed = self._place_gang(step, rooms)
            else:
                is_placed = self._place_each(step, rooms)
            if not is_placed:
                self.unplaced.append(step)

    def make_room(self, stopping: set[Run], vm_room: Room) -> RoomMade:
        """Find room for the serving tasks that found none.

        Parameters
        ----------
        stopping
            What is being stopped already; its room is waited for.
        vm_room
            What a VM holds.
        """
        return make_room(
            self.unplaced,
            self._rooms,
            self._store,
            stopping,
            vm_room,
        )

    def _mark_wanted(self, steps: Iterable[ReadyStep]) -> None:
        """Take note near which workers the data of some step lies."""
        wanted = {
            (self._service_of(step), step.spec.data_rack) for step in steps
        }
        for service, rooms in self._rooms.items():
            for room in rooms:
                rack = room.incarnation.report.rack
                room.is_wanted_near = (service, rack) in wanted

    def _keep_for_trials(self, steps: Iterable[ReadyStep]) -> None:
        """Let workers run empty for the tasks that have to run alone.

        Those with the fewest crashes come first: most sound ones are there.
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
            keep_for_trial(step, self._rooms_for(step), pool)

    def _crashes_before_trial(self, step: ReadyStep) -> int:
        """Return the fewest crashes of a task that has to run alone, or 0."""
        tasks = step.job.occurrences[step.occurrence][step.step]
        return min(
            (
                tasks[index].crash_count
                for index in step.waiting
                if tasks[index].crashes
                and self._kept_apart(step, _key(step, index)) is Apart.FROM_ALL
            ),
            default=0,
        )

    def _rooms_for(self, step: ReadyStep) -> Sequence[WorkerRoom]:
        """Return the workers that may take a step now."""
        rooms: Sequence[WorkerRoom]
        rooms = self._pool_of(step)
        rooms = self._near.near(step, rooms)
        if step.job.queue.advice is not None:
            rooms = self._advice.allowed(step, rooms, self._now_s)
        if step.spec.is_rack_local:
            rooms = self._near.one_rack(step, rooms)
        return rooms

    def _place_each(
        self,
        step: ReadyStep,
        rooms: Sequence[WorkerRoom],
    ) -> bool:
        waiting = self._startable(step)
        ranking = self._ranking(step, rooms)
        if ranking is None:
            self._near.note_waiting(step, len(waiting))
            return not waiting
        is_placed = True
        for placed, index in enumerate(waiting):
            key = _key(step, index)
            apart = self._kept_apart(step, key)
            room = ranking.best(key, apart)
            if room is None and apart is Apart.FROM_NOTHING:
                self._near.note_waiting(step, len(waiting) - placed)
                return False
            if room is None or _waits_for_another(step, key, room, rooms):
                is_placed = False
                continue
            self._start(step, key, room, _next_run(step, index))
        return is_placed

    def _startable(self, step: ReadyStep) -> list[int]:
        """Return the tasks of a step that may start if there is room."""
        waiting = [
            index
            for index in step.waiting
            if not self._must_wait(step, _key(step, index))
        ]
        allowed = self._caps.most(step.job, step.spec, len(waiting))
        return waiting[:allowed]

    def _ranking(
        self,
        step: ReadyStep,
        rooms: Sequence[WorkerRoom],
    ) -> Ranking | None:
        """Return the workers for a step, or None if its tasks fit on none.

        Room only shrinks while a plan is made: with a full pool most steps that
        wait need no look at its workers, as a smaller task found no room before.
        """
        need = step.spec.room
        refused = self._too_large.setdefault(self._service_of(step), [])
        if any(need.holds(smaller) for smaller in refused):
            return None
        ranking = Ranking(step, rooms)
        if ranking.has_rooms:
            return ranking
        if rooms is self._pool_of(step):
            refused.append(need)
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
        # Only whole: members that wait for others hold room for nothing.
        if len(step.waiting) < step.spec.count:
            return False
        if any(self._must_wait(step, _key(step, at)) for at in step.waiting):
            return True
        chosen = _fit_all(step, rooms)
        if chosen is None:
            self._near.note_waiting(step, len(step.waiting))
            return False
        run = max(_next_run(step, index) for index in step.waiting)
        for member, taken in chosen:
            self._start(step, member, taken, run)
        return True

    def _start(
        self,
        step: ReadyStep,
        key: TaskKey,
        room: WorkerRoom,
        run: int,
    ) -> None:
        room.add(key, step.spec)
        self._caps.take(step.job, step.spec.amounts)
        task = step.job.task(key)
        if task is not None and task.crash_count:
            self._note_suspect(step, room, task.crash_count)
        report = room.incarnation.report
        vm = report.vm_or_address
        self.starts.append(RunStarted(key, run, report.worker, vm))

    def _must_wait(self, step: ReadyStep, key: TaskKey) -> bool:
        task = step.job.task(key)
        return task is not None and self._suspects.must_wait(key, task)

    def _kept_apart(self, step: ReadyStep, key: TaskKey) -> Apart:
        """Return from what a task is kept; users of serving ones don't wait."""
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
        room.note_suspect(step.job.spec.job_id, crashes)
        close_trials(self._rooms[self._service_of(step)])


def keep_for_trial(
    step: ReadyStep,
    rooms: Sequence[WorkerRoom],
    pool: Sequence[WorkerRoom],
) -> None:
    """Keep others away from a worker for a task that has to run alone.

    Parameters
    ----------
    step
        Whose task it is.
    rooms, pool
        The workers that may take it, and all of its service.
    """
    job_id = step.job.spec.job_id
    trials = [room for room in pool if room.trial_job]
    if len(trials) >= _most_closed(pool):
        return
    if any(room.trial_job == job_id for room in trials):
        return
    emptiest = min(
        (room for room in rooms if room.may_run_empty_for(step.spec)),
        key=lambda room: (sum(room.steps.values()), room.name),
        default=None,
    )
    if emptiest is not None:
        emptiest.trial_job = job_id
        close_trials(pool)


def close_trials(rooms: Sequence[WorkerRoom]) -> None:
    """Keep others away from tasks that have to run alone.

    Most of a pool stays open: with many such tasks at once those that find no
    worker for themselves wait, and then run beside others.
    """
    trials = [room for room in rooms if room.trial_job]
    trials.sort(key=lambda room: room.has_others(room.trial_job))
    allowed = _most_closed(rooms)
    for number, room in enumerate(trials):
        room.is_closed = number < allowed


def _most_closed(rooms: Sequence[WorkerRoom]) -> int:
    return max(int(len(rooms) * _MOST_CLOSED_RATIO), 1)


def _fit_all(
    step: ReadyStep,
    rooms: Sequence[WorkerRoom],
) -> list[tuple[TaskKey, WorkerRoom]] | None:
    """Return where all waiting tasks of a step fit together, if they do."""
    if not fits_whole(step, rooms):
        # Most that wait are told so without trying it out.
        return None
    copies = [
        dataclasses.replace(room, steps=room.steps.copy()) for room in rooms
    ]
    originals = dict(zip(map(id, copies), rooms, strict=True))
    chosen: list[tuple[TaskKey, WorkerRoom]] = []
    for index in step.waiting:
        key = _key(step, index)
        task = step.job.task(key)
        crashes = task.crash_count if task else 0
        room = best_room(step, key, copies, crashes)
        if room is None:
            return None
        room.add(key, step.spec)
        chosen.append((key, originals[id(room)]))
    return chosen


def _key(step: ReadyStep, index: int) -> TaskKey:
    return TaskKey(step.job.spec.job_id, step.occurrence, step.step, index)


def _next_run(step: ReadyStep, index: int) -> int:
    task = step.job.task(_key(step, index))
    return task.run + 1 if task else 1


def _waits_for_another(
    step: ReadyStep,
    key: TaskKey,
    room: WorkerRoom,
    rooms: Sequence[WorkerRoom],
) -> bool:
    """Whether a task's last run would be where it failed before.

    A worker that fails all that it starts must not end a job by itself.
    """
    task = step.job.task(key)
    if task is None or task.worker != room.incarnation.report.worker:
        return False
    is_last = task.failures + 1 >= step.job.queue.max_failures
    return bool(task.failures) and is_last and len(rooms) > 1
