"""Free resources for urgent jobs and for teams below their quota."""

from __future__ import annotations

import dataclasses
from collections.abc import Container, Mapping

from wigeonreach._resources import NO_RESOURCES, Resources
from wigeonreach.fleet._placement_jobs import JobEvent, JobRecord, JobState
from wigeonreach.fleet._placement_model import (
    Effect,
    Reason,
    StopTask,
    ThrottleTask,
)
from wigeonreach.fleet._placement_pool import (
    THROTTLE_RATIO,
    Allocation,
    PoolWorkers,
)
from wigeonreach.fleet._quota import QuotaTracker

_MAX_BORROWERS = 8


class RoomMaker:
    """Throttle, or checkpoint and stop, jobs that can wait.

    Parameters
    ----------
    workers, quota, jobs
        The pool's workers, the quotas of its teams and all jobs by id.
    """

    def __init__(
        self,
        workers: PoolWorkers,
        quota: QuotaTracker,
        jobs: Mapping[str, JobRecord],
    ) -> None:
        """Keep references to the pool's state."""
        self._workers = workers
        self._quota = quota
        self._jobs = jobs

    def throttle_for(
        self,
        need: Resources,
        excluded: Container[str],
    ) -> tuple[str | None, list[Effect]]:
        """Throttle jobs of one worker so that a need fits immediately.

        Returns
        -------
        tuple
            The worker, or ``None`` if there is none, and the effects.
        """
        worker = self._workers.find_throttled(need, excluded)
        if worker is None:
            return None, []
        return worker, self._throttle(worker, need)

    def stop_for(
        self, need: Resources, excluded: Container[str]
    ) -> list[Effect]:
        """Checkpoint and stop jobs of one worker, so that a need will fit."""
        worker = self._workers.find_stopped(need, excluded)
        if worker is None:
            return []
        effects: list[Effect] = []
        state = self._workers.state(worker)
        expected_free = state.free
        for allocation in tuple(state.allocations.values()):
            if expected_free.covers(need):
                break
            record = self._jobs[allocation.job_id]
            if allocation.is_preemptible and record.state is JobState.RUNNING:
                expected_free += allocation.allocated
                effects.append(self.stop(record, Reason.GAVE_WAY))
        return effects

    def reclaim(self, need: Resources) -> list[Effect]:
        """Stop one job of a team above its quota, so that a need will fit."""
        for job_id in self._quota.borrowed_jobs(_MAX_BORROWERS):
            borrower = self._jobs[job_id]
            if borrower.state is not JobState.RUNNING:
                continue
            free = self._workers.state(borrower.worker).free + borrower.need
            if free.covers(need):
                return [self.stop(borrower, Reason.GAVE_WAY)]
        return []

    def stop(self, record: JobRecord, reason: Reason) -> StopTask:
        """Checkpoint and stop a running preemptible job."""
        record.apply(JobEvent.STOP)
        record.reason = reason
        job = record.job
        self._quota.mark_preemptible(job.team, job.job_id, is_running=False)
        allocation = self._workers.state(record.worker).allocations[job.job_id]
        # A job that is already stopping can't be preempted again.
        self._workers.allocate(
            record.worker,
            dataclasses.replace(allocation, is_preemptible=False),
        )
        return StopTask(
            job.job_id,
            record.worker,
            record.lease_token,
            with_checkpoint=True,
        )

    def throttle_overloaded(self, worker: str) -> list[Effect]:
        """Throttle preemptible jobs if a worker lacks processors."""
        if self._workers.state(worker).free.processors >= 0:
            return []
        return self._throttle(worker, NO_RESOURCES)

    def lift_throttling(self, worker: str) -> list[Effect]:
        """Lift the throttling of a worker's jobs as far as they fit."""
        if worker not in self._workers:
            return []
        state = self._workers.state(worker)
        effects: list[Effect] = []
        for allocation in tuple(state.allocations.values()):
            missing_processors = allocation.need.processors * (
                1 - allocation.ratio
            )
            if 0 < missing_processors <= state.free.processors:
                effects.append(self._set_ratio(allocation, 1))
        return effects

    def _throttle(self, worker: str, need: Resources) -> list[Effect]:
        effects: list[Effect] = []
        state = self._workers.state(worker)
        for allocation in tuple(state.allocations.values()):
            if state.free.covers(need):
                break
            if allocation.throttleable.processors > 0:
                effects.append(self._set_ratio(allocation, THROTTLE_RATIO))
        return effects

    def _set_ratio(self, allocation: Allocation, ratio: float) -> ThrottleTask:
        record = self._jobs[allocation.job_id]
        self._workers.allocate(
            record.worker,
            dataclasses.replace(allocation, ratio=ratio),
        )
        return ThrottleTask(
            allocation.job_id,
            record.worker,
            record.lease_token,
            ratio,
        )
