"""Cache the free capacity of each worker between plans.

In a fleet of hundreds of workers whose queues are full for seconds, a plan is
made several times in a tenth of a second, and only a few workers change
between two plans.
"""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._room_left import WorkerRoom, room_left


class RoomCache:
    """Cached free capacity of all workers, for one term.

    Parameters
    ----------
    store
        The replicated state, which tells what runs where.
    progress
        Tells how long runs have been listed in this term.
    """

    def __init__(self, store: JobStore, progress: ProgressWatch) -> None:
        """Start with an empty cache."""
        self._store = store
        self._progress = progress
        self._rooms: dict[str, WorkerRoom] = {}

    def forget(self, worker: str) -> None:
        """Drop a worker's cached capacity."""
        self._rooms.pop(worker, None)

    def of(
        self,
        incarnation: Incarnation,
        stopping: Collection[Run],
    ) -> WorkerRoom:
        """Return a worker's free capacity beside everything it may run.

        The returned object is the cached one: a caller that places unrecorded
        tasks on it has to call ``forget`` afterwards.
        """
        self._forget_reassigned()
        worker = incarnation.report.worker
        room = self._rooms.get(worker)
        if room is None:
            room = room_left(incarnation, self._store, self._progress)
            self._rooms[worker] = room
        held = self._store.held_by(worker)
        room.is_reserved = bool(stopping) and any(
            run in stopping for run in held.items()
        )
        return room

    def _forget_reassigned(self) -> None:
        if not self._store.reassigned:
            return
        for worker in self._store.reassigned:
            self._rooms.pop(worker, None)
        self._store.reassigned = set()
