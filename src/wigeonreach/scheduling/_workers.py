"""Follow the incarnations of workers by their heartbeats and leases."""

from __future__ import annotations

import heapq
from collections.abc import Collection

from wigeonreach.scheduling._incarnation import (
    LEASE_OVER_S,
    EndedIncarnation,
    Incarnation,
    room_of,
)
from wigeonreach.scheduling._vm_lives import VmLives
from wigeonreach.wire._worker_messages import WorkerReport, worker_id_of

# A worker that says it ends has ended after this.
_LEAVE_S = 0.5
# Dead incarnations are remembered for longer than a heartbeat may be late.
_FORGET_GONE_S = 120.0


class Workers:
    """All incarnations heard of in this term.

    What is looked at in each cycle does not grow with the fleet: a lease is
    looked at when it may be over, and a successor is looked for only on VMs
    with several incarnations.

    Parameters
    ----------
    now_s
        When the term began.

    Attributes
    ----------
    incarnations
        Those that are followed, by name.
    lives
        The same, by VM.
    """

    def __init__(self, now_s: float) -> None:
        """Know no worker yet."""
        self.incarnations: dict[str, Incarnation] = {}
        self.lives = VmLives()
        self._began_s = now_s
        self._gone_s: dict[str, float] = {}
        # Those among the gone who were merely silent, and may return.
        self._lapsed: dict[str, Incarnation] = {}
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
            self.lives.doubt_rivals(known, now_s)
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
        known.take(report, now_s)
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

    def of_vm(self, vm: str) -> Incarnation | None:
        """Return the newest incarnation on a VM."""
        return self.lives.newest(vm)

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
        if self.lives.is_known(report.vm):
            return None
        self._lapsed.pop(report.worker)
        self._gone_s.pop(report.worker)
        known.take(report, now_s)
        known.doubted_s = now_s
        self._add(known)
        return known

    def _add(self, incarnation: Incarnation) -> None:
        report = incarnation.report
        self.incarnations[report.worker] = incarnation
        lease = (incarnation.lease_over_s, report.worker)
        heapq.heappush(self._leases, lease)
        self.lives.add(incarnation)

    def _remove(self, worker: str) -> None:
        self.lives.remove(self.incarnations.pop(worker))
        self._leaving.discard(worker)

    def _suspects(self, now_s: float) -> set[str]:
        """Return who may be over: by lease, on its word or by a successor."""
        suspects = self._leaving.union(self.lives.sharing())
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
        if self.lives.has_successor(incarnation):
            return f'another incarnation goes on at {incarnation.report.vm}'
        return ''

    def _forget_gone(self, now_s: float) -> None:
        oldest_s = now_s - _FORGET_GONE_S
        self._gone_s = {
            worker: gone_s
            for worker, gone_s in self._gone_s.items()
            if gone_s > oldest_s
        }
        for worker in self._lapsed.keys() - self._gone_s.keys():
            self._lapsed.pop(worker)
