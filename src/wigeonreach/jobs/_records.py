"""Keep what became of each job, step and task."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from wigeonreach.jobs._commands import CrashEvidence
from wigeonreach.jobs._model import (
    JobPhase,
    JobSpec,
    QueueSpec,
    StepSpec,
    TaskKey,
    TaskPhase,
    tasks_of,
)
from wigeonreach.workspaces import NO_AMOUNTS, Amounts, WorkspaceSpec


class TaskCrash(msgspec.Struct, frozen=True, array_like=True):
    """A run of a task whose worker fell silent, and what that proves.

    Attributes
    ----------
    is_at_start
        The worker was not heard after it was told to start the run.
    """

    run: int
    evidence: CrashEvidence
    is_at_start: bool = False


class TaskRecord(msgspec.Struct, array_like=True):
    """One task: where its newest run is and how earlier ones ended.

    Attributes
    ----------
    run
        Number of the newest run; 0 before the first.
    worker, vm
        Which incarnation of a worker the newest run was given to, and the VM
        under it, by which a next leader knows whether that worker crashed.
    crashes
        Of the runs whose workers crashed under them, or may have, since one of
        them worked for long.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker: str = ''
    failures: int = 0
    checkpoint: str = ''
    vm: str = ''
    crashes: tuple[TaskCrash, ...] = ()

    @property
    def crash_count(self) -> int:
        """How many crashes speak against it, with those that may have been some.

        One loss without an explanation is most often a worker that is cut off,
        and speaks against nothing.
        """
        marks = len(self.crashes)
        is_certain = any(
            mark.evidence is not CrashEvidence.UNSETTLED
            for mark in self.crashes
        )
        return marks if is_certain or marks > 1 else 0


class VmOrder(msgspec.Struct, array_like=True):
    """The newest order for a VM.

    Attributes
    ----------
    worker
        The incarnation that it ends; nothing if none was known there.
    is_answered
        Whether the platform said what became of it.
    """

    worker: str = ''
    is_answered: bool = False


Occurrence = list[list[TaskRecord]]


class JobRecord(msgspec.Struct, array_like=True):
    """One job that was accepted.

    Attributes
    ----------
    queue
        As it was when the job was accepted; it outlives the queue.
    occurrences
        For each occurrence, the tasks of each step.
    accepted_ms
        When it was accepted, by the time of day of who led then; it may be
        off, and is 0 if it isn't known.
    workspace
        Whose job it is; nothing for one that was accepted from anybody.
    cap_then
        The cap of its workspace when it was accepted; it outlives the workspace.
    """

    spec: JobSpec
    queue: QueueSpec
    phase: JobPhase = JobPhase.ACTIVE
    has_started: bool = False
    occurrences: list[Occurrence] = msgspec.field(
        default_factory=list,
    )
    accepted_ms: float = 0
    workspace: str = ''
    cap_then: Amounts = NO_AMOUNTS

    @property
    def is_active(self) -> bool:
        """Whether tasks of it may start."""
        return self.phase is JobPhase.ACTIVE

    def task(self, key: TaskKey) -> TaskRecord | None:
        """Return a task, or None if the job has no such one."""
        try:
            return self.occurrences[key.occurrence][key.step][key.index]
        except IndexError:
            return None

    def step_tasks(self, key: TaskKey) -> list[TaskRecord]:
        """Return all tasks of a task's step."""
        return self.occurrences[key.occurrence][key.step]

    def step_keys(self, key: TaskKey) -> tuple[TaskKey, ...]:
        """Return the keys of all tasks of a task's step."""
        return tuple(
            TaskKey(key.job_id, key.occurrence, key.step, index)
            for index, _ in enumerate(self.step_tasks(key))
        )

    def step_spec(self, key: TaskKey) -> StepSpec:
        """Return what a task's step asks for."""
        return self.spec.steps[key.step]

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step ended well."""
        return all(
            task.phase is TaskPhase.DONE
            for task in self.occurrences[occurrence][step]
        )

    def may_start(self, occurrence: int, step: int) -> bool:
        """Whether all that a step waits for is done."""
        return all(
            self.is_step_done(occurrence, earlier)
            for earlier in self.spec.steps[step].after
        )

    def is_done(self) -> bool:
        """Whether all tasks of all occurrences ended well."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(len(self.occurrences))
            for step in range(len(self.spec.steps))
        )

    def assigned(self) -> Iterator[tuple[TaskKey, TaskRecord]]:
        """Yield the tasks that a worker has, or may have."""
        for occurrence, _ in enumerate(self.occurrences):
            for key in tasks_of(self.spec, occurrence):
                task = self.task(key)
                if task is not None and task.phase is TaskPhase.ASSIGNED:
                    yield key, task


def new_record(
    spec: JobSpec,
    queue: QueueSpec,
    accepted_ms: float,
    workspace: WorkspaceSpec | None = None,
) -> JobRecord:
    """Return a job of which nothing has started."""
    return JobRecord(
        spec,
        queue,
        occurrences=[
            [[TaskRecord() for _ in range(step.count)] for step in spec.steps]
            for _ in range(spec.occurrences)
        ],
        accepted_ms=accepted_ms,
        workspace=workspace.name if workspace else '',
        cap_then=workspace.cap if workspace else NO_AMOUNTS,
    )
