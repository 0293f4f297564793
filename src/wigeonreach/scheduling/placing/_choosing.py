"""Choose the worker for each task of a step."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from wigeonreach.jobs import StepSpec, TaskKey
from wigeonreach.scheduling._ready import ReadyStep, max_tasks_per_worker
from wigeonreach.scheduling._suspects import CRASHES_BEFORE_ISOLATION, Isolation
from wigeonreach.scheduling.placing._home_zones import NO_HOME, Home
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity
from wigeonreach.wire._worker_messages import WorkerReport

# Costs of placing a task on a worker; the worker with the lowest sum is chosen.
_QUARANTINED_COST = 200.0
_FAILED_HERE_COST = 100.0
_SLOW_WORKER_COST = 50.0
_REMOTE_DATA_COST = 10.0
# Applies only beside serving tasks with a latency target.  Workers of other
# serving tasks stay up anyway, so batch work that fits there saves a VM.
_BESIDE_SERVING_COST = 4.0
_CROWDED_COST = 20.0
# A crash of a worker with two suspect tasks can't be attributed to one of them.
_SUSPECTS_TOGETHER_COST = 30.0
# A crash beside other tasks does not show its cause, and ends those tasks too.
_NOT_ISOLATED_COST = 25.0
_RECENT_CRASH_COST = 8.0
# A task beside a suspect may be lost with it.  This costs less than running on
# a rack without the data, since few suspects do cause crashes.
_BESIDE_SUSPECT_COST = 6.0
# Keeps tasks without a data rack off racks where waiting tasks have their data.
_DATA_RACK_COST = 2.0
# A job all in one zone is not held up by the loss of another one.  Everything
# above that can delay a task costs more.
_OTHER_ZONE_COST = 1.0
_OTHER_RACK_COST = 0.5

# Cost, tie-breaker by leftover capacity, worker name; the lowest is chosen.
_Cost = tuple[float, float, str]


class WorkerRanking:
    """The workers for the tasks of one step, ranked during planning.

    Free capacity only shrinks during planning, so a worker that can't take one
    task of a step can't take the others either.  All workers are therefore
    ranked once per step instead of once per task, except for serving tasks and
    tasks that ran before: their costs differ from task to task.

    Parameters
    ----------
    step
        The step whose tasks are to be placed.
    workers
        The workers that accept tasks.
    home
        Where the tasks should run.

    Attributes
    ----------
    workers
        The workers that had capacity for a task at first.
    """

    def __init__(
        self,
        step: ReadyStep,
        workers: Iterable[WorkerCapacity],
        home: Home = NO_HOME,
    ) -> None:
        """Select the workers with capacity for a task."""
        need = step.spec.resources
        self._step = step
        self._home = home
        self.workers = [
            worker for worker in workers if worker.free.covers(need)
        ]
        self._heap: list[tuple[_Cost, WorkerCapacity]] | None = None

    @property
    def has_workers(self) -> bool:
        """Whether some worker had capacity for a task."""
        return bool(self.workers)

    def best(
        self,
        key: TaskKey,
        isolation: Isolation = Isolation.FROM_NOTHING,
    ) -> WorkerCapacity | None:
        """Return the best worker for one task, or None if none fits.

        Parameters
        ----------
        key
            The task.
        isolation
            Which other tasks it must not share a worker with.
        """
        task = self._step.job.task(key)
        was_started = task is not None and bool(task.run)
        if was_started or self._step.spec.is_service:
            # The cost depends on where the task ran before or where other
            # tasks of its step are, so the shared ranking does not apply.
            crashes = task.crash_count if task else 0
            workers = self.workers
            if isolation is not Isolation.FROM_NOTHING:
                workers = [
                    worker
                    for worker in workers
                    if worker.isolates(key.job_id, isolation)
                ]
            return best_worker(self._step, key, workers, crashes, self._home)
        return self._cheapest(key)

    def _cheapest(self, key: TaskKey) -> WorkerCapacity | None:
        if self._heap is None:
            self._heap = [
                (self._cost(key, worker), worker) for worker in self.workers
            ]
            heapq.heapify(self._heap)
        while self._heap:
            ranked, worker = self._heap[0]
            if not worker.holds(key, self._step.spec):
                heapq.heappop(self._heap)
                continue
            current = self._cost(key, worker)
            if current == ranked:
                return worker
            # A task was placed on the worker since it was ranked.
            heapq.heapreplace(self._heap, (current, worker))
        return None

    def _cost(self, key: TaskKey, worker: WorkerCapacity) -> _Cost:
        return _cost(self._step, key, worker, 0, self._home)


def best_worker(
    step: ReadyStep,
    key: TaskKey,
    workers: Iterable[WorkerCapacity],
    crashes: int = 0,
    home: Home = NO_HOME,
) -> WorkerCapacity | None:
    """Return the best worker for one task, or None if none fits.

    ``crashes`` is the number of worker crashes that the task may have caused,
    ``home`` where it should run.
    """
    fitting = [worker for worker in workers if worker.holds(key, step.spec)]
    return min(
        fitting,
        key=lambda worker: _cost(step, key, worker, crashes, home),
        default=None,
    )


def _cost(
    step: ReadyStep,
    key: TaskKey,
    worker: WorkerCapacity,
    crashes: int = 0,
    home: Home = NO_HOME,
) -> _Cost:
    """Return the cost of placing a task on a worker."""
    spec = step.spec
    report = worker.incarnation.report
    task = step.job.task(key)
    cost = _crash_cost(key.job_id, worker, crashes) + _away_cost(report, home)
    if task is not None and task.run and task.worker == report.worker:
        cost += _FAILED_HERE_COST
    if spec.data_rack and spec.data_rack != report.rack:
        cost += _REMOTE_DATA_COST
    elif not spec.data_rack and worker.has_local_demand:
        cost += _DATA_RACK_COST
    cost += _doubtful_cost(worker)
    if spec.is_service:
        cost += _serving_cost(key, spec, worker)
    elif worker.has_target:
        cost += _BESIDE_SERVING_COST
    return cost, _leftover_cost(spec, worker), report.worker


def _doubtful_cost(worker: WorkerCapacity) -> float:
    """Return the cost of a worker on which runs fail or take long."""
    if worker.is_quarantined:
        return _QUARANTINED_COST
    return _SLOW_WORKER_COST if worker.is_slow else 0.0


def _away_cost(report: WorkerReport, home: Home) -> float:
    """Return the cost of placing a task away from its job's other tasks."""
    if home.zone and report.zone != home.zone:
        return _OTHER_ZONE_COST
    if home.racks and report.rack not in home.racks:
        return _OTHER_RACK_COST
    return 0.0


