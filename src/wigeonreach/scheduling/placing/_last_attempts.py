"""Keep the last attempt of a task off the worker on which it failed.

A worker that fails every task must not make a job fail by itself.  The task
therefore waits for another worker, but only if there is one that could run it,
and not for long: that worker may be filled by tasks that last.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from wigeonreach.jobs import JobStore, StepSpec, TaskKey, TaskPhase
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity

# Users expect a task to start within 3 s where there is capacity for it, and the
# order takes up to a heartbeat interval (0.8 s) to arrive.
_MAX_WAIT_S = 1.5
# In a pool that is mostly in use, the failing worker is often the only one with
# free capacity, until the tasks on others end.
_MAX_WAIT_IN_BUSY_POOL_S = 10.0
_BUSY_RATIO = 0.5


class LastAttempts:
    """Tasks whose last attempt waits for another worker, during one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    """

    def __init__(self, store: JobStore) -> None:
        """Start without waiting tasks."""
        self._store = store
        self._since_s: dict[TaskKey, float] = {}
        self._now_s = 0.0

    def begin_plan(self, now_s: float) -> None:
        """Set the clock, and forget the tasks that no longer wait."""
        self._now_s = now_s
        self._since_s = {
            key: since_s
            for key, since_s in self._since_s.items()
            if self._is_waiting(key)
        }

    def must_wait(
        self,
        step: ReadyStep,
        key: TaskKey,
        worker: WorkerCapacity,
        pool: Sequence[WorkerCapacity],
    ) -> bool:
        """Whether a task waits for another worker than the one chosen for it.

        Parameters
        ----------
        step, key
            The task.
        worker
            The worker that was chosen.
        pool
            The workers of its service that accept tasks.
        """
        task = step.job.task(key)
        if task is None or task.worker != worker.name or not task.failures:
            return False
        is_last = task.failures + 1 >= step.job.queue.max_failures
        if not is_last or not _has_other(worker, pool, step.spec):
            return False
        waited_s = self._now_s - self._since_s.setdefault(key, self._now_s)
        return waited_s < _max_wait_s(pool)

    def _is_waiting(self, key: TaskKey) -> bool:
        job = self._store.job_of(key)
        task = self._store.task_of(key)
        if job is None or task is None:
            return False
        return job.is_active and task.phase is TaskPhase.WAITING


def _has_other(
    worker: WorkerCapacity,
    pool: Iterable[WorkerCapacity],
    spec: StepSpec,
) -> bool:
    """Whether another worker could run a task of a step, once it is empty."""
    return any(
        other.could_ever_hold(spec) for other in pool if other is not worker
    )


def _max_wait_s(pool: Iterable[WorkerCapacity]) -> float:
    free = 0.0
    total = 0.0
    for worker in pool:
        free += worker.free.processors
        total += worker.incarnation.resources.processors
    is_busy = free < total * (1 - _BUSY_RATIO)
    return _MAX_WAIT_IN_BUSY_POOL_S if is_busy else _MAX_WAIT_S
