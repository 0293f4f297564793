"""Make room for serving tasks by stopping batch work.

Answers the case of a serving task that lost its worker while its pool is
full: its users wait, while batch work can be done again.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach._room import Room
from wigeonreach.jobs import JobStore, Run, TaskKey
from wigeonreach.scheduling._backlog import part_of
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._room_left import WorkerRoom


@dataclasses.dataclass(slots=True)
class RoomMade:
    """What is done for the serving tasks that found no room.

    Attributes
    ----------
    stops
        Batch runs that leave.
    homeless
        VMs that the tasks fill for which it would not help, by service and
        label.
    """

    stops: set[Run] = dataclasses.field(default_factory=set)
    homeless: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict,
    )

    def note_homeless(self, service: str, label: str, vms: float) -> None:
        """Count tasks in that fill so many VMs."""
        by_label = self.homeless.setdefault(service, {})
        by_label[label] = by_label.get(label, 0) + vms


def make_room(
    unplaced: Iterable[ReadyStep],
    rooms: Mapping[str, list[WorkerRoom]],
    store: JobStore,
    stopping: set[Run],
    vm_room: Room,
) -> RoomMade:
    """Find room for the serving tasks among steps that found none.

    Parameters
    ----------
    unplaced
        Steps with tasks that found no room.
    rooms
        The workers that may take something, by service.
    store
        What runs where.
    stopping
        What is being stopped already; its room is waited for.
    vm_room
        What a VM holds.
    """
    made = RoomMade()
    free = {service: list(found) for service, found in rooms.items()}
    for step in unplaced:
        if not step.spec.is_service:
            continue
        service = store.service_of(step.job)
        leaving = stopping | made.stops
        found = victims_for(step, free.get(service, ()), store, leaving)
        if found is None:
            filled = part_of(step.spec.room, vm_room) * len(step.waiting)
            made.note_homeless(service, step.spec.label, filled)
            continue
        room, runs = found
        made.stops.update(runs)
        free[service].remove(room)
    return made


def victims_for(
    step: ReadyStep,
    rooms: Iterable[WorkerRoom],
    store: JobStore,
    stopping: set[Run],
) -> tuple[WorkerRoom, tuple[Run, ...]] | None:
    """Return where room can be made for one task, and what has to stop.

    Parameters
    ----------
    step
        The step that finds no room.
    rooms
        The workers that may take it.
    store
        What runs where.
    stopping
        What is being stopped already; its room is waited for.

    Returns
    -------
    tuple or None
        The worker for which the fewest runs stop, and these runs; None if
        it would not help anywhere.
    """
    key = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
    options = [
        (room, found)
        for room in rooms
        if (found := _stops_on(room, step, key, store, stopping)) is not None
    ]
    return min(options, key=lambda option: len(option[1]), default=None)


def _stops_on(
    room: WorkerRoom,
    step: ReadyStep,
    key: TaskKey,
    store: JobStore,
    stopping: set[Run],
) -> tuple[Run, ...] | None:
    spec = step.spec
    if not room.allows(key, spec):
        return None
    left = room.left
    chosen: list[Run] = []
    for run, freed in _batch_runs(room, store):
        if left.holds(spec.room):
            break
        left += freed
        if run not in stopping:
            chosen.append(run)
    return tuple(chosen) if left.holds(spec.room) else None


def _batch_runs(
    room: WorkerRoom,
    store: JobStore,
) -> list[tuple[Run, Room]]:
    """Return what may be stopped, the least progress in front."""
    progress = {row.task: row.percent for row in room.incarnation.running}
    held = store.held_by(room.incarnation.report.worker)
    found: list[tuple[int, Run, Room]] = []
    for key, run in held.items():
        spec = store.spec_of(key)
        if spec is not None and not spec.is_service:
            found.append((progress.get(key, 0), (key, run), spec.room))
    found.sort(key=lambda item: (item[0], item[1]))
    return [(run, freed) for _, run, freed in found]
