"""Track one incarnation of a worker, and what its heartbeats prove."""

from __future__ import annotations

import dataclasses

from wigeonreach._resources import NO_RESOURCES, Resources
from wigeonreach.jobs import Run, RunEnded
from wigeonreach.jobs._model import MEBIBYTE, MILLICORES
from wigeonreach.scheduling._send_time import SendTimeEstimator
from wigeonreach.scheduling._unbegun import UnbegunStarts
from wigeonreach.wire._worker_messages import RunningTask, WorkerReport

# How long a worker may continue after a heartbeat that was answered.  Longer
# than an election with a lost heartbeat before and after it (about 3 s); short
# enough that the work of a lost worker is soon restarted elsewhere.
LEASE_MS = 4000
# Lease of a worker that drains.  Once it announces its end, what it may still run
# waits for its last lease, so callers feel this time in each planned shutdown.
# Longer than an idle heartbeat interval (0.7 s) with a lost heartbeat (1 s).
DRAINING_LEASE_MS = 2000
_MS_PER_S = 1000
# A worker's clock may be 2 % slow, by the platform's documentation.
_SLOW_CLOCK_RATIO = 1.02
# Covers the stop at the end of a lease, and a late tick of this process.
_LEASE_MARGIN_S = 0.3
LEASE_EXPIRED_S = LEASE_MS / _MS_PER_S * _SLOW_CLOCK_RATIO + _LEASE_MARGIN_S
# An incarnation that is heard over this time is alive.  Delayed heartbeats of a
# dead one may still arrive, but not spread over so long.
PROVEN_ALIVE_S = 1.0
# A worker that is silent for longer gets no new work: heartbeats are sent
# several times a second, and each times out after 1 s at its sender.
SILENT_AFTER_S = 1.3
# Separates heartbeats that were answered from those that were not: the next one
# comes within 0.8 s of an answered one, even if the answer was held back, and
# after 1 s of an unanswered one.
_MAX_ANSWERED_GAP_S = 0.9
# A heartbeat that a former leader has answered may reach this leader until this
# long after the worker's first heartbeat of the term: a heartbeat times out
# after 1 s at its sender, and after 0.9 s at the process that forwards it.
_FORMER_ANSWERS_S = 2.0
# An order for a VM ends everything on it at once.  A worker that is heard this
# long after the confirmation was not ended by it.
_ORDER_EFFECT_S = 1.0


