"""Find the steps that may start, and put them into the order of service.

Answers the load pattern of short peaks: a queue asks for several times what
its pool holds for some seconds and for little in between.  What can still be
finished within its objective goes first, by least laxity; what can't, and what
is put back so that others can, is done in the order of the work that it still
needs.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from wigeonreach.jobs import JobRecord, JobStore, StepSpec, TaskPhase
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling._triage import PendingJob, put_back

# Where a team gave no estimate.
_UNKNOWN_ESTIMATE_MS = 1000
# The time of day may be off; a job that waits for longer than this is late
# whatever its age is.
_OLDEST_S = 30.0
_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyStep:
    """A step of one occurrence with tasks that may start.

    Attributes
    ----------
    latest_start_s
        When it has to start for its job to end within its objective.
    work_s
        Processor seconds that its job still needs.
    """

    job: JobRecord
    occurrence: int
    step: int
    waiting: tuple[int, ...]
    due_ms: int
    latest_start_s: float
    work_s: float

    @property
    def spec(self) -> StepSpec:
        """What its tasks need."""
        return self.job.spec.steps[self.step]


class ReadySteps:
    """The steps that may start, kept up to date job by job.

    Attributes
    ----------
    notes
        Jobs that were put back for the first time, not logged yet.
    """

    def __init__(self) -> None:
        """Know no job."""
        self._by_job: dict[str, tuple[ReadyStep, ...]] = {}
        self._accepted_s: dict[str, float] = {}
        self._pending: dict[str, dict[str, PendingJob]] = {}
        self._serving: dict[str, tuple[str, int]] = {}
        self._told: set[str] = set()
        self.notes: list[Note] = []

    def backlog(self) -> dict[str, float]:
        """Return the processor seconds that each service still owes."""
        return {
            service: sum(pending.work_s for pending in jobs.values())
            for service, jobs in self._pending.items()
        }

    def serving(self) -> dict[str, int]:
        """Return how many workers the serving tasks of each service need."""
        needed: dict[str, int] = {}
        for service, workers in self._serving.values():
            needed[service] = max(needed.get(service, 0), workers)
        return needed

    def accepted_s(self, job_id: str) -> float | None:
        """Return when a job was first seen here."""
        return self._accepted_s.get(job_id)

    def refresh(
        self,
        store: JobStore,
        now_s: float,
        wall_ms: float,
    ) -> list[tuple[str, float]]:
        """Look again at the jobs that changed.

        Parameters
        ----------
        store
            The replicated state.
        now_s
            Clock in seconds.
        wall_ms
            Time of day.

        Returns
        -------
        list of tuple
            For each job that is new, its service and its processor seconds.
        """
        changed = store.changed
        store.changed = set()
        accepted: list[tuple[str, float]] = []
        for job_id in changed:
            is_new = job_id not in self._accepted_s
            job = store.jobs.get(job_id)
            if is_new and job is not None:
                age_s = _age_s(job, wall_ms)
                self._accepted_s[job_id] = now_s - age_s
            self._refresh_job(store, job_id)
            if is_new:
                accepted.extend(self._work_of(job_id))
        return accepted

    def _work_of(self, job_id: str) -> list[tuple[str, float]]:
        return [
            (service, jobs[job_id].work_s)
            for service, jobs in self._pending.items()
            if job_id in jobs
        ]

    def _forget(self, job_id: str) -> None:
        self._by_job.pop(job_id, None)
        self._serving.pop(job_id, None)
        for jobs in self._pending.values():
            jobs.pop(job_id, None)

    def _refresh_job(self, store: JobStore, job_id: str) -> None:
        self._forget(job_id)
        job = store.jobs.get(job_id)
        if job is None:
            self._accepted_s.pop(job_id, None)
            self._told.discard(job_id)
            return
        accepted_s = self._accepted_s[job_id]
        if not job.is_active:
            return
        steps = _ready_steps(job, accepted_s)
        if steps:
            self._by_job[job_id] = steps
        service = store.service_of(job)
        if any(step.is_service for step in job.spec.steps):
            self._serving[job_id] = (service, _workers_for(job))
        else:
            pending = _pending(job, accepted_s)
            self._pending.setdefault(service, {})[job_id] = pending

    def in_order(
        self,
        now_s: float,
        wall_ms: float,
        processors: Mapping[str, float],
    ) -> list[ReadyStep]:
        """Return the steps that are due, those to be served first in front.

        Parameters
        ----------
        now_s
            Clock in seconds.
        wall_ms
            Time of day.
        processors
            That each service has now.
        """
        waiting = self._put_back(now_s, processors)
        due = [
            step
            for steps in self._by_job.values()
            for step in steps
            if step.due_ms <= wall_ms
        ]
        due.sort(key=lambda step: _rank(step, now_s, waiting))
        return due

    def _put_back(
        self,
        now_s: float,
        processors: Mapping[str, float],
    ) -> set[str]:
        """Return the jobs that wait for others, and take note of new ones."""
        waiting: set[str] = set()
        for service, jobs in self._pending.items():
            has = processors.get(service, 0)
            found = put_back(jobs.values(), has, now_s)
            for job_id in found - self._told:
                reason = _why_put_back(jobs[job_id], has, len(jobs), now_s)
                self.notes.append(Note(LogEvent.JOB_PUT_BACK, job_id, reason))
            self._told |= found
            waiting |= found
        return waiting


def _age_s(job: JobRecord, wall_ms: float) -> float:
    """Return for how long a job has waited, as far as is known."""
    if not job.accepted_ms:
        return 0
    return min(max((wall_ms - job.accepted_ms) / _MS, 0), _OLDEST_S)


def _why_put_back(
    pending: PendingJob,
    processors: float,
    jobs: int,
    now_s: float,
) -> str:
    return (
        f'needs {pending.work_s:.1f} processor seconds, {jobs} jobs share'
        f' {processors:.0f} processors, due in {pending.due_s - now_s:.2f} s'
    )


def _pending(job: JobRecord, accepted_s: float) -> PendingJob:
    # Occurrences of a timed job are due each at their own time.
    due_s = accepted_s + objective_of(job)
    return PendingJob(
        job.spec.job_id,
        _work_s(job),
        math.inf if job.spec.is_timed else due_s,
        chain_s(job),
    )


def _workers_for(job: JobRecord) -> int:
    """Return on how many workers a job's serving tasks should be."""
    return max(
        math.ceil(step.count / most_together(step)) for step in job.spec.steps
    )


