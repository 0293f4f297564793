"""Check what callers and workers observe against the service guarantees."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobPhase, JobSpec, RunEnd, TaskKey
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import StartOrder, WorkerOrders

# Limits the report of a run that violates one invariant repeatedly.
_MAX_VIOLATIONS = 40


@dataclasses.dataclass(slots=True)
class _Job:
    """One job, as observed by its caller."""

    spec: JobSpec
    is_accepted: bool = False
    is_refused: bool = False
    is_cancelled: bool = False
    last_phase: JobPhase = JobPhase.ACTIVE


@dataclasses.dataclass(slots=True)
class _Task:
    """One task, as observed by workers."""

    failures: int = 0
    done_by: frozenset[str] = frozenset()
    is_done_acknowledged: bool = False


class InvariantChecker:
    """Record observations and report those that violate an invariant.

    Parameters
    ----------
    max_failures
        Number of failed runs of a task after which its job fails.
    """

    def __init__(self, max_failures: int) -> None:
        """Start without any observation."""
        self.violations: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._max_failures = max_failures
        self._jobs: dict[str, _Job] = {}
        self._tasks: dict[TaskKey, _Task] = collections.defaultdict(_Task)
        self._late_ends: set[tuple[str, int]] = set()
        self._version = 0

    @property
    def version(self) -> int:
        """The highest acknowledged version of the manifest."""
        return self._version

    def accepted(self) -> list[str]:
        """Return the jobs that were accepted."""
        return [name for name, job in self._jobs.items() if job.is_accepted]

    def unfinished(self) -> list[str]:
        """Return the accepted jobs that were not yet seen to have ended."""
        return [
            name
            for name, job in self._jobs.items()
            if job.is_accepted and job.last_phase is JobPhase.ACTIVE
        ]

    def note_submitted(self, spec: JobSpec) -> None:
        """Record that a job was submitted."""
        job = self._jobs.setdefault(spec.job_id, _Job(spec))
        job.is_refused = False

    def note_accepted(self, job_id: str) -> None:
        """Record that a job was accepted."""
        self.counts['accepted'] += 1
        self._jobs[job_id].is_accepted = True

    def note_refused(self, job_id: str) -> None:
        """Record a job refused at each attempt; it must not have run."""
        self.counts['refused'] += 1
        job = self._jobs[job_id]
        job.is_refused = True
        if any(key.job_id == job_id for key in self._tasks):
            self._add_violation(f'job {job_id}: refused, though it ran')

    def note_cancelled_early(self, spec: JobSpec) -> None:
        """Record a job cancelled before its submission; it must not run."""
        self.counts['cancelled early'] += 1
        self._jobs[spec.job_id] = _Job(spec, is_refused=True)

    def note_cancelled(self, job_id: str) -> None:
        """Record that a cancellation was sent."""
        self._jobs[job_id].is_cancelled = True

    def note_phase(self, job_id: str, phase: JobPhase) -> None:
        """Check a job phase that a caller has read."""
        job = self._jobs[job_id]
        if job.last_phase not in {JobPhase.ACTIVE, phase}:
            self._add_violation(
                f'job {job_id}: {job.last_phase.name} became {phase.name}'
            )
        if job.last_phase is JobPhase.ACTIVE and phase is not JobPhase.ACTIVE:
            self.counts[phase.name.lower()] += 1
            self._check_end(job, phase)
        job.last_phase = phase

    def note_unknown(self, job_id: str) -> None:
        """Check that a job reported as unknown was never accepted."""
        if self._jobs[job_id].is_accepted:
            self._add_violation(f'job {job_id}: accepted, then unknown')

    def note_version_accepted(self, version: int) -> None:
        """Record that a manifest was acknowledged."""
        self.counts['manifests'] += 1
        self._version = max(self._version, version)

    def note_version_read(self, version: int, accepted: int) -> None:
        """Check that a read returned no version older than ``accepted``."""
        if version < accepted:
            self._add_violation(
                f'manifest {version} read after {accepted} was accepted'
            )

    def note_started(
        self,
        start: StartOrder,
        worker: StandInWorker,
        others: Iterable[StandInWorker],
        now_s: float,
    ) -> None:
        """Check the start of a run, also against runs on other workers."""
        self.counts['runs'] += 1
        key = start.task
        job = self._jobs.get(key.job_id)
        if job is None or job.is_refused:
            self._add_violation(
                f'{key}: started, though its job was not accepted'
            )
            return
        self._check_task(key)
        beside = [other for other in others if other is not worker]
        for other in beside:
            if _is_running(other, key, now_s):
                self._add_violation(
                    f'{key}: on {worker.incarnation} beside {other.incarnation}'
                )
        self._check_step_order(job.spec, key)
        self._check_capacity(worker)

    def note_ended(self, key: TaskKey, worker: str, how: RunEnd) -> None:
        """Record the end of a run."""
        self.counts[f'runs {how.name.lower()}'] += 1
        task = self._tasks[key]
        if how is RunEnd.DONE:
            task.done_by |= {worker}

    def note_acknowledged(
        self,
        worker: StandInWorker,
        orders: WorkerOrders,
        now_s: float,
    ) -> None:
        """Record the ends of runs that a reply acknowledges.

        An end counts only if the worker's lease was still valid: once the
        lease expires, the leader considers the worker's runs lost.
        """
        listed = {(worker.incarnation, ended.number) for ended in worker.ended}
        if now_s > worker.lease_until_s:
            self._late_ends |= listed
        for ended in worker.ended:
            is_late = (worker.incarnation, ended.number) in self._late_ends
            if is_late or ended.number > orders.acknowledged:
                continue
            task = self._tasks[ended.task]
            task.failures += ended.end is RunEnd.FAILED
            task.is_done_acknowledged = (
                task.is_done_acknowledged or ended.end is RunEnd.DONE
            )

    def check_leftover_runs(self, running: Mapping[TaskKey, str]) -> None:
        """Check that no task of an ended job is still running."""
        for key, worker in running.items():
            job = self._jobs.get(key.job_id)
            if job is None or job.last_phase is not JobPhase.ACTIVE:
                self._add_violation(
                    f'{key}: still on {worker} after its job ended'
                )

    def _check_end(self, job: _Job, phase: JobPhase) -> None:
        name = job.spec.job_id
        if phase is JobPhase.COMPLETED:
            missing = [
                key
                for key in _task_keys(job.spec)
                if not self._tasks[key].done_by
            ]
            if missing:
                self._add_violation(f'job {name}: completed without {missing}')
        elif phase is JobPhase.CANCELLED and not job.is_cancelled:
            self._add_violation(f'job {name}: cancelled, though nobody asked')
        elif phase is JobPhase.FAILED:
            self._check_failed(job.spec)

    def _check_failed(self, spec: JobSpec) -> None:
        failures = [self._tasks[key].failures for key in _task_keys(spec)]
        # The deciding failure may be acknowledged after the phase is read.
        if max(failures) < self._max_failures - 1:
            self._add_violation(
                f'job {spec.job_id}: failed after {failures} failures'
            )

    def _check_task(self, key: TaskKey) -> None:
        task = self._tasks[key]
        if task.is_done_acknowledged:
            self._add_violation(f'{key}: started after its end was noted')
        if task.failures >= self._max_failures:
            self._add_violation(
                f'{key}: started after {task.failures} failures'
            )

    def _check_step_order(self, spec: JobSpec, key: TaskKey) -> None:
        earlier = spec.steps[key.step].after
        for before in _task_keys(spec):
            if before.step in earlier and not self._tasks[before].done_by:
                self._add_violation(f'{key}: started before {before} was done')

    def _check_capacity(self, worker: StandInWorker) -> None:
        used = sum(self._millicores(key) for key, _ in worker.running)
        if used > worker.cpu_millicores:
            self._add_violation(
                f'{worker.name}: {used} of {worker.cpu_millicores}'
            )

    def _millicores(self, key: TaskKey) -> int:
        job = self._jobs.get(key.job_id)
        return job.spec.steps[key.step].cpu_millicores if job else 0

    def _add_violation(self, what: str) -> None:
        if len(self.violations) < _MAX_VIOLATIONS:
            self.violations.append(what)


def _task_keys(spec: JobSpec) -> list[TaskKey]:
    return [
        TaskKey(spec.job_id, 0, number, index)
        for number, step in enumerate(spec.steps)
        for index in range(step.count)
    ]


def _is_running(worker: StandInWorker, key: TaskKey, now_s: float) -> bool:
    is_leased = now_s <= worker.lease_until_s
    return is_leased and any(running == key for running, _ in worker.running)
