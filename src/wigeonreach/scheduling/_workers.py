"""Track the incarnations of workers by their heartbeats and leases."""

from __future__ import annotations

import heapq
from collections.abc import Collection

from wigeonreach.scheduling._incarnation import (
    LEASE_EXPIRED_S,
    EndedIncarnation,
    Incarnation,
    resources_of,
)
from wigeonreach.scheduling._vm_incarnations import VmIncarnations
from wigeonreach.wire._worker_messages import WorkerReport, worker_id_of

# Ended incarnations are remembered for longer than a heartbeat may be delayed.
_GONE_RETENTION_S = 120.0


class Workers:
    """All incarnations heard in this term.

    The cost of finding ended incarnations does not grow with the fleet: a lease
    is checked only when it may have expired, and a successor is looked for only
    on VMs with several incarnations.

    Parameters
    ----------
    now_s
        When the term began.

    Attributes
    ----------
    incarnations
        The tracked incarnations, by name.
    by_vm
        The same, by VM.
    """

    def __init__(self, now_s: float) -> None:
        """Start without any worker."""
        self.incarnations: dict[str, Incarnation] = {}
        self.by_vm = VmIncarnations()
        self._began_s = now_s
        self._gone_s: dict[str, float] = {}
        # Those of the ended incarnations that only fell silent, or whose lease
        # was withheld, and that may return.
        self._lapsed: dict[str, Incarnation] = {}
        self._leaving: set[str] = set()
        # When workers that were not heard yet in this term announced their end.
        self._announced_s: dict[str, float] = {}
        self._withheld: set[str] = set()
        self._starting: frozenset[str] = frozenset()
        # Heap of the times at which leases may expire, with their workers.
        self._leases: list[tuple[float, str]] = []

    def process_heartbeat(
        self, report: WorkerReport, now_s: float
    ) -> Incarnation | None:
        """Apply a heartbeat.

        Returns
        -------
        Incarnation or None
            The incarnation; None if the heartbeat is out of order, or from an
            ended incarnation.  A repeat of the newest heartbeat is accepted and
            changes nothing: the process that forwarded it lost the answer, for
            which the worker still waits.
        """
        if self.has_ended(report.worker):
            return self._readmit(report, now_s)
        known = self.incarnations.get(report.worker)
        if known is None:
            known = Incarnation(report, now_s, now_s, resources_of(report))
            self.by_vm.mark_rivals_unproven(known, now_s)
            self._add(known)
            if report.worker in self._announced_s:
                self._note_leaving(known)
            return known
        if report.sequence < known.report.sequence:
            return None
        if report.sequence == known.report.sequence:
            return known
        if report.vm != known.report.vm:
            # The index uses the VM that it reports now.
            self._remove(report.worker)
            known.report = report
            self._add(known)
        known.update(report, now_s)
        return known

    def mark_leaving(self, worker: str, now_s: float) -> None:
        """Record that a worker announced its end, and give it no more leases.

        Its runs may start elsewhere once it reports their ends, or its last
        lease is over.

        Parameters
        ----------
        worker
            The incarnation, or a worker's id.  A worker drains before it ends,
            so an id refers to its draining incarnation.  If none drains, the
            worker has restarted since, and the message of the former one is
            late.
        now_s
            Clock in seconds.
        """
        known = self.incarnations.get(worker) or self._draining_incarnation(
            worker
        )
        if known is None:
            self._announced_s[worker] = now_s
        else:
            self._note_leaving(known)

    def withhold_lease(self, worker: str, now_s: float) -> None:
        """Let a worker's lease expire, although it is heard.

        All that runs on it has then ended, and may start elsewhere.
        """
        known = self.incarnations.get(worker)
        if known is not None and known.withheld_s is None:
            known.withheld_s = now_s
            self._withheld.add(worker)

    def note_starting(self, workers: Collection[str]) -> None:
        """Record the workers with planned starts that are not committed yet.

        Until then the replicated state does not show the starts, and a VM that
        looks empty could be ordered although a run is about to start on it.
        """
        for before in self._starting & self.incarnations.keys():
            self.incarnations[before].has_unrecorded_start = False
        self._starting = frozenset(workers)
        for worker in self._starting:
            self.incarnations[worker].has_unrecorded_start = True

    def note_ordered(self, worker: str, now_s: float) -> None:
        """Record that an order for a worker's VM was confirmed.

        The worker gets no new work until it is heard a while later, which shows
        that this order did not end it: the platform also confirms orders that
        it carried out long before.
        """
        known = self.incarnations.get(worker)
        if known is not None:
            known.ordered_s = now_s

    def ended(self, now_s: float) -> dict[str, EndedIncarnation]:
        """Remove and return the incarnations that have ended."""
        over = {
            worker: EndedIncarnation(incarnation, reason)
            for worker in self._possibly_ended(now_s)
            if (incarnation := self.incarnations[worker])
            and (reason := self._end_reason(incarnation, now_s))
        }
        for worker, ending in over.items():
            incarnation = ending.incarnation
            self._remove(worker)
            self._gone_s[worker] = now_s
            is_lapsed = (
                now_s >= incarnation.lease_over_s
                or incarnation.withheld_s is not None
            )
            if is_lapsed and incarnation.ends_at_s is None:
                self._lapsed[worker] = incarnation
        self._forget_gone(now_s)
        return over

    def is_over(self, worker: str, now_s: float) -> bool:
        """Whether an untracked worker has certainly no runs any more.

        One that announced its end but was not heard in this term may run on
        under a lease that a former leader gave.
        """
        if worker in self.incarnations:
            return False
        return self.has_ended(worker) or self.has_heard_all(now_s)

    def has_ended(self, worker: str) -> bool:
        """Whether an incarnation was given up or has left."""
        return worker in self._gone_s

    def was_heard(self, worker: str) -> bool:
        """Whether a worker was heard, or ended, in this term."""
        is_announced = worker in self._announced_s
        is_tracked = worker in self.incarnations
        return is_tracked or is_announced or self.has_ended(worker)

    def has_heard_all(self, now_s: float) -> bool:
        """Whether workers not yet heard in this term have no runs left."""
        return now_s >= self._began_s + LEASE_EXPIRED_S

    def processors(self, now_s: float) -> dict[str, float]:
        """Return the processors of workers that accept work, by service."""
        total: dict[str, float] = {}
        for incarnation in self.incarnations.values():
            if incarnation.accepts_work(now_s):
                service = incarnation.report.service
                has = total.get(service, 0)
                total[service] = has + incarnation.resources.processors
        return total

    def of_vm(self, vm: str) -> Incarnation | None:
        """Return the newest incarnation on a VM."""
        return self.by_vm.newest(vm)

    def _note_leaving(self, incarnation: Incarnation) -> None:
        incarnation.announce_end()
        self._leaving.add(incarnation.report.worker)

    def _draining_incarnation(self, worker_id: str) -> Incarnation | None:
        """Return the draining incarnation of a worker, if there is one."""
        return next(
            (
                incarnation
                for incarnation in self.incarnations.values()
                if incarnation.report.is_draining
                and worker_id_of(incarnation.report.worker) == worker_id
            ),
            None,
        )

    def _readmit(
        self,
        report: WorkerReport,
        now_s: float,
    ) -> Incarnation | None:
        """Track a worker again that was cut off for longer than its lease."""
        known = self._lapsed.get(report.worker)
        if known is None or report.sequence <= known.report.sequence:
            return None
        if self.by_vm.is_known(report.vm):
            return None
        self._lapsed.pop(report.worker)
        self._gone_s.pop(report.worker)
        known.update(report, now_s)
        known.unproven_since_s = now_s
        if known.withheld_s is not None:
            known.withheld_s = None
            known.ordered_starts = frozenset()
            known.unbegun.exclude(now_s)
        self._add(known)
        return known

    def _add(self, incarnation: Incarnation) -> None:
        report = incarnation.report
        self.incarnations[report.worker] = incarnation
        lease = (incarnation.lease_over_s, report.worker)
        heapq.heappush(self._leases, lease)
        self.by_vm.add(incarnation)

    def _remove(self, worker: str) -> None:
        self.by_vm.remove(self.incarnations.pop(worker))
        self._leaving.discard(worker)
        self._withheld.discard(worker)

    def _possibly_ended(self, now_s: float) -> list[str]:
        """Return the incarnations whose end has to be checked now, by name.

        These are the ones whose lease may have expired or is withheld, that
        announced their end, or that share their VM with another one.
        """
        suspects = self._leaving.union(
            self._withheld, self.by_vm.on_shared_vms()
        )
        while self._leases and self._leases[0][0] <= now_s:
            _, worker = heapq.heappop(self._leases)
            known = self.incarnations.get(worker)
            if known is None:
                continue
            suspects.add(worker)
            if known.lease_over_s > now_s:
                heapq.heappush(self._leases, (known.lease_over_s, worker))
        return sorted(suspects)

    def _end_reason(self, incarnation: Incarnation, now_s: float) -> str:
        """Return why an incarnation has ended; empty if it has not."""
        if now_s >= incarnation.lease_over_s:
            return f'lease expired, silent {now_s - incarnation.heard_s:.2f} s'
        if incarnation.ends_at_s is not None and now_s >= incarnation.ends_at_s:
            return 'announced its end'
        if incarnation.is_withheld_lease_over(now_s):
            return 'lease withheld'
        if self.by_vm.has_successor(incarnation):
            return f'another incarnation is alive on {incarnation.report.vm}'
        return ''

    def _forget_gone(self, now_s: float) -> None:
        oldest_s = now_s - _GONE_RETENTION_S
        self._gone_s = {
            worker: gone_s
            for worker, gone_s in self._gone_s.items()
            if gone_s > oldest_s
        }
        for worker in self._lapsed.keys() - self._gone_s.keys():
            self._lapsed.pop(worker)
        self._announced_s = {
            worker: announced_s
            for worker, announced_s in self._announced_s.items()
            if announced_s > oldest_s
        }
