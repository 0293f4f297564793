"""Let work wait for room near its data, as long as the distance would cost.

Answers racks that many jobs want at once: away from its data a task takes
several times as long and holds a worker all the while, and room near it is
often free within a fraction of that.  A task therefore waits until it has lost
as much time as the distance costs; then it goes anywhere.  So it never takes
more than twice as long as the better of the two choices.
"""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable, Sequence

from wigeonreach.jobs import TaskKey
from wigeonreach.scheduling._objectives import estimate_s
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._room_left import WorkerRoom

# A service and a rack.
Rack = tuple[str, str]


class NearRooms:
    """Which workers may take a step while one plan is made.

    Parameters
    ----------
    far_factor
        How much longer a task takes away from its data, or a gang on several
        racks.
    coming
        Racks from which VMs are on their way to services.
    now_s
        Clock in seconds.
    """

    def __init__(
        self,
        far_factor: float,
        coming: Collection[Rack],
        now_s: float,
    ) -> None:
        """Let nothing wait yet."""
        self._far_factor = far_factor
        self._coming = coming
        self._now_s = now_s
        # Processor seconds that wait for a rack before the next step.
        self._queued_s: dict[Rack, float] = collections.defaultdict(float)

    def near(
        self,
        step: ReadyStep,
        rooms: Sequence[WorkerRoom],
    ) -> Sequence[WorkerRoom]:
        """Return the workers that a step may take, all or those near."""
        rack = step.spec.data_rack
        if not rack or self._far_factor <= 1:
            return rooms
        beside = [
            room for room in rooms if room.incarnation.report.rack == rack
        ]
        ahead_s = self._wait_s(step, beside)
        if ahead_s is None or not self._may_wait(step, ahead_s):
            return rooms
        return beside

    def one_rack(
        self,
        step: ReadyStep,
        rooms: Sequence[WorkerRoom],
    ) -> Sequence[WorkerRoom]:
        """Return the workers of a rack that holds a whole step.

        If there is none now, but there may be soon, nothing is returned.
        """
        racks: dict[str, list[WorkerRoom]] = collections.defaultdict(list)
        for room in rooms:
            racks[room.incarnation.report.rack].append(room)
        for rack in sorted(racks):
            if fits_whole(step, racks[rack]):
                return racks[rack]
        may_hold = any(_could_hold(step, racks[rack]) for rack in racks)
        return () if may_hold and self._may_wait(step, 0) else rooms

    def note_waiting(self, step: ReadyStep, tasks: int) -> None:
        """Count tasks that found no room in front of what comes next."""
        if step.spec.data_rack:
            work_s = step.spec.room.processors * estimate_s(step.spec) * tasks
            self._queued_s[_rack_of(step)] += work_s

    def _wait_s(
        self,
        step: ReadyStep,
        beside: Sequence[WorkerRoom],
    ) -> float | None:
        """Return how long others hold the rack; None if it never does."""
        if not _could_hold(step, beside):
            return 0 if _rack_of(step) in self._coming else None
        processors = sum(room.incarnation.room.processors for room in beside)
        return self._queued_s[_rack_of(step)] / max(processors, 1)

    def _may_wait(self, step: ReadyStep, ahead_s: float) -> bool:
        lost_s = self._now_s - step.ready_s + ahead_s
        return lost_s < (self._far_factor - 1) * estimate_s(step.spec)


def fits_whole(step: ReadyStep, rooms: Iterable[WorkerRoom]) -> bool:
    """Whether all waiting tasks of a step fit at once, by count."""
    missing = len(step.waiting)
    first = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
    for room in rooms:
        missing -= room.count(first, step.spec)
        if missing <= 0:
            return True
    return False


def _rack_of(step: ReadyStep) -> Rack:
    return step.job.queue.service, step.spec.data_rack


def _could_hold(step: ReadyStep, rooms: Iterable[WorkerRoom]) -> bool:
    """Whether workers would hold a step, were they empty."""
    spec = step.spec
    wanted = len(step.waiting) if spec.is_gang else 1
    for room in rooms:
        if spec.label and spec.label not in room.incarnation.report.labels:
            continue
        wanted -= room.incarnation.room.count(spec.room)
        if wanted <= 0:
            return True
    return False
