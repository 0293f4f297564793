"""Find the steps that may start, and sort them by priority.

Load comes in short peaks: for some seconds a queue asks for several times
what its pool can run, and for little in between.  Serving steps go first.
Among these, and among the others, steps that can still finish within their
objective precede those that can't and those deferred in favor of others.  Each
of these groups is sorted by the priority of the queue, then by least laxity or,
for late and deferred steps, by the remaining work of the occurrence.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Iterator, Mapping
from types import MappingProxyType

from wigeonreach.jobs import JobRecord, JobStore, StepSpec, TaskPhase
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._backlog import StepWork
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._objectives import (
    critical_path_s,
    objective_s,
    remaining_work_s,
    task_estimate_s,
    unfinished_tasks,
)
from wigeonreach.scheduling.shortage._triage import (
    OccurrenceId,
    PendingOccurrence,
    deferred_occurrences,
)

# An occurrence counts as work this long before it is due, so that a VM ordered
# at that moment arrives in time.
_LOOKAHEAD_S = 2.0
# Limits the effect of a wrong wall clock; a job that has waited for longer than
# this is late whatever its exact age.
_MAX_AGE_S = 30.0
_MS_PER_S = 1000.0


# When each step became ready, by occurrence and step number.
_ReadySince = dict[tuple[int, int], float]
_PendingOccurrences = tuple[PendingOccurrence, ...]
_NO_LIMITS: Mapping[str, float] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedWork:
    """The work that a new job brings to a service."""

    service: str
    steps: tuple[StepWork, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyStep:
    """A step of one occurrence with tasks that may start.

    Attributes
    ----------
    job, occurrence, step
        The job, the number of its occurrence and the number of the step.
    waiting
        Indices of the tasks that have not started.
    due_ms
        Wall clock time from which the occurrence may run.
    latest_start_s
        When it has to start for its occurrence to end within its objective.
    work_s
        Processor seconds that its occurrence still needs.
    ready_since_s
        When it became ready to start.
    """

    job: JobRecord
    occurrence: int
    step: int
    waiting_tasks: tuple[int, ...]
    due_ms: int
    latest_start_s: float
    work_s: float
    ready_since_s: float = 0.0

    @property
    def spec(self) -> StepSpec:
        """The specification of the step."""
        return self.job.spec.steps[self.step]


class ReadySteps:
    """The steps that may start, updated incrementally per changed job.

    Attributes
    ----------
    notes
        Notes on deferred occurrences that are still to be logged.  There is one
        note per occurrence, even if it is deferred again.
    """

    def __init__(self) -> None:
        """Start without any jobs."""
        self._by_job: dict[str, tuple[ReadyStep, ...]] = {}
        self._accepted_s: dict[str, float] = {}
        # Unfinished occurrences of each job, by service and job id.
        self._pending: dict[str, dict[str, _PendingOccurrences]] = {}
        self._serving: dict[str, tuple[str, int]] = {}
        # When each step of a job became ready, by job id.
        self._ready_since_s: dict[str, _ReadySince] = {}
        self._reported_deferrals: set[OccurrenceId] = set()
        self.notes: list[LogNote] = []

    def pending_work(self, now_s: float) -> list[PendingOccurrence]:
        """Return the work of all queues that may begin within the lookahead."""
        return [
            pending
            for service in self._pending
            for pending in self._startable_by(service, now_s + _LOOKAHEAD_S)
        ]

    def serving_workers(self) -> dict[str, int]:
        """Return how many workers the serving tasks of each service need."""
        needed: dict[str, int] = {}
        for service, workers in self._serving.values():
            needed[service] = max(needed.get(service, 0), workers)
        return needed

    def accepted_s(self, job_id: str) -> float | None:
        """Return when a job was accepted, or None if it is unknown."""
        return self._accepted_s.get(job_id)

    def refresh(
        self,
        store: JobStore,
        now_s: float,
        wall_ms: float,
    ) -> list[AcceptedWork]:
        """Update the steps of the jobs that changed.

        Parameters
        ----------
        store
            The replicated state.
        now_s
            Clock in seconds.
        wall_ms
            Wall clock in milliseconds.

        Returns
        -------
        list of AcceptedWork
            The first occurrence of each new job.
        """
        changed = store.changed_jobs
        store.changed_jobs = set()
        accepted: list[AcceptedWork] = []
        # The order of a set differs from process to process.
        for job_id in sorted(changed):
            is_new = job_id not in self._accepted_s
            job = store.jobs.get(job_id)
            if is_new and job is not None:
                age_s = _age_s(job, wall_ms)
                self._accepted_s[job_id] = now_s - age_s
            self._refresh_job(store, job_id, _ClockReadings(now_s, wall_ms))
            if is_new:
                accepted.extend(self._first_occurrence_of(job_id))
        return accepted

    def _first_occurrence_of(self, job_id: str) -> list[AcceptedWork]:
        return [
            AcceptedWork(service, pending.steps)
            for service, jobs in self._pending.items()
            for pending in jobs.get(job_id, ())[:1]
        ]

    def _startable_by(
        self, service: str, until_s: float
    ) -> Iterator[PendingOccurrence]:
        """Yield the unfinished occurrences that may run by a given time."""
        for occurrences in self._pending.get(service, {}).values():
            for pending in occurrences:
                if pending.begin_s <= until_s:
                    yield pending

    def _forget(self, job_id: str) -> None:
        self._by_job.pop(job_id, None)
        self._serving.pop(job_id, None)
        for jobs in self._pending.values():
            jobs.pop(job_id, None)

    def _refresh_job(
        self,
        store: JobStore,
        job_id: str,
        clocks: _ClockReadings,
    ) -> None:
        self._forget(job_id)
        job = store.jobs.get(job_id)
        if job is None:
            self._accepted_s.pop(job_id, None)
            self._ready_since_s.pop(job_id, None)
            self._reported_deferrals = {
                deferral
                for deferral in self._reported_deferrals
                if deferral[0] != job_id
            }
            return
        if not job.is_active:
            return
        begins_s = [
            clocks.begin_s(job, occurrence, self._accepted_s[job_id])
            for occurrence, _ in enumerate(job.occurrences)
        ]
        since_s = self._ready_since_s.setdefault(job_id, {})
        service = store.service_of(job)
        unfinished = [
            _pending_occurrence(job, service, occurrence, begin_s)
            for occurrence, begin_s in enumerate(begins_s)
        ]
        steps = tuple(
            step
            for pending in unfinished
            for step in _ready_steps(job, pending, since_s, clocks.now_s)
        )
        if steps:
            self._by_job[job_id] = steps
        if job.spec.is_serving:
            self._serving[job_id] = (service, _serving_workers_needed(job))
            return
        self._pending.setdefault(service, {})[job_id] = tuple(
            pending for pending in unfinished if pending.steps
        )

    def by_priority(
        self,
        now_s: float,
        wall_ms: float,
        processors: Mapping[str, float],
        caps: Mapping[str, float] = _NO_LIMITS,
        weights: Mapping[str, float] = _NO_LIMITS,
    ) -> list[ReadyStep]:
        """Return the steps that are due, highest priority first.

        Parameters
        ----------
        now_s
            Clock in seconds.
        wall_ms
            Wall clock in milliseconds.
        processors
            Processors that each service has now.
        caps
            Processors that each workspace with a cap may use.
        weights
            Weights of the workspaces that share a full pool by them.
        """
        deferred = self._deferred(now_s, processors, caps, weights)
        due = [
            step
            for steps in self._by_job.values()
            for step in steps
            if step.due_ms <= wall_ms
        ]
        due.sort(key=lambda step: _sort_key(step, now_s, deferred))
        return due

    def _deferred(
        self,
        now_s: float,
        processors: Mapping[str, float],
        caps: Mapping[str, float],
        weights: Mapping[str, float],
    ) -> set[OccurrenceId]:
        """Return the deferred occurrences, and note those deferred newly."""
        deferred = self._deferred_by_caps(now_s, caps)
        for service in self._pending:
            available = processors.get(service, 0)
            startable = list(self._startable_by(service, now_s))
            # An occurrence that is deferred by its workspace's cap is left out
            # when the processors of the pool are shared out.
            competing = [
                occurrence
                for occurrence in startable
                if occurrence.occurrence_id not in deferred
            ]
            pool_deferred = deferred_occurrences(
                competing, available, now_s, weights
            )
            for pending in startable:
                if (
                    pending.occurrence_id
                    in pool_deferred - self._reported_deferrals
                ):
                    reason = _deferral_reason(
                        pending, available, len(startable), now_s
                    )
                    note = LogNote(
                        LogEvent.JOB_PUT_BACK, pending.job_id, reason
                    )
                    self.notes.append(note)
            self._reported_deferrals |= pool_deferred
            deferred |= pool_deferred
        return deferred

    def _deferred_by_caps(
        self,
        now_s: float,
        caps: Mapping[str, float],
    ) -> set[OccurrenceId]:
        """Return the occurrences that a workspace cap makes late."""
        capped: dict[str, list[PendingOccurrence]] = {}
        for service in self._pending if caps else ():
            for pending in self._startable_by(service, now_s):
                if pending.workspace in caps:
                    capped.setdefault(pending.workspace, []).append(pending)
        return {
            occurrence_id
            for workspace, jobs in capped.items()
            for occurrence_id in deferred_occurrences(
                jobs, caps[workspace], now_s
            )
        }


@dataclasses.dataclass(frozen=True, slots=True)
class _ClockReadings:
    """The monotonic clock and the wall clock, read at the same moment."""

    now_s: float
    wall_ms: float

    def begin_s(
        self,
        job: JobRecord,
        occurrence: int,
        accepted_s: float,
    ) -> float:
        """Return when an occurrence may start, on the monotonic clock."""
        if not job.spec.is_timed:
            return accepted_s
        due_in_ms = job.spec.due_ms(occurrence) - self.wall_ms
        return max(accepted_s, self.now_s + due_in_ms / _MS_PER_S)


def _age_s(job: JobRecord, wall_ms: float) -> float:
    """Return how long a job has waited, 0 if that is unknown."""
    if not job.accepted_ms:
        return 0
    return min(max((wall_ms - job.accepted_ms) / _MS_PER_S, 0), _MAX_AGE_S)


def _deferral_reason(
    pending: PendingOccurrence,
    processors: float,
    jobs: int,
    now_s: float,
) -> str:
    return (
        f'needs {pending.work_s:.1f} processor seconds, {jobs} jobs share'
        f' {processors:.0f} processors, due in {pending.due_s - now_s:.2f} s'
    )


def _pending_occurrence(
    job: JobRecord,
    service: str,
    occurrence: int,
    begin_s: float,
) -> PendingOccurrence:
    steps = tuple(
        StepWork(step, tasks, task_estimate_s(step), job.workspace)
        for number, step in enumerate(job.spec.steps)
        if (tasks := unfinished_tasks(job, occurrence, number))
    )
    return PendingOccurrence(
        job_id=job.spec.job_id,
        work_s=remaining_work_s(job, occurrence),
        due_s=begin_s + objective_s(job),
        critical_path_s=critical_path_s(job, occurrence),
        occurrence=occurrence,
        begin_s=begin_s,
        steps=steps,
        workspace=job.workspace,
        service=service,
    )


def _serving_workers_needed(job: JobRecord) -> int:
    """Return on how many workers a job's serving tasks should run."""
    return max(
        math.ceil(step.count / max_tasks_per_worker(step))
        for step in job.spec.steps
    )