def most_together(step: StepSpec) -> int:
    """Return how many serving tasks of a step should share a worker.

    The loss of one worker must leave a step half of its tasks.
    """
    half = max(step.count // 2, 1)
    return min(step.spread_limit, half) if step.spread_limit else half


def _rank(
    step: ReadyStep,
    now_s: float,
    waiting: Collection[str],
) -> tuple[float, ...]:
    is_waiting = step.job.spec.job_id in waiting
    is_late = is_waiting or now_s > step.latest_start_s
    urgency = step.work_s if is_late else step.latest_start_s
    return (
        float(not step.spec.is_service),
        float(is_late),
        float(step.job.queue.priority),
        urgency,
    )


def _ready_steps(job: JobRecord, accepted_s: float) -> tuple[ReadyStep, ...]:
    remaining_s = chain_s(job)
    objective_s = objective_of(job)
    work_s = _work_s(job)
    found: list[ReadyStep] = []
    for occurrence, steps in enumerate(job.occurrences):
        for number, tasks in enumerate(steps):
            waiting = tuple(
                index
                for index, task in enumerate(tasks)
                if task.phase is TaskPhase.WAITING
            )
            if waiting and job.may_start(occurrence, number):
                found.append(
                    ReadyStep(
                        job=job,
                        occurrence=occurrence,
                        step=number,
                        waiting=waiting,
                        due_ms=job.spec.due_ms(occurrence),
                        latest_start_s=accepted_s + objective_s - remaining_s,
                        work_s=work_s,
                    ),
                )
    return tuple(found)


def objective_of(job: JobRecord) -> float:
    """Return within how many seconds a job is of full use."""
    whole_s = _longest_s(job.spec.steps, _estimates_s(job, whole=True))
    queue = job.queue
    return queue.slack_factor * whole_s + queue.target_latency_ms / _MS


def chain_s(job: JobRecord) -> float:
    """Return the longest chain of work that is left, in seconds."""
    return _longest_s(job.spec.steps, _estimates_s(job, whole=False))


def _estimates_s(job: JobRecord, whole: bool) -> list[float]:
    return [
        (step.estimate_ms or _UNKNOWN_ESTIMATE_MS) / _MS
        if whole or not _is_done_everywhere(job, number)
        else 0
        for number, step in enumerate(job.spec.steps)
    ]


def _is_done_everywhere(job: JobRecord, step: int) -> bool:
    return all(
        job.is_step_done(occurrence, step)
        for occurrence in range(len(job.occurrences))
    )


def _longest_s(
    steps: Iterable[StepSpec],
    durations_s: list[float],
) -> float:
    ends_s: list[float] = []
    for step, duration_s in zip(steps, durations_s, strict=True):
        begin_s = max((ends_s[earlier] for earlier in step.after), default=0)
        ends_s.append(begin_s + duration_s)
    return max(ends_s, default=0)


def _work_s(job: JobRecord) -> float:
    return sum(
        step.room.processors
        * (step.estimate_ms or _UNKNOWN_ESTIMATE_MS)
        / _MS
        * sum(task.phase is not TaskPhase.DONE for task in steps[number])
        for steps in job.occurrences
        for number, step in enumerate(job.spec.steps)
    )
