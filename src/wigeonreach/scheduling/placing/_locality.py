"""Delay scheduling: let tasks wait for capacity near their data.

Many jobs may want the same rack at once.  Away from its data a task takes
several times as long and occupies a worker all that time, while capacity near
the data is often free within a fraction of it.  A task therefore waits until it
has lost as much time as a remote run would take in addition, and then runs
anywhere.  So it never takes more than twice as long as the better of the two
choices.  While most of the service's capacity is free, it waits for a moment
only: the rack may be filled by tasks that last.
"""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable, Sequence

from wigeonreach.jobs import TaskKey
from wigeonreach.scheduling._objectives import task_estimate_s
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling.placing._waits import MAX_WAIT_S, is_busy
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity

# Service and rack.
Rack = tuple[str, str]


class DataLocality:
    """Selects the workers for a step by data locality, for one plan.

    Parameters
    ----------
    far_factor
        Slowdown factor of a task away from its data, or of a gang on several
        racks.
    incoming_racks
        Racks of VMs that are moving to a service.
    now_s
        Clock in seconds.
    """

    def __init__(
        self,
        far_factor: float,
        incoming_racks: Collection[Rack],
        now_s: float,
    ) -> None:
        """Start with empty rack queues."""
        self._far_factor = far_factor
        self._incoming_racks = incoming_racks
        self._now_s = now_s
        # Processor seconds queued for a rack ahead of the next step.
        self._queued_s: dict[Rack, float] = collections.defaultdict(float)

    def nearby_workers(
        self,
        step: ReadyStep,
        workers: Sequence[WorkerCapacity],
    ) -> Sequence[WorkerCapacity]:
        """Return the workers for a step: those near its data, or all."""
        rack = step.spec.data_rack
        if not rack or self._far_factor <= 1:
            return workers
        nearby = [
            worker
            for worker in workers
            if worker.incarnation.report.rack == rack
        ]
        wait_s = self._expected_wait_s(step, nearby)
        if wait_s is None or not self._worth_waiting(step, wait_s, workers):
            return workers
        return nearby

    def single_rack_workers(
        self,
        step: ReadyStep,
        workers: Sequence[WorkerCapacity],
    ) -> Sequence[WorkerCapacity]:
        """Return the workers of a rack that fits a whole step.

        Returns no workers if no rack fits the step now but one may soon, and
        all workers if waiting is not worthwhile.
        """
        racks: dict[str, list[WorkerCapacity]] = collections.defaultdict(list)
        for worker in workers:
            racks[worker.incarnation.report.rack].append(worker)
        for rack in sorted(racks):
            if fits_all_tasks(step, racks[rack]):
                return racks[rack]
        may_fit = any(_could_ever_fit(step, racks[rack]) for rack in racks)
        return (
            () if may_fit and self._worth_waiting(step, 0, workers) else workers
        )

    def add_queued(self, step: ReadyStep, tasks: int) -> None:
        """Count tasks without a worker as queued ahead of later steps."""
        if step.spec.data_rack:
            work_s = (
                step.spec.resources.processors
                * task_estimate_s(step.spec)
                * tasks
            )
            self._queued_s[_rack_of(step)] += work_s

    def _expected_wait_s(
        self,
        step: ReadyStep,
        nearby: Sequence[WorkerCapacity],
    ) -> float | None:
        """Return the wait for a rack; None if it could never fit the step."""
        if not _could_ever_fit(step, nearby):
            return 0 if _rack_of(step) in self._incoming_racks else None
        processors = sum(
            worker.incarnation.resources.processors for worker in nearby
        )
        return self._queued_s[_rack_of(step)] / max(processors, 1)

    def _worth_waiting(
        self,
        step: ReadyStep,
        wait_s: float,
        workers: Iterable[WorkerCapacity],
    ) -> bool:
        """Whether a step waits for a rack, if ``wait_s`` more are expected."""
        waited_s = self._now_s - step.ready_since_s
        remote_cost_s = (self._far_factor - 1) * task_estimate_s(step.spec)
        if waited_s + wait_s >= remote_cost_s:
            return False
        return waited_s < MAX_WAIT_S or is_busy(workers)


def fits_all_tasks(step: ReadyStep, workers: Iterable[WorkerCapacity]) -> bool:
    """Whether all waiting tasks of a step fit at once, by a simple count."""
    missing = len(step.waiting_tasks)
    first = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
    for worker in workers:
        missing -= worker.count(first, step.spec)
        if missing <= 0:
            return True
    return False


def _rack_of(step: ReadyStep) -> Rack:
    # The service to which the queue of the job belonged when it was accepted.
    return step.job.queue.service, step.spec.data_rack


def _could_ever_fit(step: ReadyStep, workers: Iterable[WorkerCapacity]) -> bool:
    """Whether the empty workers would fit a gang, or else a single task."""
    spec = step.spec
    missing = len(step.waiting_tasks) if spec.is_gang else 1
    for worker in workers:
        if spec.label and spec.label not in worker.incarnation.report.labels:
            continue
        missing -= worker.incarnation.resources.count(spec.resources)
        if missing <= 0:
            return True
    return False
