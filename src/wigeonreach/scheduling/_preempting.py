"""Preempt batch runs to free capacity for serving tasks.

A serving task may lose its worker while its pool is full.  Its users are
waiting, while batch work can be repeated.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach._room import Room
from wigeonreach.jobs import JobStore, Run, TaskKey
from wigeonreach.scheduling._backlog import vm_share
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._room_left import WorkerRoom


@dataclasses.dataclass(slots=True)
class Preemption:
    """What is done for serving tasks without a worker.

    Attributes
    ----------
    stops
        Batch runs to be stopped.
    homeless
        Number of VMs needed by the steps that preemption can't help, by service
        and label.  All waiting tasks of such a step count, also those that the
        plan has just placed.
    """

    stops: set[Run] = dataclasses.field(default_factory=set)
    homeless: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict,
    )

    def add_unmet(self, service: str, label: str, vms: float) -> None:
        """Add tasks that need a number of VMs."""
        by_label = self.homeless.setdefault(service, {})
        by_label[label] = by_label.get(label, 0) + vms


def plan_preemption(
    unplaced: Iterable[ReadyStep],
    rooms: Mapping[str, list[WorkerRoom]],
    store: JobStore,
    stopping: set[Run],
    vm_room: Room,
) -> Preemption:
    """Choose batch runs to preempt for unplaced serving tasks.

    Parameters
    ----------
    unplaced
        Steps with tasks that were not placed.  Not all of these tasks lack
        room: some wait, for instance to be isolated.
    rooms
        The workers that accept tasks, by service.
    store
        The replicated state, which tells what runs where.
    stopping
        Runs that are being stopped already; their capacity is counted on.
    vm_room
        Capacity of one VM.
    """
    preemption = Preemption()
    candidates = {service: list(found) for service, found in rooms.items()}
    for step in unplaced:
        if not step.spec.is_service:
            continue
        service = store.service_of(step.job)
        stopped = stopping | preemption.stops
        found = victims_for(step, candidates.get(service, ()), store, stopped)
        if found is None:
            vms = vm_share(step.spec.room, vm_room) * len(step.waiting)
            preemption.add_unmet(service, step.spec.label, vms)
            continue
        room, runs = found
        preemption.stops.update(runs)
        candidates[service].remove(room)
    return preemption


def victims_for(
    step: ReadyStep,
    rooms: Iterable[WorkerRoom],
    store: JobStore,
    stopping: set[Run],
) -> tuple[WorkerRoom, tuple[Run, ...]] | None:
    """Return the worker to free for one task, and the runs to stop there.

    Parameters
    ----------
    step
        The step of the task that fits on no worker.
    rooms
        The workers that may run the task.
    store
        The replicated state, which tells what runs where.
    stopping
        Runs that are being stopped already; their capacity is counted on.

    Returns
    -------
    tuple or None
        The worker where the fewest runs have to stop, and these runs; None
        if stopping batch runs does not help on any worker.
    """
    key = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
    options = [
        (room, found)
        for room in rooms
        if (found := _victims_on(room, step, key, store, stopping)) is not None
    ]
    return min(options, key=lambda option: len(option[1]), default=None)


def _victims_on(
    room: WorkerRoom,
    step: ReadyStep,
    key: TaskKey,
    store: JobStore,
    stopping: set[Run],
) -> tuple[Run, ...] | None:
    spec = step.spec
    if not room.meets_constraints(key, spec):
        return None
    free = room.left
    victims: list[Run] = []
    for run, freed in _preemptible_runs(room, store):
        if free.holds(spec.room):
            break
        free += freed
        if run not in stopping:
            victims.append(run)
    return tuple(victims) if free.holds(spec.room) else None


def _preemptible_runs(
    room: WorkerRoom,
    store: JobStore,
) -> list[tuple[Run, Room]]:
    """Return the batch runs of a worker, those with least progress first."""
    progress = {row.task: row.percent for row in room.incarnation.running}
    held = store.held_by(room.incarnation.report.worker)
    runs: list[tuple[int, Run, Room]] = []
    for key, run in held.items():
        spec = store.spec_of(key)
        if spec is not None and not spec.is_service:
            runs.append((progress.get(key, 0), (key, run), spec.room))
    runs.sort(key=lambda item: (item[0], item[1]))
    return [(run, freed) for _, run, freed in runs]
