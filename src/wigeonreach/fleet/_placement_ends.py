"""Decide what becomes of a job whose task ended."""

from __future__ import annotations

import collections
from collections.abc import MutableMapping

from wigeonreach.fleet._placement_jobs import (
    DONE_STATES,
    JobEvent,
    JobRecord,
    JobState,
)
from wigeonreach.fleet._placement_model import (
    Effect,
    Reason,
    ReportRun,
    SetAside,
    TaskEnd,
)
from wigeonreach.fleet._placement_pool import Closed
from wigeonreach.fleet._placement_queue import PoolQueue
from wigeonreach.fleet._quarantine import Quarantine

# Submissions are resent within minutes; so many jobs end in far longer.
_REMEMBERED_JOBS = 100_000
# What had run for longer when its worker was last heard did not bring it down
# by starting: several times the ten seconds after which silence is noticed.
_BEGUN_S = 60.0


class TaskEnds:
    """Judge worker and job by an end, then queue, report or forget the job.

    Parameters
    ----------
    jobs
        All jobs by id, shared with the owner.
    quarantine
        What is known of failures.
    """

    def __init__(
        self,
        jobs: MutableMapping[str, JobRecord],
        quarantine: Quarantine,
    ) -> None:
        """Start with no job done."""
        self._jobs = jobs
        self._quarantine = quarantine
        self._done: collections.deque[str] = collections.deque()

    def judge(
        self,
        pool: PoolQueue,
        record: JobRecord,
        worker: str,
        change: TaskEnd,
        now_s: float,
    ) -> None:
        """Let a success or a failure count for and against its worker."""
        job = record.job
        if change is TaskEnd.FINISHED:
            if self._quarantine.finished(job.pool, worker, job.family):
                pool.rooms.open(worker, Closed.QUARANTINE)
            return
        if change is not TaskEnd.FAILED:
            self._quarantine.probe_again(worker)
            return
        if self._quarantine.failed(
            job.pool,
            len(pool.rooms),
            worker,
            job.job_id,
            job.family,
            now_s,
        ):
            pool.rooms.close(worker, Closed.QUARANTINE)

    def judge_loss(self, pool: PoolQueue, record: JobRecord) -> None:
        """Let the loss of a worker count against a job that it had just begun.

        Without this, a job that brings its workers down takes one after the
        other; with it, three, as for a job that fails everywhere.
        """
        state = pool.rooms.state(record.worker)
        ran_s = state.heard_s - record.started_at_s
        if ran_s < _BEGUN_S and not pool.rooms.lost_with_rack(record.worker):
            self._quarantine.lost(record.job.job_id)

    def settle(
        self,
        pool: PoolQueue,
        record: JobRecord,
        worker: str,
    ) -> list[Effect]:
        """Queue a job again, or report it, or forget it."""
        if record.state is JobState.REPORTED:
            record.reason = Reason.MAY_HAVE_RUN
            return [ReportRun(record.job.job_id, worker, record.reason)]
        if record.state in DONE_STATES:
            self._retire(record)
            return []
        if self._quarantine.is_bad_job(record.job.job_id):
            return self.set_aside(record, Reason.FAILS_EVERYWHERE)
        if self._quarantine.loses_workers(record.job.job_id):
            return self.set_aside(record, Reason.LOSES_WORKERS)
        pool.enqueue(record, is_first=True)
        return []

    def set_aside(self, record: JobRecord, reason: Reason) -> list[Effect]:
        """Try a waiting job no more."""
        record.step(JobEvent.SET_ASIDE)
        record.reason = reason
        self._retire(record)
        return [SetAside(record.job.job_id, reason)]

    def _retire(self, record: JobRecord) -> None:
        self._quarantine.forget_job(record.job.job_id)
        # A non-idempotent job is remembered, so that it never starts again.
        if record.job.is_idempotent:
            self._done.append(record.job.job_id)
        if len(self._done) > _REMEMBERED_JOBS:
            self._jobs.pop(self._done.popleft(), None)
