"""Make room for work that must not wait."""

from __future__ import annotations

import dataclasses
from collections.abc import Container, Mapping

from wigeonreach._room import NO_ROOM, Room
from wigeonreach.fleet._placement_jobs import JobEvent, JobRecord, JobState
from wigeonreach.fleet._placement_model import (
    Effect,
    Reason,
    StopTask,
    ThrottleTask,
)
from wigeonreach.fleet._placement_pool import (
    THROTTLE_RATIO,
    PoolRooms,
    Tenant,
)
from wigeonreach.fleet._quota import QuotaBook

_BORROWERS_TRIED = 8


class RoomMaker:
    """Throttle, or checkpoint and stop, work that can wait.

    Parameters
    ----------
    rooms, quota, jobs
        The pool's workers, its teams' shares and all jobs by id.
    """

    def __init__(
        self,
        rooms: PoolRooms,
        quota: QuotaBook,
        jobs: Mapping[str, JobRecord],
    ) -> None:
        """Share the pool's state."""
        self._rooms = rooms
        self._quota = quota
        self._jobs = jobs

    def throttle_for(
        self,
        need: Room,
        excluded: Container[str],
    ) -> tuple[str | None, list[Effect]]:
        """Throttle jobs of one worker so that a need fits at once.

        Returns
        -------
        tuple
            The worker, or nothing if there is none, and the throttling.
        """
        worker = self._rooms.find_throttled(need, excluded)
        if worker is None:
            return None, []
        return worker, self._throttle(worker, need)

    def stop_for(self, need: Room, excluded: Container[str]) -> list[Effect]:
        """Checkpoint and stop jobs of one worker, so that a need will fit."""
        worker = self._rooms.find_stopped(need, excluded)
        if worker is None:
            return []
        effects: list[Effect] = []
        state = self._rooms.state(worker)
        coming = state.free
        for tenant in tuple(state.tenants.values()):
            if coming.holds(need):
                break
            record = self._jobs[tenant.job_id]
            if tenant.gives_way and record.state is JobState.RUNNING:
                coming += tenant.taken
                effects.append(self.stop(record, Reason.GAVE_WAY))
        return effects

    def reclaim(self, need: Room) -> list[Effect]:
        """Stop one job of a team above its quota, so that a need will fit."""
        for job_id in self._quota.borrowed_jobs(_BORROWERS_TRIED):
            borrower = self._jobs[job_id]
            if borrower.state is not JobState.RUNNING:
                continue
            free = self._rooms.state(borrower.worker).free + borrower.need
            if free.holds(need):
                return [self.stop(borrower, Reason.GAVE_WAY)]
        return []

    def stop(self, record: JobRecord, reason: Reason) -> StopTask:
        """Stop a running job that gives way, after a checkpoint."""
        record.step(JobEvent.STOP)
        record.reason = reason
        job = record.job
        self._quota.yields(job.team, job.job_id, is_running=False)
        tenant = self._rooms.state(record.worker).tenants[job.job_id]
        # What is stopping already can't be stopped for someone else.
        self._rooms.take(
            record.worker,
            dataclasses.replace(tenant, gives_way=False),
        )
        return StopTask(
            job.job_id,
            record.worker,
            record.lease_token,
            with_checkpoint=True,
        )

    def relieve(self, worker: str) -> list[Effect]:
        """Throttle work that can wait on a worker that grew too full."""
        if self._rooms.state(worker).free.processors >= 0:
            return []
        return self._throttle(worker, NO_ROOM)

    def restore(self, worker: str) -> list[Effect]:
        """Give throttled jobs of a worker their processors back."""
        if worker not in self._rooms:
            return []
        state = self._rooms.state(worker)
        effects: list[Effect] = []
        for tenant in tuple(state.tenants.values()):
            lacking = tenant.need.processors * (1 - tenant.ratio)
            if 0 < lacking <= state.free.processors:
                effects.append(self._set_ratio(tenant, 1))
        return effects

    def _throttle(self, worker: str, need: Room) -> list[Effect]:
        effects: list[Effect] = []
        state = self._rooms.state(worker)
        for tenant in tuple(state.tenants.values()):
            if state.free.holds(need):
                break
            if tenant.throttleable.processors > 0:
                effects.append(self._set_ratio(tenant, THROTTLE_RATIO))
        return effects

    def _set_ratio(self, tenant: Tenant, ratio: float) -> ThrottleTask:
        record = self._jobs[tenant.job_id]
        self._rooms.take(
            record.worker,
            dataclasses.replace(tenant, ratio=ratio),
        )
        return ThrottleTask(
            tenant.job_id,
            record.worker,
            record.lease_token,
            ratio,
        )