@dataclasses.dataclass(slots=True)
class Incarnation:
    """One incarnation of a worker, as of its newest heartbeat.

    Attributes
    ----------
    report
        The newest heartbeat.
    first_heard_s
        When its first heartbeat of this term arrived.
    heard_s
        When its newest heartbeat arrived.
    resources
        All resources of the worker.
    largest_resources
        The most of each that it had in this term.
    last_recorded_end
        Number of the last of its ends that is committed.
    ends_at_s
        When its last lease is over, once it announced its end.
    ordered_s
        When an order for its VM was last confirmed.
    unproven_since_s
        Since when it has to prove that it is alive.
    has_unrecorded_start
        Whether the latest plan starts a run on it that may not be recorded yet.
    lease_renewed_s
        When the last heartbeat arrived that was answered in this term.
    unlisted_starts
        Runs that this leader assigned to it and that it has not listed yet.
    ordered_starts
        Runs that the newest answer told it to start.
    answered_s
        When that answer was sent.
    unbegun
        Answers whose starts it did not begin.
    withheld_s
        Since when its lease is not renewed although it is heard.
    sent_s
        When its newest heartbeat was sent.
    leased_until_s
        When all leases that it was given so far are over.
    """

    report: WorkerReport
    first_heard_s: float
    heard_s: float
    resources: Resources
    last_recorded_end: int = 0
    ends_at_s: float | None = None
    ordered_s: float = float('-inf')
    unproven_since_s: float = float('-inf')
    has_unrecorded_start: bool = False
    lease_renewed_s: float = float('-inf')
    unlisted_starts: set[Run] = dataclasses.field(default_factory=set)
    ordered_starts: frozenset[Run] = frozenset()
    answered_s: float = float('-inf')
    unbegun: UnbegunStarts = dataclasses.field(default_factory=UnbegunStarts)
    withheld_s: float | None = None
    sent_s: float = float('-inf')
    largest_resources: Resources = NO_RESOURCES
    leased_until_s: float = float('-inf')
    _send_time: SendTimeEstimator = dataclasses.field(
        default_factory=SendTimeEstimator
    )

    def __post_init__(self) -> None:
        """Estimate when the first heartbeat was sent, and its former lease."""
        # A former leader may have given a lease until this term began.
        self.leased_until_s = self.first_heard_s + LEASE_EXPIRED_S
        self.largest_resources = self.resources
        self.sent_s = self._send_time.estimate_s(
            self.report.clock_ms, self.heard_s
        )

    def update(self, report: WorkerReport, now_s: float) -> None:
        """Apply a newer heartbeat."""
        self.report = report
        self.heard_s = now_s
        self.sent_s = self._send_time.estimate_s(report.clock_ms, now_s)
        self.resources = resources_of(report)
        if not self.largest_resources.covers(self.resources):
            largest = self.largest_resources.maximum(self.resources)
            self.largest_resources = largest

    @property
    def running(self) -> tuple[RunningTask, ...]:
        """The runs that its newest heartbeat lists."""
        return self.report.running

    @property
    def lease_over_s(self) -> float:
        """Time from which none of its runs can go on, as its lease is over."""
        return self.heard_s + LEASE_EXPIRED_S

    def is_withheld_lease_over(self, now_s: float) -> bool:
        """Whether its last lease is over, as no further one was given."""
        if self.withheld_s is None:
            return False
        return now_s >= self.withheld_s + LEASE_EXPIRED_S

    @property
    def lease_ms(self) -> int:
        """The lease to give it next; 0 if it gets no further one."""
        if self.withheld_s is not None or self.ends_at_s is not None:
            return 0
        return DRAINING_LEASE_MS if self.report.is_draining else LEASE_MS

    def note_leased(self, lease_ms: int) -> None:
        """Record that its newest heartbeat is answered with a lease."""
        if lease_ms:
            expired_s = lease_ms / _MS_PER_S * _SLOW_CLOCK_RATIO
            over_s = self.heard_s + expired_s + _LEASE_MARGIN_S
            self.leased_until_s = max(self.leased_until_s, over_s)

    def announce_end(self) -> None:
        """Record that it announced its end, so that it gets no further lease.

        The announcement does not show that it has ended: if the worker does not
        get the acknowledgement, it goes on for some seconds.  Its last lease
        ends what it runs in any case.
        """
        if self.ends_at_s is None:
            self.ends_at_s = self.leased_until_s

    @property
    def is_ending(self) -> bool:
        """Whether it drains or announced its end."""
        return self.report.is_draining or self.ends_at_s is not None

    def accepts_work(self, now_s: float) -> bool:
        """Whether it may be given new work."""
        is_ordered = self.heard_s - self.ordered_s < _ORDER_EFFECT_S
        is_doubtful = self.is_ending or is_ordered or not self.is_proven_alive
        begins_runs = self.withheld_s is None and self.unbegun.accepts_work(
            now_s, bool(self.unlisted_starts)
        )
        return begins_runs and not self.is_silent(now_s) and not is_doubtful

    @property
    def is_proven_alive(self) -> bool:
        """Whether it has proved that it is alive, or never had to.

        A single late heartbeat of a worker that has ended proves nothing.
        """
        return self.heard_s - self.unproven_since_s >= PROVEN_ALIVE_S

    def has_not_begun(self, run: Run) -> bool:
        """Whether an unlisted run has certainly not begun.

        A former leader may have answered the newest heartbeat with starts
        before the heartbeat reached this leader.  If this leader withdrew runs
        that the heartbeat does not list, they could be started twice.
        """
        heard_for_s = self.heard_s - self.first_heard_s
        return run in self.unlisted_starts or heard_for_s >= _FORMER_ANSWERS_S

    @property
    def needs_lease(self) -> bool:
        """Whether its newest heartbeat has to be answered at once.

        The heartbeat before was not answered, or not by this leader, so less of
        its lease is left than its newest heartbeat suggests.
        """
        return self.heard_s - self.lease_renewed_s > _MAX_ANSWERED_GAP_S

    def is_silent(self, now_s: float) -> bool:
        """Whether a heartbeat is overdue."""
        return now_s - self.heard_s > SILENT_AFTER_S


@dataclasses.dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation that has ended, and the reason in words."""

    incarnation: Incarnation
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatResult:
    """The result of a heartbeat.

    Attributes
    ----------
    incarnation
        The worker that sent it.
    ends
        Ends of runs, which must be committed before they are acknowledged.
    stalled
        Runs without progress, which are being stopped.
    """

    incarnation: Incarnation
    ends: tuple[RunEnded, ...]
    stalled: tuple[Run, ...] = ()


def resources_of(report: WorkerReport) -> Resources:
    """Return all resources of a worker."""
    return Resources(
        report.cpu_millicores / MILLICORES,
        report.memory_mb * MEBIBYTE,
        report.accelerators,
    )
