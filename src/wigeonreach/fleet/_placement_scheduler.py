"""Schedule the waiting jobs of a pool on its workers."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping

from wigeonreach._resources import NO_RESOURCES, Resources
from wigeonreach.fleet._job_usage import UsageEstimator
from wigeonreach.fleet._placement_jobs import JobEvent, JobRecord
from wigeonreach.fleet._placement_model import (
    Effect,
    Reason,
    StartTask,
    TaskEnd,
)
from wigeonreach.fleet._placement_pool import (
    Allocation,
    CloseReason,
    PoolWorkers,
)
from wigeonreach.fleet._placement_yield import RoomMaker
from wigeonreach.fleet._quarantine import Quarantine
from wigeonreach.fleet._quota import QuotaTracker

_MAX_CANDIDATES = 16
# Bounds on the cost of one event: non-urgent jobs started, and waiting jobs
# tried for each of these starts; also the number of urgent jobs tried.
_STARTS_PER_EVENT = 32
_TRIES_PER_EVENT = 8
# Time that a checkpoint and a stop may take before a further job is preempted
# for the same waiting job.
_PREEMPTION_WAIT_S = 5.0


@dataclasses.dataclass(slots=True)
class SchedulingCycle:
    """State of one scheduling cycle and its effects so far."""

    now_s: float
    lease_ends_s: float
    next_token: int
    is_exhaustive: bool
    effects: list[Effect] = dataclasses.field(default_factory=list)
    unplaceable: list[JobRecord] = dataclasses.field(default_factory=list)

    @property
    def max_candidates(self) -> int | None:
        """Number of workers to examine per size class; all if ``None``."""
        return None if self.is_exhaustive else _MAX_CANDIDATES


class PoolScheduler:
    """Scheduler of one pool: its workers and its waiting jobs.

    Parameters
    ----------
    jobs
        All jobs by id, shared with the owner.
    quotas
        Processors by team.
    held_ratio
        Ratio of each worker's processors that only urgent and preemptible
        jobs may use.
    estimator, quarantine
        Usage estimates and failure records, shared with the owner.
    """

    def __init__(
        self,
        jobs: Mapping[str, JobRecord],
        quotas: Mapping[str, float],
        held_ratio: float,
        estimator: UsageEstimator,
        quarantine: Quarantine,
    ) -> None:
        """Start without workers or waiting jobs."""
        self.workers = PoolWorkers(held_ratio)
        self.quota = QuotaTracker(quotas)
        self.preemptor = RoomMaker(self.workers, self.quota, jobs)
        self._jobs = jobs
        self._estimator = estimator
        self._quarantine = quarantine
        self._urgent: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def never_fits(self, record: JobRecord) -> bool:
        """Whether a job's lowest plausible usage exceeds every worker.

        Always false for a pool without workers.
        """
        if not len(self.workers):
            return False
        lowest = self._estimator.min_estimate(record.job)
        return self.workers.find_total(lowest) is None

    def enqueue(self, record: JobRecord, *, is_first: bool = False) -> None:
        """Add a job to the waiting jobs."""
        record.reason = record.reason or Reason.NO_ROOM
        job = record.job
        if job.is_urgent:
            self._urgent[job.job_id] = None
        else:
            self.quota.enqueue(job.team, job.job_id, is_first=is_first)

    def dequeue(self, record: JobRecord) -> None:
        """Remove a job from the waiting jobs."""
        job = record.job
        self._urgent.pop(job.job_id, None)
        self.quota.dequeue(job.team, job.job_id)

    def release(self, record: JobRecord) -> None:
        """Release the resources of a job."""
        if not record.worker:
            return
        job = record.job
        self.workers.release(record.worker, job.job_id)
        self.quota.add_usage(job.team, -record.need.processors)
        self.quota.mark_preemptible(job.team, job.job_id, is_running=False)
        record.worker = ''
        record.need = NO_RESOURCES

    def adopt(self, record: JobRecord, worker: str, lease_token: int) -> None:
        """Account for a job that already runs on a worker."""
        job = record.job
        record.apply(JobEvent.PLACE)
        record.apply(TaskEnd.STARTED)
        record.worker = worker
        record.lease_token = lease_token
        record.need = job.declared
        self.workers.allocate(
            worker, Allocation(job.job_id, record.need, job.is_preemptible)
        )
        self.quota.add_usage(job.team, record.need.processors)

    def resize(self, record: JobRecord, need: Resources) -> list[Effect]:
        """Change the allocation of a running job to its observed need."""
        if record.worker not in self.workers:
            return []
        job = record.job
        allocation = self.workers.state(record.worker).allocations[job.job_id]
        self.quota.add_usage(job.team, need.processors - record.need.processors)
        record.need = need
        self.workers.allocate(
            record.worker,
            dataclasses.replace(allocation, need=need),
        )
        return self.preemptor.throttle_overloaded(record.worker)

    def schedule(self, cycle: SchedulingCycle) -> None:
        """Start waiting jobs while they fit.

        Parameters
        ----------
        cycle
            Time and lease of this cycle; effects are added to it.
        """
        for job_id in list(self._urgent)[:_TRIES_PER_EVENT]:
            self._try_start_urgent(self._jobs[job_id], cycle)
        for _ in range(_STARTS_PER_EVENT):
            heads = self.quota.first_waiting(_TRIES_PER_EVENT)
            if not any(
                self._try_start(self._jobs[head], cycle) for head in heads
            ):
                break

    def _try_start(self, record: JobRecord, cycle: SchedulingCycle) -> bool:
        if self._start_if_free(record, cycle):
            return True
        if cycle.is_exhaustive and self.never_fits(record):
            cycle.unplaceable.append(record)
            self.dequeue(record)
        elif self._may_reclaim(record, cycle):
            self._add_stops(
                record,
                cycle,
                self.preemptor.reclaim(self._estimate_need(record)),
            )
        return False

    def _try_start_urgent(
        self, record: JobRecord, cycle: SchedulingCycle
    ) -> None:
        if self._start_if_free(record, cycle):
            return
        need = self._estimate_need(record)
        excluded = self._quarantine.failed_on(record.job.job_id)
        worker, throttled = self.preemptor.throttle_for(need, excluded)
        cycle.effects.extend(throttled)
        if worker is not None:
            self._start(record, worker, need, cycle)
        elif record.next_preemption_s <= cycle.now_s:
            self._add_stops(
                record,
                cycle,
                self.preemptor.stop_for(need, excluded),
            )

    def _may_reclaim(self, record: JobRecord, cycle: SchedulingCycle) -> bool:
        if record.next_preemption_s > cycle.now_s:
            return False
        return self.quota.usage_ratio(record.job.team) < 1

    def _add_stops(
        self,
        record: JobRecord,
        cycle: SchedulingCycle,
        stops: list[Effect],
    ) -> None:
        cycle.effects.extend(stops)
        if stops:
            record.next_preemption_s = cycle.now_s + _PREEMPTION_WAIT_S

    def _start_if_free(self, record: JobRecord, cycle: SchedulingCycle) -> bool:
        need = self._estimate_need(record)
        worker = self.workers.find_free(
            record.job,
            need,
            self._quarantine.failed_on(record.job.job_id),
            cycle.max_candidates,
        )
        if worker is None:
            return False
        self._start(record, worker, need, cycle)
        return True

    def _estimate_need(self, record: JobRecord) -> Resources:
        """Return the resources to allocate to a job.

        A job whose estimate exceeds every worker gets a whole worker, if its
        lowest plausible usage fits, as its declared size may be overstated.
        """
        expected = self._estimator.estimate(record.job)
        if self.workers.find_total(expected) is not None:
            return expected
        lowest = self._estimator.min_estimate(record.job)
        return self.workers.find_total(lowest) or expected

    def _start(
        self,
        record: JobRecord,
        worker: str,
        need: Resources,
        cycle: SchedulingCycle,
    ) -> None:
        job = record.job
        self.dequeue(record)
        record.apply(JobEvent.PLACE)
        record.worker = worker
        record.need = need
        record.reason = None
        record.next_preemption_s = 0
        record.lease_token = cycle.next_token
        record.lease_ends_s = cycle.lease_ends_s
        # Usage measured before this time belongs to an earlier start.
        record.started_at_s = cycle.now_s
        cycle.next_token += 1
        self.workers.allocate(
            worker, Allocation(job.job_id, need, job.is_preemptible)
        )
        self.quota.add_usage(job.team, need.processors)
        self.quota.mark_preemptible(
            job.team, job.job_id, is_running=job.is_preemptible
        )
        if self._quarantine.is_quarantined(worker):
            # A quarantined worker is probed with one job at a time.
            self.workers.close(worker, CloseReason.QUARANTINE)
        cycle.effects.append(
            StartTask(
                job.job_id,
                worker,
                record.lease_token,
                record.lease_ends_s,
            ),
        )
