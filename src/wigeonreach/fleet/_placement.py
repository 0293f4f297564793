"""Place the jobs of pools on workers under leases."""

from __future__ import annotations

import functools
import heapq
from collections.abc import Iterable, Mapping

from wigeonreach.fleet._job_usage import UsageEstimator
from wigeonreach.fleet._placement_ends import TaskEndHandler
from wigeonreach.fleet._placement_jobs import (
    DONE_STATES,
    JobEvent,
    JobRecord,
    JobState,
)
from wigeonreach.fleet._placement_model import (
    Effect,
    Event,
    JobsCancelled,
    JobSubmitted,
    Reason,
    StopTask,
    TaskChanged,
    TaskEnd,
    Tick,
    UsageReported,
    WorkerDraining,
    WorkerHeard,
    WorkerJoined,
    WorkerLost,
)
from wigeonreach.fleet._placement_pool import CloseReason
from wigeonreach.fleet._placement_pools import Pools
from wigeonreach.fleet._placement_scheduler import (
    PoolScheduler,
    SchedulingCycle,
)
from wigeonreach.fleet._quarantine import Quarantine

LEASE_S = 30.0
# Largest lag of a worker's clock; added to the end of a lease before the lease
# is treated as expired.
_CLOCK_MARGIN_S = 2.0


