"""Assign the tasks that may start to workers."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Sequence

from wigeonreach._resources import Resources
from wigeonreach.jobs import JobStore, Run, RunStarted, TaskKey
from wigeonreach.scheduling._ready import ReadyStep
from wigeonreach.scheduling._suspects import Isolation, Suspects
from wigeonreach.scheduling.placing._advice import TicketCache
from wigeonreach.scheduling.placing._avoided_workers import AvoidedWorkers
from wigeonreach.scheduling.placing._choosing import WorkerRanking, best_worker
from wigeonreach.scheduling.placing._home_zones import Home, HomeZones
from wigeonreach.scheduling.placing._locality import (
    DataLocality,
    fits_all_tasks,
)
from wigeonreach.scheduling.placing._preemption import (
    Preemption,
    plan_preemption,
)
from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity
from wigeonreach.scheduling.sharing import CapPlan

# Share of a pool's workers that may be reserved for isolated tasks.
_MAX_CLOSED_RATIO = 0.34


@dataclasses.dataclass(frozen=True, slots=True)
class TermTrackers:
    """What a leader keeps from one plan to the next.

    Attributes
    ----------
    advice
        Tickets for the queues that require them.
    homes
        The zones in which jobs should run.
    avoided
        The workers that tasks avoid, and the tasks that wait for others.
    """

    advice: TicketCache
    homes: HomeZones
    avoided: AvoidedWorkers


class Plan:
    """Task starts that are decided together, on the current capacity.

    Parameters
    ----------
    store
        The accepted jobs and where their tasks run.
    workers
        The workers that accept tasks, by service.
    trackers
        What the leader keeps from one plan to the next.
    locality
        Decides which steps wait for capacity near their data.
    suspects
        The tasks that may crash their workers.
    caps
        What the workspaces may still start.
    now_s
        Clock in seconds.
    """

    def __init__(
        self,
        store: JobStore,
        workers: dict[str, list[WorkerCapacity]],
        trackers: TermTrackers,
        locality: DataLocality,
        suspects: Suspects,
        caps: CapPlan,
        now_s: float,
    ) -> None:
        """Start with an empty plan."""
        self._advice = trackers.advice
        self._homes = trackers.homes
        self._avoided = trackers.avoided
        self._caps = caps
        self._locality = locality
        self._suspects = suspects
        self._store = store
        self._workers = workers
        self._now_s = now_s
        self.starts: list[RunStarted] = []
        self.unplaced: list[ReadyStep] = []
        # Requests that fit on no worker of a service.
        self._unplaceable: dict[str, list[Resources]] = {}

    def place(self, steps: Sequence[ReadyStep]) -> None:
        """Place the tasks of steps, in the given order."""
        self._mark_data_racks(steps)
        self._reserve_trial_workers(steps)
        for step in steps:
            if not self._caps.allows(step.job, step.spec):
                # Blocked by its cap, so more capacity would not help.
                continue
            workers = self._candidate_workers(step)
            if step.spec.is_gang:
                is_placed = self._place_gang(step, workers)
            else:
                is_placed = self._place_tasks(step, workers)
            if not is_placed:
                self.unplaced.append(step)

    def preempt(
        self, stopping: set[Run], vm_resources: Resources
    ) -> Preemption:
        """Choose batch runs to preempt for unplaced serving tasks.

        Parameters
        ----------
        stopping
            Runs that are being stopped already; their capacity is counted on.
        vm_resources
            Capacity of one VM.
        """
        return plan_preemption(
            self.unplaced,
            self._workers,
            self._store,
            stopping,
            vm_resources,
        )

    def _mark_data_racks(self, steps: Iterable[ReadyStep]) -> None:
        """Mark the workers on racks that hold the data of some step."""
        data_racks = {
            (self._service_of(step), step.spec.data_rack) for step in steps
        }
        for service, workers in self._workers.items():
            for worker in workers:
                rack = worker.incarnation.report.rack
                worker.has_local_demand = (service, rack) in data_racks

    def _reserve_trial_workers(self, steps: Iterable[ReadyStep]) -> None:
        """Reserve workers for the tasks that have to run alone.

        Tasks with the fewest crashes come first: most of the tasks that do not
        cause crashes are among them.
        """
        if not self._suspects.may_isolate:
            return
        trials = [
            (crashes, step)
            for step in steps
            if not step.spec.is_gang
            and (crashes := self._crashes_before_trial(step))
        ]
        trials.sort(key=lambda trial: trial[0])
        for _, step in trials:
            pool = self._pool_of(step)
            reserve_for_trial(step, self._candidate_workers(step), pool)

    def _crashes_before_trial(self, step: ReadyStep) -> int:
        """Return the fewest crashes among tasks that must run alone, or 0."""
        tasks = step.job.occurrences[step.occurrence][step.step]
        return min(
            (
                tasks[index].crash_count
                for index in step.waiting_tasks
                if tasks[index].crashes
                and self._isolation_of(step, _task_key(step, index))
                is Isolation.FROM_ALL
            ),
            default=0,
        )

    def _candidate_workers(self, step: ReadyStep) -> Sequence[WorkerCapacity]:
        """Return the workers that may run tasks of a step now."""
        workers: Sequence[WorkerCapacity]
        workers = self._avoided.candidates(step)
        workers = self._locality.nearby_workers(step, workers)
        policy = self._store.advice_of(step.job)
        if policy is not None:
            workers = self._advice.workers_with_ticket(
                step, workers, policy, self._now_s
            )
        if step.spec.is_rack_local:
            workers = self._locality.single_rack_workers(step, workers)
        return workers

    def _place_tasks(
        self,
        step: ReadyStep,
        workers: Sequence[WorkerCapacity],
    ) -> bool:
        waiting = self._startable(step)
        ranking = self._ranking(step, workers)
        if ranking is None:
            self._locality.add_queued(step, len(waiting))
            return not waiting
        is_placed = True
        for placed, index in enumerate(waiting):
            key = _task_key(step, index)
            isolation = self._isolation_of(step, key)
            worker = self._choose(step, key, isolation, ranking)
            if worker is None and isolation is Isolation.FROM_NOTHING:
                self._locality.add_queued(step, len(waiting) - placed)
                return False
            if worker is None or self._avoided.must_wait(step, key, worker):
                is_placed = False
                continue
            self._start(step, key, worker, _next_run(step, index))
        return is_placed

    def _choose(
        self,
        step: ReadyStep,
        key: TaskKey,
        isolation: Isolation,
        ranking: WorkerRanking,
    ) -> WorkerCapacity | None:
        best = ranking.best(key, isolation)
        if best is not None:
            return best
        return self._avoided.only_worker(step, key, isolation, ranking.workers)

    def _startable(self, step: ReadyStep) -> list[int]:
        """Return the tasks of a step that may start, given enough capacity."""
        waiting = [
            index
            for index in step.waiting_tasks
            if not self._must_wait(step, _task_key(step, index))
        ]
        allowed = self._caps.startable_count(step.job, step.spec, len(waiting))
        return waiting[:allowed]

    def _ranking(
        self,
        step: ReadyStep,
        workers: Sequence[WorkerCapacity],
    ) -> WorkerRanking | None:
        """Return the ranked workers for a step, or None if none fits.

        Capacity only shrinks during planning.  In a full pool most steps need
        no look at the workers, because a smaller task did not fit before.
        """
        need = step.spec.resources
        pool = self._pool_of(step)
        unplaceable = self._unplaceable.setdefault(self._service_of(step), [])
        if any(need.covers(request) for request in unplaceable):
            if workers is pool or not _include_quarantined(workers):
                return None
        ranking = WorkerRanking(
            step, workers, self._homes.home_of(step, workers)
        )
        if ranking.has_workers:
            return ranking
        if workers is pool:
            unplaceable.append(need)
        return None

    def _service_of(self, step: ReadyStep) -> str:
        return self._store.service_of(step.job)

    def _pool_of(self, step: ReadyStep) -> Sequence[WorkerCapacity]:
        return self._workers.get(self._service_of(step), ())

    def _place_gang(
        self,
        step: ReadyStep,
        workers: Sequence[WorkerCapacity],
    ) -> bool:
        # A gang starts as a whole; members that wait for others would occupy
        # capacity without working.
        if len(step.waiting_tasks) < step.spec.count:
            return False
        if any(
            self._must_wait(step, _task_key(step, at))
            for at in step.waiting_tasks
        ):
            return True
        home = self._homes.home_of(step, workers)
        chosen = _fit_gang(step, workers, home)
        if chosen is None:
            self._locality.add_queued(step, len(step.waiting_tasks))
            return False
        if self._must_avoid(step, chosen):
            return False
        run = max(_next_run(step, index) for index in step.waiting_tasks)
        for key, worker in chosen:
            self._start(step, key, worker, run)
        return True

    def _must_avoid(
        self,
        step: ReadyStep,
        chosen: Iterable[tuple[TaskKey, WorkerCapacity]],
    ) -> bool:
        """Whether a gang waits, as quarantined workers were chosen for it."""
        # The waits of all members begin together.
        waits = [
            self._avoided.must_wait(step, key, worker)
            for key, worker in chosen
            if worker.is_quarantined
        ]
        return any(waits)

    def _start(
        self,
        step: ReadyStep,
        key: TaskKey,
        worker: WorkerCapacity,
        run: int,
    ) -> None:
        worker.add(key, step.spec)
        self._caps.add_start(step.job, step.spec.amounts)
        task = step.job.task(key)
        if task is not None and task.crash_count:
            self._note_suspect(step, worker, task.crash_count)
        report = worker.incarnation.report
        self._homes.count_start(key, report.zone)
        vm = report.vm_or_address
        self.starts.append(RunStarted(key, run, report.worker, vm))

    def _must_wait(self, step: ReadyStep, key: TaskKey) -> bool:
        task = step.job.task(key)
        return task is not None and self._suspects.must_wait(
            key, task, step.spec.is_service
        )

    def _isolation_of(self, step: ReadyStep, key: TaskKey) -> Isolation:
        """Return a task's isolation; serving tasks are never isolated."""
        task = step.job.task(key)
        if task is None or step.spec.is_service:
            return Isolation.FROM_NOTHING
        return self._suspects.isolation_of(key, task)

    def _note_suspect(
        self,
        step: ReadyStep,
        worker: WorkerCapacity,
        crashes: int,
    ) -> None:
        worker.add_suspect(step.job.spec.job_id, crashes)
        close_trial_workers(self._workers[self._service_of(step)])


