"""Offer a pool's free room to its waiting jobs."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping

from wigeonreach._room import NO_ROOM, Room
from wigeonreach.fleet._learning import Learner
from wigeonreach.fleet._placement_jobs import JobEvent, JobRecord
from wigeonreach.fleet._placement_model import (
    Effect,
    Reason,
    StartTask,
    TaskEnd,
)
from wigeonreach.fleet._placement_pool import Closed, PoolRooms, Tenant
from wigeonreach.fleet._placement_yield import RoomMaker
from wigeonreach.fleet._quarantine import Quarantine
from wigeonreach.fleet._quota import QuotaBook

_PROBES = 16
# Bounds on the work of one event: jobs started, and jobs tried in vain.
_STARTS_PER_EVENT = 32
_TRIES_PER_EVENT = 8
# How long a checkpoint and a stop may take before room is made elsewhere.
_ROOM_WAIT_S = 5.0


@dataclasses.dataclass(slots=True)
class Offer:
    """One offer of a pool's room and what it led to."""

    now_s: float
    lease_ends_s: float
    next_token: int
    is_thorough: bool
    effects: list[Effect] = dataclasses.field(default_factory=list)
    never_fitting: list[JobRecord] = dataclasses.field(default_factory=list)

    @property
    def probes(self) -> int | None:
        """How many workers of each group to look at."""
        return None if self.is_thorough else _PROBES


