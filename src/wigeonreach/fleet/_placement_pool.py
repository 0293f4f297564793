"""Account for the resources of one pool's workers."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Container, Iterator

from wigeonreach._resources import NO_RESOURCES, Resources
from wigeonreach.fleet._placement_index import ResourceIndex
from wigeonreach.fleet._placement_model import Job, Worker


class CloseReason(enum.StrEnum):
    """Reason why a worker gets no new jobs."""

    DRAINING = 'draining'
    LOST = 'lost'
    QUARANTINE = 'quarantine'


# Ratio of its processors that a throttled job keeps.
THROTTLE_RATIO = 0.25
# Workers that fail together are reported lost within this time of each other,
# because a silent worker is noticed after ten seconds.
_SAME_FAILURE_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Allocation:
    """Resources of a worker that are allocated to one job."""

    job_id: str
    need: Resources
    is_preemptible: bool
    ratio: float = 1.0

    @property
    def allocated(self) -> Resources:
        """Resources that count as used."""
        return self.need.scaled(self.ratio, 1)

    @property
    def throttleable(self) -> Resources:
        """Resources that throttling the job would free."""
        if not self.is_preemptible:
            return NO_RESOURCES
        freed = max(0, self.ratio - THROTTLE_RATIO)
        return Resources(self.need.processors * freed, 0)

    @property
    def stoppable(self) -> Resources:
        """Resources that stopping the job would free."""
        return self.allocated if self.is_preemptible else NO_RESOURCES


@dataclasses.dataclass(slots=True)
class WorkerState:
    """A worker with its jobs and its used and reclaimable resources."""

    worker: Worker
    heard_s: float = 0.0
    lost_s: float = float('-inf')
    used: Resources = NO_RESOURCES
    throttleable: Resources = NO_RESOURCES
    stoppable: Resources = NO_RESOURCES
    allocations: dict[str, Allocation] = dataclasses.field(default_factory=dict)
    closed: set[CloseReason] = dataclasses.field(default_factory=set)

    @property
    def free(self) -> Resources:
        """Unused resources; negative if the worker is overcommitted."""
        return self.worker.resources - self.used

    def add(self, allocation: Allocation) -> None:
        """Add a job's allocation."""
        self.allocations[allocation.job_id] = allocation
        self.used += allocation.allocated
        self.throttleable += allocation.throttleable
        self.stoppable += allocation.stoppable

    def remove(self, job_id: str) -> None:
        """Remove a job's allocation, if there is one."""
        allocation = self.allocations.pop(job_id, None)
        if allocation is None:
            return
        if not self.allocations:
            # Rounding errors must not leave an empty worker partly used.
            self.used = NO_RESOURCES
            self.throttleable = NO_RESOURCES
            self.stoppable = NO_RESOURCES
            return
        self.used -= allocation.allocated
        self.throttleable -= allocation.throttleable
        self.stoppable -= allocation.stoppable


class PoolWorkers:
    """Workers of one pool, indexed by free and reclaimable resources.

    Parameters
    ----------
    held_ratio
        Ratio of each worker's processors that only urgent jobs may use, and
        preemptible jobs until an urgent one needs them.
    """

    def __init__(self, held_ratio: float) -> None:
        """Start without workers."""
        self._held_ratio = held_ratio
        self._workers: dict[str, WorkerState] = {}
        self._ordinary = ResourceIndex()
        self._free = ResourceIndex()
        self._after_throttling = ResourceIndex()
        self._after_stopping = ResourceIndex()
        self._total = ResourceIndex()
        self._indexes = (
            self._ordinary,
            self._free,
            self._after_throttling,
            self._after_stopping,
            self._total,
        )

    def __len__(self) -> int:
        """Return the number of workers."""
        return len(self._workers)

    def __contains__(self, name: str) -> bool:
        """Whether a worker belongs to this pool."""
        return name in self._workers

    def state(self, name: str) -> WorkerState:
        """Return the state of a worker."""
        return self._workers[name]

    def states(self) -> Iterator[WorkerState]:
        """Yield the state of each worker."""
        yield from self._workers.values()

    def mark_lost(self, name: str, now_s: float) -> None:
        """Mark a silent worker as lost and close it to new jobs."""
        self._workers[name].lost_s = now_s
        self.close(name, CloseReason.LOST)

    def lost_with_rack_peers(self, name: str) -> bool:
        """Whether other workers of its rack were lost around the same time."""
        lost = self._workers[name]
        return any(
            other.worker.rack == lost.worker.rack
            and abs(other.lost_s - lost.lost_s) <= _SAME_FAILURE_S
            for other in self._workers.values()
            if other is not lost
        )

    def join(self, worker: Worker) -> None:
        """Add a worker, or reopen a known one and keep its allocations."""
        state = self._workers.setdefault(worker.name, WorkerState(worker))
        state.worker = worker
        state.closed.clear()
        self._refresh(state)

    def leave(self, name: str) -> None:
        """Remove a worker that has moved to another pool."""
        self._workers.pop(name)
        for index in self._indexes:
            index.remove(name)

    def close(self, name: str, reason: CloseReason) -> None:
        """Close a worker to new jobs until this reason is removed."""
        state = self._workers[name]
        state.closed.add(reason)
        self._refresh(state)

    def open(self, name: str, reason: CloseReason) -> None:
        """Remove one reason; the worker may stay closed for another."""
        state = self._workers[name]
        state.closed.discard(reason)
        self._refresh(state)

    def allocate(self, name: str, allocation: Allocation) -> None:
        """Set the allocation of a job on a worker, replacing an earlier one."""
        state = self._workers[name]
        state.remove(allocation.job_id)
        state.add(allocation)
        self._refresh(state)

    def release(self, name: str, job_id: str) -> None:
        """Release the allocation of a job."""
        state = self._workers[name]
        state.remove(job_id)
        self._refresh(state)

    def find_free(
        self,
        job: Job,
        need: Resources,
        excluded: Container[str],
        max_candidates: int | None,
    ) -> str | None:
        """Return a worker with enough free resources for a job."""
        index = self._free if job.is_urgent else self._ordinary
        found = index.find(need, excluded, max_candidates)
        if found is None and job.is_preemptible:
            return self._free.find(need, excluded, max_candidates)
        return found

    def find_throttled(
        self,
        need: Resources,
        excluded: Container[str],
    ) -> str | None:
        """Return a worker on which a need fits once jobs are throttled."""
        return self._after_throttling.find(need, excluded)

    def find_stopped(
        self, need: Resources, excluded: Container[str]
    ) -> str | None:
        """Return a worker on which a need fits once jobs are stopped."""
        return self._after_stopping.find(need, excluded)

    def find_total(self, need: Resources) -> Resources | None:
        """Return the total resources of a worker that could hold a need."""
        name = self._total.find(need, (), None)
        return None if name is None else self._workers[name].worker.resources

    def _refresh(self, state: WorkerState) -> None:
        name = state.worker.name
        resources = state.worker.resources
        self._total.put(name, resources)
        free = state.free
        reserved = resources.scaled(self._held_ratio, 0)
        self._put(
            self._ordinary, state, free - Resources(reserved.processors, 0)
        )
        self._put(self._free, state, free)
        self._put(self._after_throttling, state, free + state.throttleable)
        self._put(self._after_stopping, state, free + state.stoppable)

    def _put(
        self, index: ResourceIndex, state: WorkerState, resources: Resources
    ) -> None:
        if state.closed or not resources.covers(NO_RESOURCES):
            index.remove(state.worker.name)
        else:
            index.put(state.worker.name, resources)
