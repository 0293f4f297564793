"""Check what callers and workers see against what is promised."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobPhase, JobSpec, RunEnd, TaskKey
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import StartOrder, WorkerOrders

# Reports of a run that breaks one promise over and over stay short.
_MOST_TOLD = 40


@dataclasses.dataclass(slots=True)
class _Job:
    """One job, as its caller knows it."""

    spec: JobSpec
    is_accepted: bool = False
    is_refused: bool = False
    is_cancelled: bool = False
    shown: JobPhase = JobPhase.ACTIVE


@dataclasses.dataclass(slots=True)
class _Task:
    """One task, as workers know it."""

    failures: int = 0
    done_by: frozenset[str] = frozenset()
    is_noted: bool = False


class Promises:
    """What was promised so far, and what was broken.

    Parameters
    ----------
    max_failures
        Failed runs of a task that end its job.
    """

    def __init__(self, max_failures: int) -> None:
        """Have been promised nothing."""
        self.broken: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._max_failures = max_failures
        self._jobs: dict[str, _Job] = {}
        self._tasks: dict[TaskKey, _Task] = collections.defaultdict(_Task)
        self._too_late: set[tuple[str, int]] = set()
        self._version = 0

    @property
    def version(self) -> int:
        """The newest version of the manifest that was acknowledged."""
        return self._version

    def accepted(self) -> list[str]:
        """Return the jobs that were accepted."""
        return [name for name, job in self._jobs.items() if job.is_accepted]

    def unfinished(self) -> list[str]:
        """Return the jobs that were accepted and not shown to have ended."""
        return [
            name
            for name, job in self._jobs.items()
            if job.is_accepted and job.shown is JobPhase.ACTIVE
        ]

    def note_submitted(self, spec: JobSpec) -> None:
        """Take note that a job was handed in."""
        job = self._jobs.setdefault(spec.job_id, _Job(spec))
        job.is_refused = False

    def note_accepted(self, job_id: str) -> None:
        """Take note that a job was accepted."""
        self.counts['accepted'] += 1
        self._jobs[job_id].is_accepted = True

    def note_refused(self, job_id: str) -> None:
        """Take note that each attempt for a job was refused as not done."""
        self.counts['refused'] += 1
        job = self._jobs[job_id]
        job.is_refused = True
        if any(key.job_id == job_id for key in self._tasks):
            self._break(f'job {job_id}: refused, though it ran')

    def note_cancelled(self, job_id: str) -> None:
        """Take note that a cancellation was sent."""
        self._jobs[job_id].is_cancelled = True

    def note_shown(self, job_id: str, phase: JobPhase) -> None:
        """Check a state that a caller was shown."""
        job = self._jobs[job_id]
        if job.shown not in {JobPhase.ACTIVE, phase}:
            self._break(f'job {job_id}: {job.shown.name} became {phase.name}')
        if job.shown is JobPhase.ACTIVE and phase is not JobPhase.ACTIVE:
            self.counts[phase.name.lower()] += 1
            self._check_end(job, phase)
        job.shown = phase

    def note_unknown(self, job_id: str) -> None:
        """Check that an unknown job was never accepted."""
        if self._jobs[job_id].is_accepted:
            self._break(f'job {job_id}: accepted, then unknown')

    def note_version_accepted(self, version: int) -> None:
        """Take note that a manifest was acknowledged."""
        self.counts['manifests'] += 1
        self._version = max(self._version, version)

    def note_version_read(self, version: int, accepted: int) -> None:
        """Check a version that was read after another was acknowledged."""
        if version < accepted:
            self._break(
                f'manifest {version} read after {accepted} was accepted'
            )

    def note_started(
        self,
        start: StartOrder,
        worker: StandInWorker,
        others: Iterable[StandInWorker],
        now_s: float,
    ) -> None:
        """Check a start, while other workers may run the same task."""
        self.counts['runs'] += 1
        key = start.task
        job = self._jobs.get(key.job_id)
        if job is None or job.is_refused:
            self._break(f'{key}: started, though its job was not accepted')
            return
        self._check_task(key)
        beside = [other for other in others if other is not worker]
        for other in beside:
            if _runs(other, key, now_s):
                self._break(
                    f'{key}: on {worker.incarnation} beside {other.incarnation}'
                )
        self._check_turn(job.spec, key)
        self._check_room(worker)

    def note_ended(self, key: TaskKey, worker: str, how: RunEnd) -> None:
        """Take note of the end of a run."""
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
        """Take note of the ends that an answer acknowledges.

        An end counts only if the worker's lease went on until then: who does
        not hear of a worker for longer takes its runs for lost.
        """
        listed = {(worker.incarnation, ended.number) for ended in worker.ended}
        if now_s > worker.lease_until_s:
            self._too_late |= listed
        for ended in worker.ended:
            is_late = (worker.incarnation, ended.number) in self._too_late
            if is_late or ended.number > orders.acknowledged:
                continue
            task = self._tasks[ended.task]
            task.failures += ended.end is RunEnd.FAILED
            task.is_noted = task.is_noted or ended.end is RunEnd.DONE

    def check_rest(self, running: Mapping[TaskKey, str]) -> None:
        """Check what still runs once nothing should."""
        for key, worker in running.items():
            job = self._jobs.get(key.job_id)
            if job is None or job.shown is not JobPhase.ACTIVE:
                self._break(f'{key}: still on {worker} after its job ended')

    def _check_end(self, job: _Job, phase: JobPhase) -> None:
        name = job.spec.job_id
        if phase is JobPhase.COMPLETED:
            missing = [
                key for key in _keys(job.spec) if not self._tasks[key].done_by
            ]
            if missing:
                self._break(f'job {name}: completed without {missing}')
        elif phase is JobPhase.CANCELLED and not job.is_cancelled:
            self._break(f'job {name}: cancelled, though nobody asked')
        elif phase is JobPhase.FAILED:
            self._check_failed(job.spec)

    def _check_failed(self, spec: JobSpec) -> None:
        failures = [self._tasks[key].failures for key in _keys(spec)]
        # The end that decided may be acknowledged only after it is shown.
        if max(failures) < self._max_failures - 1:
            self._break(f'job {spec.job_id}: failed after {failures} failures')

    def _check_task(self, key: TaskKey) -> None:
        task = self._tasks[key]
        if task.is_noted:
            self._break(f'{key}: started after its end was noted')
        if task.failures >= self._max_failures:
            self._break(f'{key}: started after {task.failures} failures')

    def _check_turn(self, spec: JobSpec, key: TaskKey) -> None:
        earlier = spec.steps[key.step].after
        for before in _keys(spec):
            if before.step in earlier and not self._tasks[before].done_by:
                self._break(f'{key}: started before {before} was done')

    def _check_room(self, worker: StandInWorker) -> None:
        used = sum(self._millicores(key) for key, _ in worker.running)
        if used > worker.cpu_millicores:
            self._break(f'{worker.name}: {used} of {worker.cpu_millicores}')

    def _millicores(self, key: TaskKey) -> int:
        job = self._jobs.get(key.job_id)
        return job.spec.steps[key.step].cpu_millicores if job else 0

    def _break(self, what: str) -> None:
        if len(self.broken) < _MOST_TOLD:
            self.broken.append(what)


def _keys(spec: JobSpec) -> list[TaskKey]:
    return [
        TaskKey(spec.job_id, 0, number, index)
        for number, step in enumerate(spec.steps)
        for index in range(step.count)
    ]


def _runs(worker: StandInWorker, key: TaskKey, now_s: float) -> bool:
    is_leased = now_s <= worker.lease_until_s
    return is_leased and any(running == key for running, _ in worker.running)
