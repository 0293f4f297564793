"""Handle jobs whose task ended."""

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
from wigeonreach.fleet._placement_pool import CloseReason
from wigeonreach.fleet._placement_scheduler import PoolScheduler
from wigeonreach.fleet._quarantine import Quarantine

# Done jobs that are remembered to recognize resent submissions, which arrive
# within minutes; far fewer jobs end in that time.
_MAX_DONE_JOBS = 100_000
# A job that had run for longer when its worker last answered is not held
# responsible for the loss.  The limit is several times the ten seconds after
# which a silent worker is noticed.
_JUST_STARTED_S = 60.0


class TaskEndHandler:
    """Record the outcome of a task, then requeue, report or retire its job.

    Parameters
    ----------
    jobs
        All jobs by id, shared with the owner.
    quarantine
        Failure records of jobs and workers.
    """

    def __init__(
        self,
        jobs: MutableMapping[str, JobRecord],
        quarantine: Quarantine,
    ) -> None:
        """Start without finished jobs."""
        self._jobs = jobs
        self._quarantine = quarantine
        self._done: collections.deque[str] = collections.deque()

    def record_outcome(
        self,
        pool: PoolScheduler,
        record: JobRecord,
        worker: str,
        change: TaskEnd,
        now_s: float,
    ) -> None:
        """Record a success or a failure of a job on its worker."""
        job = record.job
        if change is TaskEnd.FINISHED:
            if self._quarantine.note_success(job.pool, worker, job.family):
                pool.workers.open(worker, CloseReason.QUARANTINE)
            return
        if change is not TaskEnd.FAILED:
            self._quarantine.allow_probe(worker)
            return
        if self._quarantine.note_failure(
            job.pool,
            len(pool.workers),
            worker,
            job.job_id,
            job.family,
            now_s,
        ):
            pool.workers.close(worker, CloseReason.QUARANTINE)

    def record_worker_loss(
        self, pool: PoolScheduler, record: JobRecord
    ) -> None:
        """Count the loss of a worker against a job that it had just started.

        Without this, a job that crashes its workers would take down one after
        the other; with it, at most three, the same limit as for a job that
        fails everywhere.
        """
        state = pool.workers.state(record.worker)
        ran_s = state.heard_s - record.started_at_s
        if ran_s < _JUST_STARTED_S and not pool.workers.lost_with_rack_peers(
            record.worker
        ):
            self._quarantine.note_worker_lost(record.job.job_id)

    def resolve(
        self,
        pool: PoolScheduler,
        record: JobRecord,
        worker: str,
    ) -> list[Effect]:
        """Requeue, report, set aside or retire a job whose task ended."""
        if record.state is JobState.REPORTED:
            record.reason = Reason.MAY_HAVE_RUN
            return [ReportRun(record.job.job_id, worker, record.reason)]
        if record.state in DONE_STATES:
            self._retire(record)
            return []
        if self._quarantine.failed_everywhere(record.job.job_id):
            return self.set_aside(record, Reason.FAILS_EVERYWHERE)
        if self._quarantine.loses_workers(record.job.job_id):
            return self.set_aside(record, Reason.LOSES_WORKERS)
        pool.enqueue(record, is_first=True)
        return []

    def set_aside(self, record: JobRecord, reason: Reason) -> list[Effect]:
        """Give up on a waiting job."""
        record.apply(JobEvent.SET_ASIDE)
        record.reason = reason
        self._retire(record)
        return [SetAside(record.job.job_id, reason)]

    def _retire(self, record: JobRecord) -> None:
        self._quarantine.forget_job(record.job.job_id)
        # A non-idempotent job is kept, so that it never starts again.
        if record.job.is_idempotent:
            self._done.append(record.job.job_id)
        if len(self._done) > _MAX_DONE_JOBS:
            self._jobs.pop(self._done.popleft(), None)
