"""Cache the free capacity of each worker between plans.

In a fleet of hundreds of workers whose queues are full for seconds, a plan is
made several times in a tenth of a second, and only a few workers change
between two plans.
"""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling.placing._worker_capacity import (
    WorkerCapacity,
    worker_capacity,
)


class WorkerCapacityCache:
    """Cached free capacity of all workers, for one term.

    Parameters
    ----------
    store
        The replicated state, which tells what runs where.
    progress
        Tells how long runs have been listed in this term.
    """

    def __init__(self, store: JobStore, progress: ProgressTracker) -> None:
        """Start with an empty cache."""
        self._store = store
        self._progress = progress
        self._capacities: dict[str, WorkerCapacity] = {}

    def forget(self, worker: str) -> None:
        """Drop a worker's cached capacity."""
        self._capacities.pop(worker, None)

    def forget_all(self) -> None:
        """Drop the cached capacity of all workers."""
        self._capacities.clear()

    def get(
        self,
        incarnation: Incarnation,
        stopping: Collection[Run],
    ) -> WorkerCapacity:
        """Return a worker's free capacity beside everything it may run.

        The returned object is the cached one: a caller that places unrecorded
        tasks on it has to call ``forget`` afterwards.
        """
        self._forget_reassigned()
        worker = incarnation.report.worker
        capacity = self._capacities.get(worker)
        if capacity is None:
            capacity = worker_capacity(incarnation, self._store, self._progress)
            self._capacities[worker] = capacity
        held = self._store.runs_of(worker)
        capacity.is_reserved = bool(stopping) and any(
            run in stopping for run in held.items()
        )
        return capacity

    def _forget_reassigned(self) -> None:
        if not self._store.changed_workers:
            return
        for worker in self._store.changed_workers:
            self._capacities.pop(worker, None)
        self._store.changed_workers = set()
