"""Replicated state of jobs and tasks."""

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

# Users allow two starts after three crashed workers; a sixth start would be the
# third.
MAX_LOST_RUNS = 5


class TaskCrash(msgspec.Struct, frozen=True, array_like=True):
    """Evidence whether a run crashed its worker, which stopped responding.

    Attributes
    ----------
    is_at_start
        Whether no heartbeat came after the worker was told to start the run.
    is_coincident
        Whether a worker that failed by itself was lost at the same moment.
    """

    run: int
    evidence: CrashEvidence
    is_at_start: bool = False
    is_coincident: bool = False


class TaskRecord(msgspec.Struct, array_like=True):
    """One task: its newest run and the failures of earlier ones.

    Attributes
    ----------
    run
        Number of the newest run; 0 before the first.
    worker, vm
        The worker incarnation that the newest run was assigned to, and its VM;
        if another worker appears on the VM, the next leader knows that the
        first one went down.
    crashes
        Runs whose workers crashed or may have crashed; cleared when a run is
        recorded as ``SOUND``, that is, as having worked for a long time.
    lost_runs
        Runs that may have begun and were lost with their workers, whatever the
        cause; cleared like ``crashes``, and kept for batch tasks only.
    """

    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    worker: str = ''
    failures: int = 0
    checkpoint: str = ''
    vm: str = ''
    crashes: tuple[TaskCrash, ...] = ()
    lost_runs: tuple[int, ...] = ()

    @property
    def has_starts_left(self) -> bool:
        """Whether it may start again after the workers that it lost."""
        is_within_limit = len(self.lost_runs) < MAX_LOST_RUNS
        return is_within_limit or not self._is_likely_cause

    @property
    def _is_likely_cause(self) -> bool:
        """Whether some of its losses have no other explanation.

        Its last starts were made alone, and while no workers failed by
        themselves.  So if workers failed meanwhile, one loss at another moment
        that is not due to a run beside it is enough.
        """
        own = [crash for crash in self.crashes if not crash.is_coincident]
        has_failing_workers = len(own) < len(self.lost_runs)
        return not has_failing_workers or any(
            crash.evidence is not CrashEvidence.BESIDE_OTHERS for crash in own
        )

    @property
    def is_settled(self) -> bool:
        """Whether it has no loss whose cause may still be found."""
        return all(
            crash.evidence is not CrashEvidence.UNSETTLED
            for crash in self.crashes
        )

    @property
    def crash_count(self) -> int:
        """Number of recorded crashes, or 0 if the only one is still unsettled.

        A single loss of unknown cause is not counted: most often the worker was
        cut off from the network.
        """
        count = len(self.crashes)
        is_certain = any(
            crash.evidence is not CrashEvidence.UNSETTLED
            for crash in self.crashes
        )
        return count if is_certain or count > 1 else 0


class VmOrder(msgspec.Struct, array_like=True):
    """The newest order for a VM.

    Attributes
    ----------
    worker
        The worker incarnation that it terminates; empty if none was known on
        the VM.
    is_answered
        Whether the platform has replied to it.
    """

    worker: str = ''
    is_answered: bool = False


Occurrence = list[list[TaskRecord]]


class JobRecord(msgspec.Struct, array_like=True):
    """One accepted job.

    Attributes
    ----------
    queue
        As it was when the job was accepted; kept if the queue is removed.
    occurrences
        For each occurrence, the tasks of each step.
    accepted_ms
        Unix time of acceptance by the wall clock of the leader at that time;
        it may be wrong, and is 0 if unknown.
    workspace
        Owner of the job; empty if it was accepted without a credential.
    cap_at_acceptance
        Cap of its workspace at acceptance, used once the workspace is removed.
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
    cap_at_acceptance: Amounts = NO_AMOUNTS

    @property
    def is_active(self) -> bool:
        """Whether its tasks may still start."""
        return self.phase is JobPhase.ACTIVE

    def task(self, key: TaskKey) -> TaskRecord | None:
        """Return a task, or None if the job does not have it."""
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
        """Return the specification of a task's step."""
        return self.spec.steps[key.step]

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step are done."""
        return all(
            task.phase is TaskPhase.DONE
            for task in self.occurrences[occurrence][step]
        )

    def may_start(self, occurrence: int, step: int) -> bool:
        """Whether all steps that a step depends on are done."""
        return all(
            self.is_step_done(occurrence, earlier)
            for earlier in self.spec.steps[step].after
        )

    def is_done(self) -> bool:
        """Whether all tasks of all occurrences are done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(len(self.occurrences))
            for step in range(len(self.spec.steps))
        )

    def assigned_tasks(self) -> Iterator[tuple[TaskKey, TaskRecord]]:
        """Yield the tasks that are assigned to a worker."""
        for key, task in self.all_tasks():
            if task.phase is TaskPhase.ASSIGNED:
                yield key, task

    def all_tasks(self) -> Iterator[tuple[TaskKey, TaskRecord]]:
        """Yield all tasks of all occurrences."""
        for occurrence, _ in enumerate(self.occurrences):
            for key in tasks_of(self.spec, occurrence):
                task = self.task(key)
                if task is not None:
                    yield key, task


def new_record(
    spec: JobSpec,
    queue: QueueSpec,
    accepted_ms: float,
    workspace: WorkspaceSpec | None = None,
) -> JobRecord:
    """Return the record of a newly accepted job."""
    return JobRecord(
        spec,
        queue,
        occurrences=[
            [[TaskRecord() for _ in range(step.count)] for step in spec.steps]
            for _ in range(spec.occurrences)
        ],
        accepted_ms=accepted_ms,
        workspace=workspace.name if workspace else '',
        cap_at_acceptance=workspace.cap if workspace else NO_AMOUNTS,
    )
