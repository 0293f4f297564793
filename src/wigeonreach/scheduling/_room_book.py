"""Keep what each worker has left, so that a plan looks only at changes.

Answers a fleet of hundreds of workers whose queues are full for seconds: a
plan is made several times in a tenth of a second, and between two of them
only a few workers have changed.
"""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._room_left import WorkerRoom, room_left


class RoomBook:
    """The room of all workers of one term.

    Parameters
    ----------
    store
        What runs where.
    progress
        For how long it has run.
    """

    def __init__(self, store: JobStore, progress: ProgressWatch) -> None:
        """Know no worker's room."""
        self._store = store
        self._progress = progress
        self._rooms: dict[str, WorkerRoom] = {}

    def forget(self, worker: str) -> None:
        """Count a worker's room anew when it is next asked for."""
        self._rooms.pop(worker, None)

    def of(
        self,
        incarnation: Incarnation,
        stopping: Collection[Run],
    ) -> WorkerRoom:
        """Return what a worker has left beside all that it has or may have.

        Whoever puts something on it that is not recorded has to ``forget``
        it afterwards.
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
