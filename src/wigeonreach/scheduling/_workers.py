"""Follow the incarnations of workers by their heartbeats and leases."""

from __future__ import annotations

import dataclasses

from wigeonreach._room import Room
from wigeonreach.jobs._model import MEBIBYTE, MILLICORES
from wigeonreach.wire._worker_messages import RunningTask, WorkerReport

# How long a worker may go on after a heartbeat that was answered.  Longer
# than an election with a lost heartbeat before and after it (about 3 s); short
# enough that work of a lost worker is soon somewhere else.
LEASE_MS = 4000
_LEASE_S = LEASE_MS / 1000
# A worker's clock may be 2 % slow, as the platform's pages say.
_SLOW_CLOCK_RATIO = 1.02
# What a stop at the end of a lease may take, and a late tick of our own.
_LAPSE_MARGIN_S = 0.3
LEASE_OVER_S = _LEASE_S * _SLOW_CLOCK_RATIO + _LAPSE_MARGIN_S
# A worker that says it ends has ended after this.
_LEAVE_S = 0.5
# Heartbeats of a dead incarnation may still arrive, but not over such a time;
# those of a new one go on.
_SUCCESSOR_PROVEN_S = 1.0
# A worker that is silent for longer gets nothing new: heartbeats come several
# times a second, and one is given up after 1 s by its sender.
_SILENT_S = 1.3
# An order for a VM ends what runs on it at once; who is heard well after it was
# confirmed goes on.
_ORDER_WORKS_S = 1.0
# Dead incarnations are remembered for longer than a heartbeat may be late.
_FORGET_GONE_S = 120.0


@dataclasses.dataclass(slots=True)
class Incarnation:
    """One incarnation of a worker, as its newest heartbeat told.

    Attributes
    ----------
    noted
        Number up to which its ends are recorded for good.
    leaves_at_s
        When it surely has ended, once it said that it ends.
    ordered_s
        When an order for its VM was confirmed last.
    """

    report: WorkerReport
    first_heard_s: float
    heard_s: float
    room: Room
    noted: int = 0
    leaves_at_s: float | None = None
    ordered_s: float = float('-inf')

    @property
    def running(self) -> tuple[RunningTask, ...]:
        """What runs there, as it last told."""
        return self.report.running

    @property
    def lease_over_s(self) -> float:
        """When everything on it has surely been ended by its lease."""
        return self.heard_s + LEASE_OVER_S

    def may_take(self, now_s: float) -> bool:
        """Whether new work may be given to it."""
        is_silent = now_s - self.heard_s > _SILENT_S
        is_ending = self.report.is_draining or self.leaves_at_s is not None
        is_ordered = self.heard_s - self.ordered_s < _ORDER_WORKS_S
        return not is_silent and not is_ending and not is_ordered


def room_of(report: WorkerReport) -> Room:
    """Return the whole room of a worker."""
    return Room(
        report.cpu_millicores / MILLICORES,
        report.memory_mb * MEBIBYTE,
        report.accelerators,
    )


class Workers:
    """All incarnations heard of in this term.

    Parameters
    ----------
    now_s
        When the term began.
    """

    def __init__(self, now_s: float) -> None:
        """Know no worker yet."""
        self.incarnations: dict[str, Incarnation] = {}
        self._began_s = now_s
        self._gone_s: dict[str, float] = {}

    def hear(self, report: WorkerReport, now_s: float) -> Incarnation | None:
        """Take a heartbeat.

        Returns
        -------
        Incarnation or None
            The incarnation; None if the heartbeat is late, or of a dead one.
        """
        if report.worker in self._gone_s:
            return None
        known = self.incarnations.get(report.worker)
        if known is None:
            known = Incarnation(report, now_s, now_s, room_of(report))
            self.incarnations[report.worker] = known
            return known
        if report.sequence <= known.report.sequence:
            return None
        known.report = report
        known.heard_s = now_s
        known.room = room_of(report)
        return known

    def leave(self, worker: str, now_s: float) -> None:
        """Take note that a worker ends now."""
        known = self.incarnations.get(worker)
        if known is None:
            self._gone_s[worker] = now_s
        elif known.leaves_at_s is None:
            known.leaves_at_s = now_s + _LEAVE_S

    def note_ordered(self, worker: str, now_s: float) -> None:
        """Take note that an order for its VM was confirmed.

        It gets nothing new until it is heard a while later: a platform also
        confirms orders that were carried out long before.
        """
        known = self.incarnations.get(worker)
        if known is not None:
            known.ordered_s = now_s

    def ended(self, now_s: float) -> dict[str, str]:
        """Return which incarnations are over and why; remember them as dead."""
        over = {
            worker: why
            for worker, incarnation in self.incarnations.items()
            if (why := self._why_over(incarnation, now_s))
        }
        for worker in over:
            self.incarnations.pop(worker)
            self._gone_s[worker] = now_s
        self._forget_gone(now_s)
        return over

    def is_over(self, worker: str, now_s: float) -> bool:
        """Whether nothing runs any more on a worker that isn't followed."""
        if worker in self.incarnations:
            return False
        is_gone = worker in self._gone_s
        return is_gone or now_s >= self._began_s + LEASE_OVER_S

    def of_vm(self, vm: str) -> Incarnation | None:
        """Return the newest incarnation on a VM."""
        return max(
            (
                incarnation
                for incarnation in self.incarnations.values()
                if incarnation.report.vm == vm
            ),
            key=lambda incarnation: incarnation.first_heard_s,
            default=None,
        )

    def _why_over(self, incarnation: Incarnation, now_s: float) -> str:
        """Return why an incarnation is over, or nothing if it goes on."""
        if now_s >= incarnation.lease_over_s:
            return f'lease over, silent for {now_s - incarnation.heard_s:.2f} s'
        if (
            incarnation.leaves_at_s is not None
            and now_s >= incarnation.leaves_at_s
        ):
            return 'said that it ends'
        if self._has_successor(incarnation):
            return f'another incarnation goes on at {incarnation.report.vm}'
        return ''

    def _has_successor(self, incarnation: Incarnation) -> bool:
        """Whether another incarnation goes on at its VM while it is silent."""
        vm = incarnation.report.vm
        if not vm:
            return False
        return any(
            other.report.vm == vm
            and other is not incarnation
            and other.heard_s - _SUCCESSOR_PROVEN_S
            > max(other.first_heard_s, incarnation.heard_s)
            for other in self.incarnations.values()
        )

    def _forget_gone(self, now_s: float) -> None:
        oldest_s = now_s - _FORGET_GONE_S
        self._gone_s = {
            worker: gone_s
            for worker, gone_s in self._gone_s.items()
            if gone_s > oldest_s
        }