def _crash_cost(job_id: str, worker: WorkerCapacity, crashes: int) -> float:
    """Return the cost of placing suspect tasks beside others."""
    if not crashes and not worker.suspects:
        return 0.0
    cost = (
        _NOT_ISOLATED_COST
        if worker.is_closed and worker.trial_job != job_id
        else 0.0
    )
    others = len(worker.suspects - {job_id})
    beside = _SUSPECTS_TOGETHER_COST if crashes else _BESIDE_SUSPECT_COST
    cost += others * beside
    if crashes >= CRASHES_BEFORE_ISOLATION and worker.runs_other_jobs(job_id):
        cost += _NOT_ISOLATED_COST
    if crashes and worker.has_crashed_recently:
        cost += _RECENT_CRASH_COST
    return cost


def _serving_cost(
    key: TaskKey, spec: StepSpec, worker: WorkerCapacity
) -> float:
    """Return the cost of placing a serving task on a worker.

    A step's tasks are spread over at least two workers, so that it survives
    the loss of one.  Beyond that serving tasks are packed on few workers: the
    others can run batch work without disturbing them, and their VMs can move.
    """
    same_step = worker.steps[key.job_id, key.occurrence, key.step]
    if same_step >= max_tasks_per_worker(spec):
        return _CROWDED_COST + same_step
    return -min(worker.serving, 1)


def _leftover_cost(spec: StepSpec, worker: WorkerCapacity) -> float:
    """Return a tie-breaker: best fit for batch tasks, worst fit for serving."""
    if spec.is_service:
        return -worker.free.processors
    return worker.free.processors
