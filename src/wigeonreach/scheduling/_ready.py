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
from collections.abc import Collection, Iterator, Mapping
from types import MappingProxyType

from wigeonreach.jobs import JobRecord, JobStore, StepSpec, TaskPhase
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._backlog import StepWork
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling._objectives import (
    chain_s,
    estimate_s,
    objective_of,
    tasks_left,
    work_s,
)
from wigeonreach.scheduling._triage import (
    OccurrenceName,
    PendingJob,
    put_back,
)

# An occurrence counts as work to come from so long before it is due: a VM
# that is ordered then is there in time.
_AHEAD_S = 2.0
# The time of day may be off; a job that waits for longer than this is late
# whatever its age is.
_OLDEST_S = 30.0
_MS = 1000.0


# By occurrence and number of the step.
_ReadySince = dict[tuple[int, int], float]
_Occurrences = tuple[PendingJob, ...]
_NO_CAPS: Mapping[str, float] = MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedWork:
    """What a new job asks of a service."""

    service: str
    steps: tuple[StepWork, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyStep:
    """A step of one occurrence with tasks that may start.

    Attributes
    ----------
    latest_start_s
        When it has to start for its occurrence to end within its objective.
    work_s
        Processor seconds that its occurrence still needs.
    ready_s
        Since when it may start.
    """

    job: JobRecord
    occurrence: int
    step: int
    waiting: tuple[int, ...]
    due_ms: int
    latest_start_s: float
    work_s: float
    ready_s: float = 0.0

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
        # What is not done of each service's jobs, one entry an occurrence.
        self._pending: dict[str, dict[str, _Occurrences]] = {}
        self._serving: dict[str, tuple[str, int]] = {}
        # Since when each step of a job may start, by occurrence and number.
        self._since_s: dict[str, _ReadySince] = {}
        self._told: set[OccurrenceName] = set()
        self.notes: list[Note] = []

    def work(self, now_s: float) -> dict[str, list[StepWork]]:
        """Return what each service still owes, but for what is due later."""
        return {
            service: [
                step
                for pending in self._begun(service, now_s + _AHEAD_S)
                for step in pending.steps
            ]
            for service in self._pending
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
    ) -> list[AcceptedWork]:
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
        list of AcceptedWork
            For each job that is new, its first occurrence.
        """
        changed = store.changed
        store.changed = set()
        accepted: list[AcceptedWork] = []
        for job_id in changed:
            is_new = job_id not in self._accepted_s
            job = store.jobs.get(job_id)
            if is_new and job is not None:
                age_s = _age_s(job, wall_ms)
                self._accepted_s[job_id] = now_s - age_s
            self._refresh_job(store, job_id, _Clocks(now_s, wall_ms))
            if is_new:
                accepted.extend(self._work_of(job_id))
        return accepted

    def _work_of(self, job_id: str) -> list[AcceptedWork]:
        return [
            AcceptedWork(service, pending.steps)
            for service, jobs in self._pending.items()
            for pending in jobs.get(job_id, ())[:1]
        ]

    def _begun(self, service: str, until_s: float) -> Iterator[PendingJob]:
        """Yield what may begin until then and is not done."""
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
        clocks: _Clocks,
    ) -> None:
        self._forget(job_id)
        job = store.jobs.get(job_id)
        if job is None:
            self._accepted_s.pop(job_id, None)
            self._since_s.pop(job_id, None)
            self._told = {told for told in self._told if told[0] != job_id}
            return
        if not job.is_active:
            return
        begins_s = [
            clocks.begin_s(job, occurrence, self._accepted_s[job_id])
            for occurrence, _ in enumerate(job.occurrences)
        ]
        since_s = self._since_s.setdefault(job_id, {})
        left = [
            _pending(job, occurrence, begin_s)
            for occurrence, begin_s in enumerate(begins_s)
        ]
        steps = tuple(
            step
            for pending in left
            for step in _ready_steps(job, pending, since_s, clocks.now_s)
        )
        if steps:
            self._by_job[job_id] = steps
        service = store.service_of(job)
        if job.spec.is_serving:
            self._serving[job_id] = (service, _workers_for(job))
            return
        self._pending.setdefault(service, {})[job_id] = tuple(
            pending for pending in left if pending.steps
        )

    def in_order(
        self,
        now_s: float,
        wall_ms: float,
        processors: Mapping[str, float],
        caps: Mapping[str, float] = _NO_CAPS,
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
        caps
            Processors that each workspace with a cap may have.
        """
        waiting = self._put_back(now_s, processors, caps)
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
        caps: Mapping[str, float],
    ) -> set[OccurrenceName]:
        """Return what waits for others, and take note of what is new."""
        waiting = self._over_caps(now_s, caps)
        for service in self._pending:
            has = processors.get(service, 0)
            begun = list(self._begun(service, now_s))
            # What its cap keeps from being in time takes nothing from others.
            sharing = [each for each in begun if each.name not in waiting]
            found = put_back(sharing, has, now_s)
            for pending in begun:
                if pending.name in found - self._told:
                    reason = _why_put_back(pending, has, len(begun), now_s)
                    note = Note(LogEvent.JOB_PUT_BACK, pending.job_id, reason)
                    self.notes.append(note)
            self._told |= found
            waiting |= found
        return waiting

    def _over_caps(
        self,
        now_s: float,
        caps: Mapping[str, float],
    ) -> set[OccurrenceName]:
        """Return what the caps of workspaces keep from being in time."""
        capped: dict[str, list[PendingJob]] = {}
        for service in self._pending if caps else ():
            for pending in self._begun(service, now_s):
                if pending.workspace in caps:
                    capped.setdefault(pending.workspace, []).append(pending)
        return {
            name
            for workspace, jobs in capped.items()
            for name in put_back(jobs, caps[workspace], now_s)
        }


