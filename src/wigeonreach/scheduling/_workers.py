"""Follow the incarnations of workers by their heartbeats and leases."""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Collection

from wigeonreach._room import Room
from wigeonreach.jobs import Run, RunEnded
from wigeonreach.jobs._model import MEBIBYTE, MILLICORES
from wigeonreach.wire._worker_messages import (
    RunningTask,
    WorkerReport,
    tells_start,
    worker_id_of,
)

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
        return self.heard_s - self.doubted_s >= _SUCCESSOR_PROVEN_S

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
        return now_s - self.heard_s > _SILENT_S


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


class Workers:
    """All incarnations heard of in this term.

    What is looked at in each cycle does not grow with the fleet: a lease is
    looked at when it may be over, and a successor is looked for only on VMs
    with several incarnations.

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
        # Those among the gone who were merely silent, and may return.
        self._lapsed: dict[str, Incarnation] = {}
        self._by_vm: dict[str, dict[str, Incarnation]] = {}
        self._shared_vms: set[str] = set()
        self._leaving: set[str] = set()
        self._starting: frozenset[str] = frozenset()
        # When a lease may be over, and whose.
        self._leases: list[tuple[float, str]] = []

    def hear(self, report: WorkerReport, now_s: float) -> Incarnation | None:
        """Take a heartbeat.

        Returns
        -------
        Incarnation or None
            The incarnation; None if the heartbeat is late, or of a dead one.
            Its newest heartbeat once more changes nothing: whoever passed it on
            lost the answer, for which the worker still waits.
        """
        if self.is_gone(report.worker):
            return self._hear_gone(report, now_s)
        known = self.incarnations.get(report.worker)
        if known is None:
            known = Incarnation(report, now_s, now_s, room_of(report))
            self._doubt_rivals(known, now_s)
            self._add(known)
            return known
        if report.sequence < known.report.sequence:
            return None
        if report.sequence == known.report.sequence:
            return known
        if report.vm != known.report.vm:
            # The index goes by the VM that it names now.
            self._remove(report.worker)
            known.report = report
            self._add(known)
        known.report = report
        known.heard_s = now_s
        known.room = room_of(report)
        return known

    def leave(self, worker: str, now_s: float) -> None:
        """Take note that a worker ends now.

        Parameters
        ----------
        worker
            The incarnation, or an id: who ends says before that it drains, so
            an id may stand for the incarnation of it that does.  One that does
            not has started again since, and the word of the former came late.
        now_s
            Clock in seconds.
        """
        known = self.incarnations.get(worker) or self._draining(worker)
        if known is None:
            self._gone_s[worker] = now_s
        elif known.leaves_at_s is None:
            known.leaves_at_s = now_s + _LEAVE_S
            self._leaving.add(known.report.worker)

    def note_starting(self, workers: Collection[str]) -> None:
        """Take note on whom starts were decided that are not recorded yet.

        Until they are, the replicated state shows nothing of them, and a VM
        that looks empty would be ordered away under them.
        """
        for before in self._starting & self.incarnations.keys():
            self.incarnations[before].awaits_start = False
        self._starting = frozenset(workers)
        for worker in self._starting:
            self.incarnations[worker].awaits_start = True

    def note_ordered(self, worker: str, now_s: float) -> None:
        """Take note that an order for its VM was confirmed.

        It gets nothing new until it is heard a while later: a platform also
        confirms orders that were carried out long before.
        """
        known = self.incarnations.get(worker)
        if known is not None:
            known.ordered_s = now_s

    def ended(self, now_s: float) -> dict[str, EndedIncarnation]:
        """Return which incarnations are over; remember them as dead."""
        over = {
            worker: EndedIncarnation(incarnation, reason)
            for worker in self._suspects(now_s)
            if (incarnation := self.incarnations[worker])
            and (reason := self._why_over(incarnation, now_s))
        }
        for worker, ending in over.items():
            incarnation = ending.incarnation
            self._remove(worker)
            self._gone_s[worker] = now_s
            is_silent = now_s >= incarnation.lease_over_s
            if is_silent and incarnation.leaves_at_s is None:
                self._lapsed[worker] = incarnation
        self._forget_gone(now_s)
        return over

    def is_over(self, worker: str, now_s: float) -> bool:
        """Whether nothing runs any more on a worker that isn't followed."""
        if worker in self.incarnations:
            return False
        return self.is_gone(worker) or self.knows_all(now_s)

    def is_gone(self, worker: str) -> bool:
        """Whether an incarnation was given up, or said that it ends."""
        return worker in self._gone_s

    def was_heard(self, worker: str) -> bool:
        """Whether a worker was heard, or ended, in this term."""
        return worker in self.incarnations or self.is_gone(worker)

    def knows_all(self, now_s: float) -> bool:
        """Whether nothing runs on any worker that was not heard in this term."""
        return now_s >= self._began_s + LEASE_OVER_S

    def processors(self, now_s: float) -> dict[str, float]:
        """Return the processors of each service that may take something."""
        total: dict[str, float] = {}
        for incarnation in self.incarnations.values():
            if incarnation.may_take(now_s):
                service = incarnation.report.service
                has = total.get(service, 0)
                total[service] = has + incarnation.room.processors
        return total

    def is_nameless(self, report: WorkerReport) -> bool:
        """Whether it lacks the start that others of its worker's id told.

        Nothing tells which of its worker's lives such a heartbeat is of.
        """
        return not tells_start(report.worker) and any(
            tells_start(name) and worker_id_of(name) == report.worker
            for name in self._by_vm.get(report.vm, ())
        )

    def of_vm(self, vm: str) -> Incarnation | None:
        """Return the newest incarnation on a VM."""
        return max(
            self._by_vm.get(vm, {}).values(),
            key=lambda incarnation: incarnation.first_heard_s,
            default=None,
        )

    def _draining(self, worker_id: str) -> Incarnation | None:
        """Return the incarnation of a worker that drains, if one does."""
        return next(
            (
                incarnation
                for incarnation in self.incarnations.values()
                if incarnation.report.is_draining
                and worker_id_of(incarnation.report.worker) == worker_id
            ),
            None,
        )

    def _hear_gone(
        self,
        report: WorkerReport,
        now_s: float,
    ) -> Incarnation | None:
        """Take a worker back that was cut off for longer than its lease."""
        known = self._lapsed.get(report.worker)
        if known is None or report.sequence <= known.report.sequence:
            return None
        if report.vm and report.vm in self._by_vm:
            return None
        self._lapsed.pop(report.worker)
        self._gone_s.pop(report.worker)
        known.report = report
        known.heard_s = now_s
        known.doubted_s = now_s
        known.room = room_of(report)
        self._add(known)
        return known

    def _doubt_rivals(self, newcomer: Incarnation, now_s: float) -> None:
        """Let incarnations that are heard on one VM prove which of them goes on.

        One of them is over, and the newcomer may be it: to a new leader a late
        heartbeat of a life that has ended looks like the first one of the next.
        """
        on_vm = self._by_vm.get(newcomer.report.vm, {})
        rivals = [
            rival for rival in on_vm.values() if not rival.is_silent(now_s)
        ]
        for doubted in (*rivals, *([newcomer] if rivals else [])):
            doubted.doubted_s = now_s

    def _add(self, incarnation: Incarnation) -> None:
        report = incarnation.report
        self.incarnations[report.worker] = incarnation
        lease = (incarnation.lease_over_s, report.worker)
        heapq.heappush(self._leases, lease)
        if report.vm:
            on_vm = self._by_vm.setdefault(report.vm, {})
            on_vm[report.worker] = incarnation
            if len(on_vm) > 1:
                self._shared_vms.add(report.vm)

    def _remove(self, worker: str) -> None:
        vm = self.incarnations.pop(worker).report.vm
        self._leaving.discard(worker)
        on_vm = self._by_vm.get(vm, {})
        on_vm.pop(worker, None)
        if len(on_vm) < 2:  # noqa: WPS432 - one is alone
            self._shared_vms.discard(vm)
        if not on_vm:
            self._by_vm.pop(vm, None)

    def _suspects(self, now_s: float) -> set[str]:
        """Return who may be over: by lease, on its word or by a successor."""
        suspects = set(self._leaving)
        for vm in self._shared_vms:
            suspects.update(self._by_vm[vm])
        while self._leases and self._leases[0][0] <= now_s:
            _, worker = heapq.heappop(self._leases)
            known = self.incarnations.get(worker)
            if known is None:
                continue
            suspects.add(worker)
            if known.lease_over_s > now_s:
                heapq.heappush(self._leases, (known.lease_over_s, worker))
        return suspects

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
        return any(
            other is not incarnation
            and other.heard_s - _SUCCESSOR_PROVEN_S
            > max(other.first_heard_s, incarnation.heard_s)
            for other in self._by_vm.get(incarnation.report.vm, {}).values()
        )

    def _forget_gone(self, now_s: float) -> None:
        oldest_s = now_s - _FORGET_GONE_S
        self._gone_s = {
            worker: gone_s
            for worker, gone_s in self._gone_s.items()
            if gone_s > oldest_s
        }
        for worker in self._lapsed.keys() - self._gone_s.keys():
            self._lapsed.pop(worker)