def reserve_for_trial(
    step: ReadyStep,
    workers: Sequence[WorkerCapacity],
    pool: Sequence[WorkerCapacity],
) -> None:
    """Reserve the emptiest worker for a task that has to run alone.

    Parameters
    ----------
    step
        The step that the task belongs to.
    workers
        The workers that may run the task.
    pool
        All workers of its service.
    """
    job_id = step.job.spec.job_id
    trials = [worker for worker in pool if worker.trial_job]
    if len(trials) >= _max_closed(pool):
        return
    if any(worker.trial_job == job_id for worker in trials):
        return
    emptiest = min(
        (worker for worker in workers if worker.can_host_trial(step.spec)),
        key=lambda worker: (sum(worker.steps.values()), worker.name),
        default=None,
    )
    if emptiest is not None:
        emptiest.trial_job = job_id
        close_trial_workers(pool)


def close_trial_workers(workers: Sequence[WorkerCapacity]) -> None:
    """Close reserved workers to the tasks of other jobs.

    Most of a pool stays open.  With many isolated tasks at once, those without
    a worker of their own wait for a while and then run beside others.
    """
    trials = [worker for worker in workers if worker.trial_job]
    trials.sort(key=lambda worker: worker.runs_other_jobs(worker.trial_job))
    allowed = _max_closed(workers)
    for number, worker in enumerate(trials):
        worker.is_closed = number < allowed