class Placement:
    """Decide on which worker each job runs, without any I/O.

    Parameters
    ----------
    quotas
        Processors by team.
    first_token
        First lease token; tokens increase, and each manager that becomes
        responsible for placement starts above all earlier tokens.
    held_ratio
        Ratio of each worker's processors that only urgent and preemptible
        jobs may use.
    """

    def __init__(
        self,
        quotas: Mapping[str, float],
        first_token: int = 1,
        held_ratio: float = 0.0,
    ) -> None:
        """Start without workers or jobs."""
        self._estimator = UsageEstimator()
        self._quarantine = Quarantine()
        self._jobs: dict[str, JobRecord] = {}
        self._pools = Pools(
            self._jobs,
            quotas,
            held_ratio,
            self._estimator,
            self._quarantine,
        )
        self._task_ends = TaskEndHandler(self._jobs, self._quarantine)
        self._uncertain: list[tuple[float, str, int]] = []
        self._next_token = first_token

    def job(self, job_id: str) -> JobRecord | None:
        """Return the record of a job, or None if it is unknown."""
        return self._jobs.get(job_id)

    def has_jobs(self, worker: str) -> bool:
        """Whether jobs may be running on a worker."""
        pool = self._pools.of_worker(worker)
        return pool is not None and bool(pool.workers.state(worker).allocations)

    def change_quotas(self, quotas: Mapping[str, float]) -> None:
        """Replace the quotas, in processors by team."""
        self._pools.change_quotas(quotas)

    def pool(self, name: str) -> PoolScheduler:
        """Return the scheduler of a pool."""
        return self._pools.get(name)

    def handle(self, event: Event, now_s: float) -> list[Effect]:
        """Process one event and return its effects, in order."""
        return list(self._on(event, now_s))

    @functools.singledispatchmethod
    def _on(self, event: Event, now_s: float) -> Iterable[Effect]:
        raise NotImplementedError(type(event).__name__)

    @_on.register
    def _on_submitted(
        self,
        event: JobSubmitted,
        now_s: float,
    ) -> Iterable[Effect]:
        job = event.job
        if job.job_id in self._jobs:
            return ()
        record = JobRecord(job)
        self._jobs[job.job_id] = record
        pool = self.pool(job.pool)
        if pool.never_fits(record):
            return self._task_ends.set_aside(record, Reason.NEVER_FITS)
        pool.enqueue(record)
        return self._schedule(pool, now_s)

    @_on.register
    def _on_cancelled(
        self,
        event: JobsCancelled,
        now_s: float,
    ) -> Iterable[Effect]:
        effects: list[Effect] = []
        for job_id in event.job_ids:
            record = self._jobs.get(job_id)
            if record is not None and record.allows(JobEvent.CANCEL):
                effects.extend(self._cancel(record))
        return effects

    @_on.register
    def _on_joined(
        self,
        event: WorkerJoined,
        now_s: float,
    ) -> Iterable[Effect]:
        worker = event.worker
        before = self._pools.of_worker(worker.name)
        pool = self.pool(worker.pool)
        if before is not None and before is not pool:
            if before.workers.state(worker.name).allocations:
                # The worker stays in its old pool until it joins without jobs.
                return self._on_draining(WorkerDraining(worker.name), now_s)
            before.workers.leave(worker.name)
        self._pools.assign(worker.name, worker.pool)
        self._quarantine.forget_worker(worker.pool, worker.name)
        pool.workers.join(worker)
        pool.workers.state(worker.name).heard_s = now_s
        for task in event.found:
            if task.job.job_id not in self._jobs:
                record = JobRecord(task.job)
                self._jobs[task.job.job_id] = record
                pool.adopt(record, worker.name, task.lease_token)
        return self._schedule(pool, now_s)

    @_on.register
    def _on_heard(self, event: WorkerHeard, now_s: float) -> Iterable[Effect]:
        pool = self._pools.of_worker(event.name)
        if pool is None:
            return ()
        state = pool.workers.state(event.name)
        state.heard_s = now_s
        if CloseReason.LOST not in state.closed:
            return ()
        pool.workers.open(event.name, CloseReason.LOST)
        return self._schedule(pool, now_s)

    @_on.register
    def _on_draining(
        self,
        event: WorkerDraining,
        now_s: float,
    ) -> Iterable[Effect]:
        pool = self._pools.of_worker(event.name)
        if pool is None:
            return ()
        pool.workers.close(event.name, CloseReason.DRAINING)
        allocations = tuple(pool.workers.state(event.name).allocations.values())
        return [
            pool.preemptor.stop(self._jobs[allocation.job_id], Reason.DRAINED)
            for allocation in allocations
            if allocation.is_preemptible
            and self._jobs[allocation.job_id].state is JobState.RUNNING
        ]

    @_on.register
    def _on_lost(self, event: WorkerLost, now_s: float) -> Iterable[Effect]:
        pool = self._pools.of_worker(event.name)
        if pool is None:
            return ()
        pool.workers.mark_lost(event.name, now_s)
        for job_id in tuple(pool.workers.state(event.name).allocations):
            self._mark_uncertain(pool, self._jobs[job_id])
        return ()

    @_on.register
    def _on_usage(
        self,
        event: UsageReported,
        now_s: float,
    ) -> Iterable[Effect]:
        record = self._current(event.job_id, event.lease_token)
        # A delayed report may refer to the time before this start.
        if record is None or event.measured_at_s < record.started_at_s:
            return ()
        need = self._estimator.observe(record.job, event.used)
        return self.pool(record.job.pool).resize(record, need)

    @_on.register
    def _on_task(self, event: TaskChanged, now_s: float) -> Iterable[Effect]:
        record = self._current(event.job_id, event.lease_token)
        if record is None or not record.allows(event.change):
            return ()
        record.apply(event.change)
        if event.change is TaskEnd.STARTED:
            return ()
        worker = record.worker
        pool = self.pool(record.job.pool)
        pool.release(record)
        self._task_ends.record_outcome(
            pool, record, worker, event.change, now_s
        )
        effects = self._task_ends.resolve(pool, record, worker)
        effects.extend(self._schedule(pool, now_s))
        effects.extend(pool.preemptor.lift_throttling(worker))
        return effects

    @_on.register
    def _on_tick(self, event: Tick, now_s: float) -> Iterable[Effect]:
        effects: list[Effect] = []
        while self._uncertain and self._uncertain[0][0] <= now_s:
            _, job_id, token = heapq.heappop(self._uncertain)
            effects.extend(self._expire_lease(job_id, token, now_s))
        for name in self._quarantine.due_for_probe(now_s):
            probed = self._pools.of_worker(name)
            if probed is not None:
                probed.workers.open(name, CloseReason.QUARANTINE)
        for pool in self._pools.all():
            effects.extend(self._schedule(pool, now_s, is_exhaustive=True))
        return effects

    def _schedule(
        self,
        pool: PoolScheduler,
        now_s: float,
        *,
        is_exhaustive: bool = False,
    ) -> list[Effect]:
        cycle = SchedulingCycle(
            now_s,
            now_s + LEASE_S,
            self._next_token,
            is_exhaustive,
        )
        pool.schedule(cycle)
        self._next_token = cycle.next_token
        for record in cycle.unplaceable:
            cycle.effects.extend(
                self._task_ends.set_aside(record, Reason.NEVER_FITS),
            )
        return cycle.effects

    def _current(self, job_id: str, lease_token: int) -> JobRecord | None:
        record = self._jobs.get(job_id)
        if record is None or record.lease_token != lease_token:
            return None
        return record

    def _cancel(self, record: JobRecord) -> list[Effect]:
        record.apply(JobEvent.CANCEL)
        pool = self.pool(record.job.pool)
        if record.state is JobState.CANCELLED:
            pool.dequeue(record)
            pool.release(record)
            return []
        return [
            StopTask(
                record.job.job_id,
                record.worker,
                record.lease_token,
                with_checkpoint=False,
            ),
        ]

    def _mark_uncertain(self, pool: PoolScheduler, record: JobRecord) -> None:
        if not record.allows(JobEvent.LOST):
            return
        record.apply(JobEvent.LOST)
        if record.state in DONE_STATES:
            pool.release(record)
            return
        record.reason = Reason.WORKER_LOST
        self._schedule_expiry(record, self._lease_end_s(record))

    def _lease_end_s(self, record: JobRecord) -> float:
        workers = self.pool(record.job.pool).workers
        heard_until_s = workers.state(record.worker).heard_s + LEASE_S
        return max(heard_until_s, record.lease_ends_s) + _CLOCK_MARGIN_S

    def _schedule_expiry(self, record: JobRecord, ends_s: float) -> None:
        entry = (ends_s, record.job.job_id, record.lease_token)
        heapq.heappush(self._uncertain, entry)

    def _expire_lease(
        self,
        job_id: str,
        lease_token: int,
        now_s: float,
    ) -> list[Effect]:
        record = self._current(job_id, lease_token)
        if record is None or record.state is not JobState.UNCERTAIN:
            return []
        # The worker may have answered since, which renewed the lease.
        ends_s = self._lease_end_s(record)
        if ends_s > now_s:
            self._schedule_expiry(record, ends_s)
            return []
        worker = record.worker
        record.apply(JobEvent.LEASE_ENDED)
        pool = self.pool(record.job.pool)
        self._task_ends.record_worker_loss(pool, record)
        pool.release(record)
        return self._task_ends.resolve(pool, record, worker)
