"""Keep tasks off workers that they should avoid, for a bounded time.

A worker that fails every task must not make a job fail by itself.  Tasks avoid
quarantined workers, and a last attempt avoids the worker on which the task
failed.  A suspect task avoids other tasks, and they avoid it.  They wait for another worker only if there is one that could run them,
and not for long: that worker may be filled by tasks that last, and an avoided
one may be sound again.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence

from wigeonreach.jobs import JobStore, StepSpec, TaskKey, TaskPhase
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._suspects import Isolation
from wigeonreach.scheduling.placing._locality import fits_all_tasks
from wigeonreach.scheduling.placing._waits import MAX_WAIT_S, is_busy
from wigeonreach.scheduling.placing._worker_capacity import (
    AvailableCapacity,
    WorkerCapacity,
)

# In a pool that is mostly in use, the failing worker is often the only one with
# free capacity, until the tasks on others end.
_MAX_WAIT_IN_BUSY_POOL_S = 10.0


class AvoidedWorkers:
    """Tasks that wait for another worker than an avoided one, during one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    """

    def __init__(self, store: JobStore) -> None:
        """Start without waiting tasks."""
        self._store = store
        self._available = AvailableCapacity({}, {})
        self._busy_services: set[str] = set()
        self._since_s: dict[TaskKey, float] = {}
        self._now_s = 0.0

    def begin_plan(self, available: AvailableCapacity, now_s: float) -> None:
        """Set the workers and the clock; forget tasks that no longer wait."""
        self._available = available
        self._now_s = now_s
        self._busy_services = {
            service
            for service, workers in available.accepting.items()
            if is_busy((*workers, *available.quarantined[service]))
        }
        self._since_s = {
            key: since_s
            for key, since_s in self._since_s.items()
            if self._is_waiting(key)
        }

    def candidates(self, step: ReadyStep) -> Sequence[WorkerCapacity]:
        """Return the workers of its service that a step may use at all.

        These are the accepting ones, and the quarantined ones if the step may
        have to use one of them.
        """
        service = self._store.service_of(step.job)
        pool = self._available.accepting.get(service, ())
        quarantined = self._available.quarantined.get(service)
        if not quarantined or not self._may_need_quarantined(step, pool):
            return pool
        return [*pool, *quarantined]

    def must_wait(
        self,
        step: ReadyStep,
        key: TaskKey,
        worker: WorkerCapacity,
    ) -> bool:
        """Whether a task waits for another worker than the one chosen for it.

        Parameters
        ----------
        step, key
            The task.
        worker
            The worker that was chosen.
        """
        if worker.is_quarantined:
            return self._waited_s(key) < MAX_WAIT_S
        if not _is_last_attempt(step, key, worker):
            return False
        service = self._store.service_of(step.job)
        if not _has_other(
            worker, self._available.accepting[service], step.spec
        ):
            return False
        if service in self._busy_services:
            return self._waited_s(key) < _MAX_WAIT_IN_BUSY_POOL_S
        return self._waited_s(key) < MAX_WAIT_S

    def only_worker(
        self,
        step: ReadyStep,
        key: TaskKey,
        isolation: Isolation,
        candidates: Sequence[WorkerCapacity],
    ) -> WorkerCapacity | None:
        """Return the only worker that could ever run a task, after a wait.

        A task that has to run alone, or whose worker is closed for another task
        that has to, can't wait for a worker of its own if there is no other.

        Parameters
        ----------
        step, key
            The task, for which no worker was chosen.
        isolation
            The isolation that it needs now.
        candidates
            The workers that may run it now.

        Returns
        -------
        WorkerCapacity or None
            The worker; None if there are others, if it is full, or if the task
            has not waited long enough.
        """
        only = self._only_possible(step)
        if only is None or not only.has_room(key, step.spec):
            return None
        if isolation is not Isolation.FROM_NOTHING and not only.serving:
            # It may still become empty, and a loss beside other suspects would
            # show no cause.
            return None
        if not any(worker is only for worker in candidates):
            return None
        return only if self._waited_s(key) >= MAX_WAIT_S else None

    def _only_possible(self, step: ReadyStep) -> WorkerCapacity | None:
        """Return the only worker that could ever run a step, if there is one."""
        service = self._store.service_of(step.job)
        workers = itertools.chain(
            self._available.accepting.get(service, ()),
            self._available.quarantined.get(service, ()),
        )
        possible = (
            worker for worker in workers if worker.could_ever_hold(step.spec)
        )
        first = next(possible, None)
        return first if next(possible, None) is None else None

    def _waited_s(self, key: TaskKey) -> float:
        return self._now_s - self._since_s.setdefault(key, self._now_s)

    def _may_need_quarantined(
        self, step: ReadyStep, pool: Sequence[WorkerCapacity]
    ) -> bool:
        """Whether no other worker can run a step soon.

        In a busy pool the step waits for the end of the quarantine, unless no
        other worker could ever run it.
        """
        if self._store.service_of(step.job) in self._busy_services:
            return not any(worker.could_ever_hold(step.spec) for worker in pool)
        return not _has_room(step, pool)

    def _is_waiting(self, key: TaskKey) -> bool:
        job = self._store.job_of(key)
        task = self._store.task_of(key)
        if job is None or task is None:
            return False
        return job.is_active and task.phase is TaskPhase.WAITING


def _is_last_attempt(
    step: ReadyStep, key: TaskKey, worker: WorkerCapacity
) -> bool:
    """Whether a worker would get the last attempt of a task it has failed."""
    task = step.job.task(key)
    if task is None or task.worker != worker.name or not task.failures:
        return False
    return task.failures + 1 >= step.job.queue.max_failures


def _has_other(
    worker: WorkerCapacity,
    pool: Iterable[WorkerCapacity],
    spec: StepSpec,
) -> bool:
    """Whether another worker could run a task of a step, once it is empty."""
    return any(
        other.could_ever_hold(spec) for other in pool if other is not worker
    )


def _has_room(step: ReadyStep, pool: Iterable[WorkerCapacity]) -> bool:
    """Whether workers have capacity for a task, or a whole gang, now."""
    if step.spec.is_gang:
        return fits_all_tasks(step, pool)
    first = TaskKey(step.job.spec.job_id, step.occurrence, step.step, 0)
    return any(worker.holds(first, step.spec) for worker in pool)