@dataclasses.dataclass(frozen=True, slots=True)
class _Clocks:
    """The steady clock and the time of day at one moment."""

    now_s: float
    wall_ms: float

    def begin_s(
        self,
        job: JobRecord,
        occurrence: int,
        accepted_s: float,
    ) -> float:
        """Return from when an occurrence may run, on the steady clock."""
        if not job.spec.is_timed:
            return accepted_s
        due_in_ms = job.spec.due_ms(occurrence) - self.wall_ms
        return max(accepted_s, self.now_s + due_in_ms / _MS)


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


def _pending(
    job: JobRecord,
    occurrence: int,
    begin_s: float,
) -> PendingJob:
    steps = tuple(
        StepWork(step, left, estimate_s(step), job.workspace)
        for number, step in enumerate(job.spec.steps)
        if (left := tasks_left(job, occurrence, number))
    )
    return PendingJob(
        job_id=job.spec.job_id,
        work_s=work_s(job, occurrence),
        due_s=begin_s + objective_of(job),
        chain_s=chain_s(job, occurrence),
        occurrence=occurrence,
        begin_s=begin_s,
        steps=steps,
        workspace=job.workspace,
    )


def _workers_for(job: JobRecord) -> int:
    """Return on how many workers a job's serving tasks should be."""
    return max(
        math.ceil(step.count / most_together(step)) for step in job.spec.steps
    )


def most_together(step: StepSpec) -> int:
    """Return how many serving tasks of a step should share a worker.

    No worker's loss takes all of a step, and two workers are enough for that:
    on a third, five tasks would keep a VM of each pool from moving.
    """
    half = math.ceil(step.count / 2)
    return min(step.spread_limit, half) if step.spread_limit else half


def _rank(
    step: ReadyStep,
    now_s: float,
    waiting: Collection[OccurrenceName],
) -> tuple[float, ...]:
    is_waiting = (step.job.spec.job_id, step.occurrence) in waiting
    is_late = is_waiting or now_s > step.latest_start_s
    urgency = step.work_s if is_late else step.latest_start_s
    return (
        float(not step.spec.is_service),
        float(is_late),
        float(step.job.queue.priority),
        urgency,
    )


def _ready_steps(
    job: JobRecord,
    pending: PendingJob,
    since_s: _ReadySince,
    now_s: float,
) -> Iterator[ReadyStep]:
    """Yield the steps of an occurrence whose turn has come.

    Since when each of them may start is kept in ``since_s``.
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
                waiting=waiting,
                due_ms=job.spec.due_ms(occurrence),
                latest_start_s=pending.due_s - pending.chain_s,
                work_s=pending.work_s,
                ready_s=since_s.setdefault((occurrence, number), ready_s),
            )
