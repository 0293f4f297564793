"""List the workers that accept tasks now, with their free capacity."""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run
from wigeonreach.scheduling._crashes import CrashTracker
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._pacing import Pacing
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._quarantine import WorkerQuarantine
from wigeonreach.scheduling._vms import ORDER_TIMEOUT_S
from wigeonreach.scheduling._workers import Workers
from wigeonreach.scheduling.placing._capacity_cache import WorkerCapacityCache
from wigeonreach.scheduling.placing._placing import close_trial_workers
from wigeonreach.scheduling.placing._worker_capacity import (
    AvailableCapacity,
    WorkerCapacity,
)


class AvailableWorkers:
    """Free capacity of the workers that may be given tasks.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The workers that send heartbeats.
    progress, pacing, quarantine, crashes
        Trackers of slow, paced, failing and crashing workers.
    now_s
        When the term began.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        progress: ProgressTracker,
        pacing: Pacing,
        quarantine: WorkerQuarantine,
        crashes: CrashTracker,
        now_s: float,
    ) -> None:
        """Cache nothing yet; exclude VMs whose orders may be unanswered."""
        # An order that an earlier leader was about to give may still be
        # executed, and then ends everything that runs on its VM.
        self._vms_with_open_orders = frozenset(
            vm for vm, order in store.vm_orders.items() if not order.is_answered
        )
        self._open_orders_until_s = now_s + ORDER_TIMEOUT_S
        self._workers = workers
        self._progress = progress
        self._pacing = pacing
        self._quarantine = quarantine
        self._crashes = crashes
        self._cache = WorkerCapacityCache(store, progress)

    def forget(self, worker: str) -> None:
        """Drop a worker's cached capacity."""
        self._cache.forget(worker)

    def forget_all(self) -> None:
        """Drop the cached capacity of all workers."""
        self._cache.forget_all()

    def by_service(
        self,
        services: Collection[str],
        cordoned: Collection[str],
        stopping: Collection[Run],
        now_s: float,
    ) -> AvailableCapacity:
        """Return the free capacity of each worker of some services.

        Parameters
        ----------
        services
            The services to look at.
        cordoned
            VMs whose workers get no new tasks.
        stopping
            Runs that are being stopped.
        now_s
            Clock in seconds.

        Returns
        -------
        AvailableCapacity
            The workers that accept tasks now.
        """
        by_service: dict[str, list[Incarnation]] = {}
        closed = set(cordoned)
        if now_s < self._open_orders_until_s:
            closed |= self._vms_with_open_orders
        for incarnation in self._workers.incarnations.values():
            report = incarnation.report
            is_asked = report.service in services and report.vm not in closed
            if is_asked and incarnation.accepts_work(now_s):
                by_service.setdefault(report.service, []).append(incarnation)
        found = AvailableCapacity({}, {})
        for service, incarnations in by_service.items():
            workers = self._of_pool(incarnations, stopping, now_s)
            found.quarantined[service] = [
                worker for worker in workers if worker.is_quarantined
            ]
            accepting = [
                worker for worker in workers if not worker.is_quarantined
            ]
            close_trial_workers(accepting)
            found.accepting[service] = accepting
        return found

    def _of_pool(
        self,
        incarnations: Collection[Incarnation],
        stopping: Collection[Run],
        now_s: float,
    ) -> list[WorkerCapacity]:
        names = [incarnation.report.worker for incarnation in incarnations]
        quarantined = self._quarantine.quarantined(names, now_s)
        slow = self._progress.slow(names, now_s)
        workers = [
            self._cache.get(incarnation, stopping)
            for incarnation in incarnations
        ]
        for worker in workers:
            report = worker.incarnation.report
            worker.is_quarantined = report.worker in quarantined
            is_paced = self._pacing.is_paced(report.worker)
            worker.is_slow = report.worker in slow or is_paced
            worker.takes_one_run = worker.incarnation.unbegun.is_on_trial
            worker.has_crashed_recently = self._crashes.has_crashed_recently(
                report.vm_or_address,
                now_s,
            )
        return workers
