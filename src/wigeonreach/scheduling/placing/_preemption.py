"""Preempt batch runs to free capacity for serving tasks.

A serving task may lose its worker while its pool is full.  Its users are
waiting, while batch work can be repeated.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach._resources import Resources
from wigeonreach.jobs import JobStore, Run, TaskKey
from wigeonreach.scheduling._backlog import vm_share
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity


@dataclasses.dataclass(slots=True)
class Preemption:
    """What is done for serving tasks without a worker.

    Attributes
    ----------
    stops
        Batch runs to be stopped.
    unmet_vms
        Number of VMs needed by the steps that preemption can't help, by service
        and label.  All waiting tasks of such a step count, also those that the
        plan has just placed.
    """

    stops: set[Run] = dataclasses.field(default_factory=set)
    unmet_vms: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict,
    )

    def add_unmet(self, service: str, label: str, vms: float) -> None:
        """Add tasks that need a number of VMs."""
        by_label = self.unmet_vms.setdefault(service, {})
        by_label[label] = by_label.get(label, 0) + vms


def plan_preemption(
    unplaced: Iterable[ReadyStep],
    workers: Mapping[str, list[WorkerCapacity]],
    store: JobStore,
    stopping: set[Run],
    vm_resources: Resources,
) -> Preemption:
    """Choose batch runs to preempt for unplaced serving tasks.

    Parameters
    ----------
    unplaced
        Steps with tasks that were not placed.  Not all of these tasks lack
        capacity: some wait, for instance to be isolated.
    workers
        The workers that accept tasks, by service.
    store
        The replicated state, which tells what runs where.
    stopping
        Runs that are being stopped already; their capacity is counted on.
    vm_resources
        Capacity of one VM.
    """
    preemption = Preemption()
    candidates = {service: list(found) for service, found in workers.items()}
    for step in unplaced:
        if not step.spec.is_service:
            continue
        service = store.service_of(step.job)
        stopped = stopping | preemption.stops
        found = victims_for(step, candidates.get(service, ()), store, stopped)
        if found is None:
            vms = vm_share(step.spec.resources, vm_resources) * len(
                step.waiting_tasks
            )
            preemption.add_unmet(service, step.spec.label, vms)
            continue
        worker, runs = found
        preemption.stops.update(runs)
        candidates[service].remove(worker)
    return preemption


def victims_for(
    step: ReadyStep,
    workers: Iterable[WorkerCapacity],
    store: JobStore,
    stopping: set[Run],
) -> tuple[WorkerCapacity, tuple[Run, ...]] | None:
    """Return the worker to free for one task, and the runs to stop there.

    Parameters
    ----------
    step
        The step of the task that fits on no worker.
    workers
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
        (worker, found)
        for worker in workers
        if (found := _victims_on(worker, step, key, store, stopping))
        is not None
    ]
    return min(options, key=lambda option: len(option[1]), default=None)


def _victims_on(
    worker: WorkerCapacity,
    step: ReadyStep,
    key: TaskKey,
    store: JobStore,
    stopping: set[Run],
) -> tuple[Run, ...] | None:
    spec = step.spec
    if not worker.meets_constraints(key, spec):
        return None
    free = worker.free
    victims: list[Run] = []
    for run, freed in _preemptible_runs(worker, store):
        if free.covers(spec.resources):
            break
        free += freed
        if run not in stopping:
            victims.append(run)
    return tuple(victims) if free.covers(spec.resources) else None


def _preemptible_runs(
    worker: WorkerCapacity,
    store: JobStore,
) -> list[tuple[Run, Resources]]:
    """Return the batch runs of a worker, those with least progress first."""
    progress = {row.task: row.percent for row in worker.incarnation.running}
    held = store.runs_of(worker.incarnation.report.worker)
    runs: list[tuple[int, Run, Resources]] = []
    for key, run in held.items():
        spec = store.spec_of(key)
        if spec is not None and not spec.is_service:
            runs.append((progress.get(key, 0), (key, run), spec.resources))
    runs.sort(key=lambda item: (item[0], item[1]))
    return [(run, freed) for _, run, freed in runs]