def max_tasks_per_worker(step: StepSpec) -> int:
    """Return how many serving tasks of a step should share a worker.

    Two workers are enough for a step to survive the loss of one.  If five
    tasks, say, were spread over three workers, one more VM of each pool could
    not move.
    """
    half = math.ceil(step.count / 2)
    return min(step.spread_limit, half) if step.spread_limit else half


def _sort_key(
    step: ReadyStep,
    now_s: float,
    deferred: Collection[OccurrenceId],
) -> tuple[float, float, float, float, tuple[str, int, int]]:
    is_deferred = (step.job.spec.job_id, step.occurrence) in deferred
    is_late = is_deferred or now_s > step.latest_start_s
    urgency = step.work_s if is_late else step.latest_start_s
    return (
        float(not step.spec.is_service),
        float(is_late),
        float(step.job.queue.priority),
        urgency,
        # Leaders that learned of the steps in another order decide the same.
        (step.job.spec.job_id, step.occurrence, step.step),
    )


def _ready_steps(
    job: JobRecord,
    pending: PendingOccurrence,
    since_s: _ReadySince,
    now_s: float,
) -> Iterator[ReadyStep]:
    """Yield the steps of an occurrence that may start.

    Records in ``since_s`` when each of them became ready.
    """
    occurrence = pending.occurrence
    ready_s = max(pending.begin_s, now_s)
    for number, tasks in enumerate(job.occurrences[occurrence]):
        waiting = tuple(
            index
            for index, task in enumerate(tasks)
            if task.phase is TaskPhase.WAITING
        )
        if waiting and job.may_start(occurrence, number):
            yield ReadyStep(
                job=job,
                occurrence=occurrence,
                step=number,
                waiting_tasks=waiting,
                due_ms=job.spec.due_ms(occurrence),
                latest_start_s=pending.due_s - pending.critical_path_s,
                work_s=pending.work_s,
                ready_since_s=since_s.setdefault((occurrence, number), ready_s),
            )