def _max_closed(workers: Sequence[WorkerCapacity]) -> int:
    return max(int(len(workers) * _MAX_CLOSED_RATIO), 1)


def _fit_gang(
    step: ReadyStep,
    workers: Sequence[WorkerCapacity],
    home: Home,
) -> list[tuple[TaskKey, WorkerCapacity]] | None:
    """Return a worker for each task of a gang, or None if it does not fit."""
    if not fits_all_tasks(step, workers):
        # This cheap check rules out most gangs that don't fit.
        return None
    copies = [
        dataclasses.replace(worker, steps=worker.steps.copy())
        for worker in workers
    ]
    originals = dict(zip(map(id, copies), workers, strict=True))
    chosen: list[tuple[TaskKey, WorkerCapacity]] = []
    for index in step.waiting_tasks:
        key = _task_key(step, index)
        task = step.job.task(key)
        crashes = task.crash_count if task else 0
        worker = best_worker(step, key, copies, crashes, home)
        if worker is None:
            return None
        worker.add(key, step.spec)
        chosen.append((key, originals[id(worker)]))
    return chosen


def _include_quarantined(workers: Iterable[WorkerCapacity]) -> bool:
    return any(worker.is_quarantined for worker in workers)


def _task_key(step: ReadyStep, index: int) -> TaskKey:
    return TaskKey(step.job.spec.job_id, step.occurrence, step.step, index)


def _next_run(step: ReadyStep, index: int) -> int:
    task = step.job.task(_task_key(step, index))
    return task.run + 1 if task else 1
