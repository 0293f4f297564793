"""Account for the room of one pool's workers."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Container, Iterator

from wigeonreach._room import NO_ROOM, Room
from wigeonreach.fleet._placement_index import RoomIndex
from wigeonreach.fleet._placement_model import Job, Worker


class Closed(enum.StrEnum):
    """Why a worker gets nothing new."""

    DRAINING = 'draining'
    LOST = 'lost'
    QUARANTINE = 'quarantine'


# A throttled job keeps this part of its processors.
THROTTLE_RATIO = 0.25
# Workers that go down together are found lost within the ten seconds after which
# silence is noticed.
_TOGETHER_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """What one job takes of its worker."""

    job_id: str
    need: Room
    gives_way: bool
    ratio: float = 1.0

    @property
    def taken(self) -> Room:
        """The room that counts as used."""
        return self.need.scaled(self.ratio, 1)

    @property
    def throttleable(self) -> Room:
        """The room that throttling it would free."""
        if not self.gives_way:
            return NO_ROOM
        freed = max(0, self.ratio - THROTTLE_RATIO)
        return Room(self.need.processors * freed, 0)

    @property
    def stoppable(self) -> Room:
        """The room that stopping it would free."""
        return self.taken if self.gives_way else NO_ROOM


@dataclasses.dataclass(slots=True)
class WorkerState:
    """A worker, its jobs and what is free on it."""

    worker: Worker
    heard_s: float = 0.0
    lost_s: float = float('-inf')
    used: Room = NO_ROOM
    throttleable: Room = NO_ROOM
    stoppable: Room = NO_ROOM
    tenants: dict[str, Tenant] = dataclasses.field(default_factory=dict)
    closed: set[Closed] = dataclasses.field(default_factory=set)

    @property
    def free(self) -> Room:
        """What nobody uses; below zero if a job grew past what is there."""
        return self.worker.room - self.used

    def add(self, tenant: Tenant) -> None:
        """Count a job in."""
        self.tenants[tenant.job_id] = tenant
        self.used += tenant.taken
        self.throttleable += tenant.throttleable
        self.stoppable += tenant.stoppable

    def drop(self, job_id: str) -> None:
        """Count a job out, if it is there."""
        tenant = self.tenants.pop(job_id, None)
        if tenant is None:
            return
        if not self.tenants:
            # Sums of fractions must not leave an empty worker in use.
            self.used = NO_ROOM
            self.throttleable = NO_ROOM
            self.stoppable = NO_ROOM
            return
        self.used -= tenant.taken
        self.throttleable -= tenant.throttleable
        self.stoppable -= tenant.stoppable


class PoolRooms:
    """Workers of one pool, found by the room that they have or can make.

    Parameters
    ----------
    held_ratio
        Part of each worker's processors that only urgent work, and work that
        gives way to it, may use.
    """

    def __init__(self, held_ratio: float) -> None:
        """Start without a worker."""
        self._held_ratio = held_ratio
        self._workers: dict[str, WorkerState] = {}
        self._ordinary = RoomIndex()
        self._free = RoomIndex()
        self._throttled = RoomIndex()
        self._stopped = RoomIndex()
        self._whole = RoomIndex()
        self._indexes = (
            self._ordinary,
            self._free,
            self._throttled,
            self._stopped,
            self._whole,
        )

    def __len__(self) -> int:
        """Return the number of workers."""
        return len(self._workers)

    def __contains__(self, name: str) -> bool:
        """Whether a worker is of this pool."""
        return name in self._workers

    def state(self, name: str) -> WorkerState:
        """Return a worker's state."""
        return self._workers[name]

    def states(self) -> Iterator[WorkerState]:
        """Yield the state of each worker."""
        yield from self._workers.values()

    def lose(self, name: str, now_s: float) -> None:
        """Give a worker that fell silent nothing new."""
        self._workers[name].lost_s = now_s
        self.close(name, Closed.LOST)

    def lost_with_rack(self, name: str) -> bool:
        """Whether others of a lost worker's rack were lost about when it was."""
        lost = self._workers[name]
        return any(
            other.worker.rack == lost.worker.rack
            and abs(other.lost_s - lost.lost_s) <= _TOGETHER_S
            for other in self._workers.values()
            if other is not lost
        )

    def join(self, worker: Worker) -> None:
        """Add a worker, or open it again; its jobs stay counted."""
        state = self._workers.setdefault(worker.name, WorkerState(worker))
        state.worker = worker
        state.closed.clear()
        self._refresh(state)

    def leave(self, name: str) -> None:
        """Forget a worker that now is of another pool."""
        self._workers.pop(name)
        for index in self._indexes:
            index.remove(name)

    def close(self, name: str, reason: Closed) -> None:
        """Give a worker nothing new until this reason is gone."""
        state = self._workers[name]
        state.closed.add(reason)
        self._refresh(state)

    def open(self, name: str, reason: Closed) -> None:
        """Take one reason away; the worker may be closed for another."""
        state = self._workers[name]
        state.closed.discard(reason)
        self._refresh(state)

    def take(self, name: str, tenant: Tenant) -> None:
        """Count a job on a worker, in place of what it counted before."""
        state = self._workers[name]
        state.drop(tenant.job_id)
        state.add(tenant)
        self._refresh(state)

    def give_back(self, name: str, job_id: str) -> None:
        """Count a job out."""
        state = self._workers[name]
        state.drop(job_id)
        self._refresh(state)

    def find_free(
        self,
        job: Job,
        need: Room,
        excluded: Container[str],
        probes: int | None,
    ) -> str | None:
        """Return a worker on which a job fits now."""
        index = self._free if job.is_urgent else self._ordinary
        found = index.find(need, excluded, probes)
        if found is None and job.gives_way:
            return self._free.find(need, excluded, probes)
        return found

    def find_throttled(
        self,
        need: Room,
        excluded: Container[str],
    ) -> str | None:
        """Return a worker on which a job fits once others are throttled."""
        return self._throttled.find(need, excluded)

    def find_stopped(self, need: Room, excluded: Container[str]) -> str | None:
        """Return a worker on which a job fits once others are stopped."""
        return self._stopped.find(need, excluded)

    def largest_for(self, need: Room) -> Room | None:
        """Return the whole room of a worker that could hold a need."""
        name = self._whole.find(need, (), None)
        return None if name is None else self._workers[name].worker.room

    def _refresh(self, state: WorkerState) -> None:
        name = state.worker.name
        room = state.worker.room
        self._whole.put(name, room)
        free = state.free
        held = room.scaled(self._held_ratio, 0)
        self._put(self._ordinary, state, free - Room(held.processors, 0))
        self._put(self._free, state, free)
        self._put(self._throttled, state, free + state.throttleable)
        self._put(self._stopped, state, free + state.stoppable)

    def _put(self, index: RoomIndex, state: WorkerState, room: Room) -> None:
        if state.closed or not room.holds(NO_ROOM):
            index.remove(state.worker.name)
        else:
            index.put(state.worker.name, room)
