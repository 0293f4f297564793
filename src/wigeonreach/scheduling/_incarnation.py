"""Describe one incarnation of a worker, and what its heartbeats prove."""

from __future__ import annotations

import dataclasses

from wigeonreach._room import Room
from wigeonreach.jobs import Run, RunEnded
from wigeonreach.jobs._model import MEBIBYTE, MILLICORES
from wigeonreach.scheduling._heartbeat_age import HeartbeatAge
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
# Heartbeats of a dead incarnation may still arrive, but not over such a time;
# those of a new one go on.
SUCCESSOR_PROVEN_S = 1.0
# A worker that is silent for longer gets nothing new: heartbeats come several
# times a second, and one is given up after 1 s by its sender.
SILENT_S = 1.3
# A worker is heard again within 0.8 s of a heartbeat that was answered, also
# where the answer was held, and after 1 s of one that was not.
_UNANSWERED_S = 0.9
# A heartbeat that a former leader answered may be passed on for so long after the
# worker's first one in a term: its sender gives it up after 1 s, and whoever
# passes it on after 0.9 s.
_ANSWERED_BEFORE_S = 2.0
# An order for a VM ends what runs on it at once; who is heard well after it was
# confirmed goes on.
_ORDER_WORKS_S = 1.0


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
    doubted_s
        Since when it has to prove that it goes on.
    awaits_start
        Whether a start on it was decided last, and may not be recorded yet.
    leased_s
        When the last heartbeat came that was answered in this term.
    given
        Runs that this leader gave it and that it has not listed yet.
    told
        What the newest answer told it to start.
    sent_s
        When its newest heartbeat was sent.
    """

    report: WorkerReport
    first_heard_s: float
    heard_s: float
    room: Room
    noted: int = 0
    leaves_at_s: float | None = None
    ordered_s: float = float('-inf')
    doubted_s: float = float('-inf')
    awaits_start: bool = False
    leased_s: float = float('-inf')
    given: set[Run] = dataclasses.field(default_factory=set)
    told: frozenset[Run] = frozenset()
    sent_s: float = float('-inf')
    _age: HeartbeatAge = dataclasses.field(default_factory=HeartbeatAge)

    def __post_init__(self) -> None:
        """Take note of when the first heartbeat was sent."""
        self.sent_s = self._age.sent_s(self.report.clock_ms, self.heard_s)

    def take(self, report: WorkerReport, now_s: float) -> None:
        """Take a newer heartbeat."""
        self.report = report
        self.heard_s = now_s
        self.sent_s = self._age.sent_s(report.clock_ms, now_s)
        self.room = room_of(report)

    @property
    def running(self) -> tuple[RunningTask, ...]:
        """What runs there, as it last told."""
        return self.report.running

    @property
    def lease_over_s(self) -> float:
        """When everything on it has surely been ended by its lease."""
        return self.heard_s + LEASE_OVER_S

    @property
    def is_ending(self) -> bool:
        """Whether it said that it ends."""
        return self.report.is_draining or self.leaves_at_s is not None

    def may_take(self, now_s: float) -> bool:
        """Whether new work may be given to it."""
        is_ordered = self.heard_s - self.ordered_s < _ORDER_WORKS_S
        is_doubtful = self.is_ending or is_ordered or not self.is_proven
        return not self.is_silent(now_s) and not is_doubtful

    @property
    def is_proven(self) -> bool:
        """Whether it surely goes on, as far as it was doubted.

        One late heartbeat of a worker that has ended proves nothing.
        """
        return self.heard_s - self.doubted_s >= SUCCESSOR_PROVEN_S

    def surely_lacks(self, run: Run) -> bool:
        """Whether a run that its newest heartbeat does not list was not begun.

        A heartbeat may reach this leader after a former one has answered it with
        starts.  Taking back what it does not list would then begin runs twice.
        """
        heard_for_s = self.heard_s - self.first_heard_s
        return run in self.given or heard_for_s >= _ANSWERED_BEFORE_S

    @property
    def needs_lease(self) -> bool:
        """Whether its newest heartbeat has to be answered at once.

        The one before was not answered, or not by this leader, so its lease is
        older than it looks from here.
        """
        return self.heard_s - self.leased_s > _UNANSWERED_S

    def is_silent(self, now_s: float) -> bool:
        """Whether a heartbeat is overdue."""
        return now_s - self.heard_s > SILENT_S


@dataclasses.dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation that is over, and what proves it."""

    incarnation: Incarnation
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """What a heartbeat brought.

    ``ends`` have to be recorded before they are acknowledged.  ``stalled`` are
    runs without progress, which are being stopped.
    """

    incarnation: Incarnation
    ends: tuple[RunEnded, ...]
    stalled: tuple[Run, ...] = ()


def room_of(report: WorkerReport) -> Room:
    """Return the whole room of a worker."""
    return Room(
        report.cpu_millicores / MILLICORES,
        report.memory_mb * MEBIBYTE,
        report.accelerators,
    )