class PoolQueue:
    """One pool: its workers' room and the jobs that wait for it.

    Parameters
    ----------
    jobs
        All jobs by id, shared with the owner.
    quotas
        Processors by team.
    held_ratio
        Part of each worker's processors that is held for urgent work.
    learner, quarantine
        What was learned of jobs and workers, shared with the owner.
    """

    def __init__(
        self,
        jobs: Mapping[str, JobRecord],
        quotas: Mapping[str, float],
        held_ratio: float,
        learner: Learner,
        quarantine: Quarantine,
    ) -> None:
        """Start without workers and waiting jobs."""
        self.rooms = PoolRooms(held_ratio)
        self.quota = QuotaBook(quotas)
        self.maker = RoomMaker(self.rooms, self.quota, jobs)
        self._jobs = jobs
        self._learner = learner
        self._quarantine = quarantine
        self._urgent: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def never_fits(self, record: JobRecord) -> bool:
        """Whether no worker could hold even the least credible need.

        A pool without workers says nothing about a job.
        """
        if not len(self.rooms):
            return False
        least = self._learner.least(record.job)
        return self.rooms.largest_for(least) is None

    def enqueue(self, record: JobRecord, *, is_first: bool = False) -> None:
        """Let a job wait."""
        record.reason = record.reason or Reason.NO_ROOM
        job = record.job
        if job.is_urgent:
            self._urgent[job.job_id] = None
        else:
            self.quota.wait(job.team, job.job_id, is_first=is_first)

    def dequeue(self, record: JobRecord) -> None:
        """Let a job wait no more."""
        job = record.job
        self._urgent.pop(job.job_id, None)
        self.quota.leave(job.team, job.job_id)

    def release(self, record: JobRecord) -> None:
        """Give the room of a job back."""
        if not record.worker:
            return
        job = record.job
        self.rooms.give_back(record.worker, job.job_id)
        self.quota.use(job.team, -record.need.processors)
        self.quota.yields(job.team, job.job_id, is_running=False)
        record.worker = ''
        record.need = NO_ROOM

    def adopt(self, record: JobRecord, worker: str, lease_token: int) -> None:
        """Count a job that runs already."""
        job = record.job
        record.step(JobEvent.PLACE)
        record.step(TaskEnd.STARTED)
        record.worker = worker
        record.lease_token = lease_token
        record.need = job.declared
        self.rooms.take(worker, Tenant(job.job_id, record.need, job.gives_way))
        self.quota.use(job.team, record.need.processors)

    def resize(self, record: JobRecord, need: Room) -> list[Effect]:
        """Count a running job by what it was seen to need."""
        if record.worker not in self.rooms:
            return []
        job = record.job
        tenant = self.rooms.state(record.worker).tenants[job.job_id]
        self.quota.use(job.team, need.processors - record.need.processors)
        record.need = need
        self.rooms.take(
            record.worker,
            dataclasses.replace(tenant, need=need),
        )
        return self.maker.relieve(record.worker)

    def offer(self, offer: Offer) -> None:
        """Start waiting jobs while there is room.

        Parameters
        ----------
        offer
            The time and the next lease; effects are added to it.
        """
        for job_id in list(self._urgent)[:_TRIES_PER_EVENT]:
            self._try_urgent(self._jobs[job_id], offer)
        for _ in range(_STARTS_PER_EVENT):
            heads = self.quota.heads(_TRIES_PER_EVENT)
            if not any(self._try(self._jobs[head], offer) for head in heads):
                break

    def _try(self, record: JobRecord, offer: Offer) -> bool:
        if self._start_free(record, offer):
            return True
        if offer.is_thorough and self.never_fits(record):
            offer.never_fitting.append(record)
            self.dequeue(record)
        elif self._may_reclaim(record, offer):
            self._note_room(
                record,
                offer,
                self.maker.reclaim(self._need(record)),
            )
        return False

    def _try_urgent(self, record: JobRecord, offer: Offer) -> None:
        if self._start_free(record, offer):
            return
        need = self._need(record)
        excluded = self._quarantine.failed_on(record.job.job_id)
        worker, throttled = self.maker.throttle_for(need, excluded)
        offer.effects.extend(throttled)
        if worker is not None:
            self._start(record, worker, need, offer)
        elif record.next_room_s <= offer.now_s:
            self._note_room(
                record,
                offer,
                self.maker.stop_for(need, excluded),
            )

    def _may_reclaim(self, record: JobRecord, offer: Offer) -> bool:
        if record.next_room_s > offer.now_s:
            return False
        return self.quota.share(record.job.team) < 1

    def _note_room(
        self,
        record: JobRecord,
        offer: Offer,
        stops: list[Effect],
    ) -> None:
        offer.effects.extend(stops)
        if stops:
            record.next_room_s = offer.now_s + _ROOM_WAIT_S

    def _start_free(self, record: JobRecord, offer: Offer) -> bool:
        need = self._need(record)
        worker = self.rooms.find_free(
            record.job,
            need,
            self._quarantine.failed_on(record.job.job_id),
            offer.probes,
        )
        if worker is None:
            return False
        self._start(record, worker, need, offer)
        return True

    def _need(self, record: JobRecord) -> Room:
        """Return what to hold for a job that may be declared too large."""
        expected = self._learner.expect(record.job)
        if self.rooms.largest_for(expected) is not None:
            return expected
        least = self._learner.least(record.job)
        return self.rooms.largest_for(least) or expected

    def _start(
        self,
        record: JobRecord,
        worker: str,
        need: Room,
        offer: Offer,
    ) -> None:
        job = record.job
        self.dequeue(record)
        record.step(JobEvent.PLACE)
        record.worker = worker
        record.need = need
        record.reason = None
        record.next_room_s = 0
        record.lease_token = offer.next_token
        record.lease_ends_s = offer.lease_ends_s
        # Nothing measured before this time can be of this start.
        record.started_at_s = offer.now_s
        offer.next_token += 1
        self.rooms.take(worker, Tenant(job.job_id, need, job.gives_way))
        self.quota.use(job.team, need.processors)
        self.quota.yields(job.team, job.job_id, is_running=job.gives_way)
        if self._quarantine.is_resting(worker):
            # A worker in quarantine is probed by one job at a time.
            self.rooms.close(worker, Closed.QUARANTINE)
        offer.effects.append(
            StartTask(
                job.job_id,
                worker,
                record.lease_token,
                record.lease_ends_s,
            ),
        )
