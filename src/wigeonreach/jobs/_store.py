"""Replicated state machine of the manifest, the jobs and the waves."""

from __future__ import annotations

import functools
import itertools
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from wigeonreach.jobs import _runs as runs
from wigeonreach.jobs import _waves as waves
from wigeonreach.jobs._commands import (
    AddJob,
    AnyCommand,
    BeginTerm,
    CancelJob,
    CommandReply,
    CommandResult,
    EarlyCancel,
    ForgetJobs,
    RecordRuns,
    RecordVmOrders,
    RecordVmStep,
    RunCrashed,
    RunEnded,
    RunStarted,
    SetManifest,
    StartWave,
    VmStep,
)
from wigeonreach.jobs._early_cancels import EarlyCancels
from wigeonreach.jobs._model import (
    AdvicePolicy,
    JobPhase,
    Manifest,
    QueueSpec,
    StepSpec,
    TaskKey,
    TaskPhase,
)
from wigeonreach.jobs._queue_index import QueueIndex
from wigeonreach.jobs._records import (
    JobRecord,
    TaskRecord,
    VmOrder,
    new_record,
)
from wigeonreach.jobs._waves import WaveRecord
from wigeonreach.workspaces import (
    NO_AMOUNTS,
    Amounts,
    WorkspaceIndex,
    WorkspaceUsage,
    fits_cap,
)

_NO_RUNS: Mapping[TaskKey, int] = MappingProxyType({})
_COMMAND_DECODER = msgspec.msgpack.Decoder(AnyCommand)


class _Snapshot(msgspec.Struct, array_like=True):
    """Content of a snapshot."""

    term: int
    manifest: Manifest
    jobs: list[JobRecord]
    waves: list[WaveRecord]
    # Only filled in older snapshots, which list the VMs without their orders.
    ordered_vms: list[str] = msgspec.field(default_factory=list)
    vm_orders: dict[str, VmOrder] = msgspec.field(default_factory=dict)
    early_cancels: list[EarlyCancel] = msgspec.field(default_factory=list)


_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_Snapshot)


class JobStore:
    """The replicated state; it changes only by ``apply`` and ``restore``.

    Attributes
    ----------
    term
        Term of the leader whose records are accepted.
    jobs
        All jobs whose state may still be queried, by job ID.
    assigned_runs
        For each worker, the runs that it has or may have.
    changed_jobs
        Jobs that changed since this set was last cleared: by the scheduler of
        a leader, or regularly by the core process of a follower.
    changed_workers
        Workers to which a run was assigned, or from which one was removed,
        since the scheduler of a leader last cleared this set.
    vm_orders
        By VM, the newest order that a leader has sent or was about to send,
        until it is recorded as settled.
    newly_ordered, newly_answered
        VMs for which an order, or the reply to one, was recorded since
        ``VmHolds`` last cleared these sets.
    queues, workspaces
        Indexes of the queues and the workspaces of the manifest.
    early_cancels
        Cancels of jobs that are not known.
    usage
        Resources that each workspace uses, or may use, on workers.
    """

    def __init__(self) -> None:
        """Create an empty state."""
        self.manifest = Manifest(version=0)
        self.queues = QueueIndex(self.manifest)
        self.workspaces = WorkspaceIndex()
        self.usage = WorkspaceUsage()
        self.jobs: dict[str, JobRecord] = {}
        self.early_cancels = EarlyCancels()
        self.waves: dict[int, WaveRecord] = {}
        self.assigned_runs: dict[str, dict[TaskKey, int]] = {}
        self.changed_jobs: set[str] = set()
        self.changed_workers: set[str] = set()
        self.vm_orders: dict[str, VmOrder] = {}
        self.newly_ordered: set[str] = set()
        self.newly_answered: set[str] = set()
        self.term = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command and return its serialized reply."""
        reply = _apply_command(_COMMAND_DECODER.decode(command), self)
        return msgspec.msgpack.encode(reply)

    def snapshot(self) -> bytes:
        """Serialize the whole state."""
        stored = _Snapshot(
            self.term,
            self.manifest,
            list(self.jobs.values()),
            list(self.waves.values()),
            vm_orders=self.vm_orders,
            early_cancels=self.early_cancels.entries(),
        )
        return msgspec.msgpack.encode(stored)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with one that ``snapshot`` returned."""
        stored = _SNAPSHOT_DECODER.decode(snapshot)
        self.term = stored.term
        self.put_manifest(stored.manifest)
        self.jobs = {job.spec.job_id: job for job in stored.jobs}
        self.early_cancels.restore(stored.early_cancels)
        self.waves = {wave.wave: wave for wave in stored.waves}
        self.changed_workers.update(self.assigned_runs)
        self.assigned_runs = {}
        self.usage.clear()
        for job in stored.jobs:
            for key, task in job.assigned_tasks():
                self.assign(task.worker, key, task.run)
        self.changed_jobs = set(self.jobs)
        self.record_vm_orders(dict.fromkeys(stored.ordered_vms, ''))
        for vm, order in stored.vm_orders.items():
            self.record_vm_orders({vm: order.worker})
            self.vm_orders[vm] = order

    def put_manifest(self, manifest: Manifest) -> None:
        """Activate a manifest and rebuild its indexes."""
        self.manifest = manifest
        self.queues = QueueIndex(manifest)
        self.workspaces = WorkspaceIndex(manifest.workspaces, self.workspaces)

    def record_vm_orders(self, workers: Mapping[str, str]) -> None:
        """Record orders that are about to be sent for VMs.

        Parameters
        ----------
        workers
            By VM, the worker incarnation that its order terminates, or an
            empty string.
        """
        for vm, worker in workers.items():
            self.newly_ordered.add(vm)
            self.newly_answered.discard(vm)
            self.vm_orders[vm] = VmOrder(worker)

    def record_vm_answers(self, vms: Iterable[str]) -> None:
        """Record that the platform replied to the newest orders of VMs."""
        for vm in vms:
            self.newly_answered.add(vm)
            order = self.vm_orders.get(vm)
            if order is not None:
                order.is_answered = True

    def queue_of(self, job: JobRecord) -> QueueSpec:
        """Return a job's present queue; once removed, that of its acceptance."""
        return self.queues.named(job.queue.name) or job.queue

    def service_of(self, job: JobRecord) -> str:
        """Return the service whose workers may currently run a job."""
        return self.queue_of(job).service

    def advice_of(self, job: JobRecord) -> AdvicePolicy | None:
        """Return the policy by which a job's starts need tickets now."""
        return self.queue_of(job).advice

    def has_service(self, service: str) -> bool:
        """Whether the manifest has a service; true without a manifest."""
        named = {spec.name for spec in self.manifest.services}
        return not self.manifest.version or service in named

    def job_of(self, key: TaskKey) -> JobRecord | None:
        """Return the job of a task."""
        return self.jobs.get(key.job_id)

    def task_of(self, key: TaskKey) -> TaskRecord | None:
        """Return a task, or None if no job has it."""
        job = self.jobs.get(key.job_id)
        return job.task(key) if job else None

    def runs_of(self, worker: str) -> Mapping[TaskKey, int]:
        """Return the runs that a worker has or may have."""
        return self.assigned_runs.get(worker, _NO_RUNS)

    def spec_of(self, key: TaskKey) -> StepSpec | None:
        """Return the specification of a task's step, or None if unknown."""
        job = self.jobs.get(key.job_id)
        if job is None or job.task(key) is None:
            return None
        return job.step_spec(key)

    def is_serving(self, key: TaskKey) -> bool:
        """Whether a task is known and runs until its job is cancelled."""
        spec = self.spec_of(key)
        return spec is not None and spec.is_service

    def is_batch(self, key: TaskKey) -> bool:
        """Whether a task is known and ends on its own."""
        spec = self.spec_of(key)
        return spec is not None and not spec.is_service

    def allows_copies(self, key: TaskKey) -> bool:
        """Whether two runs of a task may be active concurrently."""
        spec = self.spec_of(key)
        return spec is not None and spec.allows_copies

    def cap_of(self, job: JobRecord) -> Amounts:
        """Return the current cap of a job's workspace."""
        workspace = self.workspaces.named(job.workspace)
        return workspace.cap if workspace else job.cap_at_acceptance

    def is_under_cap(
        self,
        job: JobRecord,
        step: StepSpec,
        extra: Amounts = NO_AMOUNTS,
    ) -> bool:
        """Whether the cap of a job's workspace allows a task or gang to start.

        Parameters
        ----------
        job, step
            The job and the step of the task or gang.
        extra
            Resources to add to what the workspace already uses.
        """
        if not job.workspace:
            return True
        used = self.usage.used(job.workspace) + extra
        cap = self.cap_of(job)
        return fits_cap(cap, used, step.min_start_amounts, step.amounts)

    def assign(self, worker: str, key: TaskKey, run: int) -> None:
        """Assign a run to a worker and count its resources."""
        held = self.assigned_runs.setdefault(worker, {})
        job = self.jobs.get(key.job_id)
        if job is not None and key not in held:
            self.usage.add(job.workspace, job.step_spec(key).amounts)
        held[key] = run
        self.changed_workers.add(worker)

    def unassign(self, worker: str, key: TaskKey) -> None:
        """Remove a task from a worker and release its resources."""
        held = self.assigned_runs.get(worker)
        if held is not None:
            job = self.jobs.get(key.job_id)
            if held.pop(key, None) is not None and job is not None:
                self.usage.remove(job.workspace, job.step_spec(key).amounts)
            self.changed_workers.add(worker)
            if not held:
                self.assigned_runs.pop(worker)


@functools.singledispatch
def _apply_command(command: object, store: JobStore) -> CommandReply:
    raise TypeError(type(command).__name__)


@_apply_command.register
def _apply_set_manifest(command: SetManifest, store: JobStore) -> CommandReply:
    if command.manifest.version > store.manifest.version:
        store.put_manifest(command.manifest)
        store.changed_jobs.update(store.jobs)
    return CommandReply(CommandResult.DONE, store.manifest.version)


@_apply_command.register
def _apply_add_job(command: AddJob, store: JobStore) -> CommandReply:
    known = store.jobs.get(command.spec.job_id)
    queue = store.queues.named(command.queue)
    if queue is None:
        return CommandReply(
            CommandResult.KNOWN if known else CommandResult.NO_QUEUE
        )
    # Checked again when the command is applied, not only when the call arrives:
    # only the log order decides whether a job came before the manifest that
    # withdraws its credential.
    caller = store.workspaces.caller(command.credential, queue.is_public)
    if caller is None:
        return CommandReply(CommandResult.UNAUTHORIZED)
    if known is not None:
        is_own = queue.is_public or known.workspace in {'', caller}
        return CommandReply(
            CommandResult.KNOWN if is_own else CommandResult.OTHERS
        )
    record = new_record(
        command.spec,
        queue,
        command.accepted_ms,
        store.workspaces.named(caller),
    )
    store.jobs[command.spec.job_id] = record
    store.changed_jobs.add(command.spec.job_id)
    owner = owner_of(caller, queue)
    if store.early_cancels.take(command.spec.job_id, owner):
        record.phase = JobPhase.CANCELLED
        return CommandReply(CommandResult.CANCELLED)
    return CommandReply(CommandResult.DONE)


@_apply_command.register
def _apply_cancel_job(command: CancelJob, store: JobStore) -> CommandReply:
    job = store.jobs.get(command.job_id)
    owner = command.owner
    if job is None:
        is_full = owner is not None and not store.early_cancels.add(
            command.job_id, owner
        )
        return CommandReply(
            CommandResult.FULL if is_full else CommandResult.UNKNOWN
        )
    if owner is not None and not _may_cancel(job, owner, store):
        # It was submitted after the access was checked.
        return CommandReply(CommandResult.OTHERS)
    if job.is_active:
        job.phase = JobPhase.CANCELLED
        store.changed_jobs.add(command.job_id)
    return CommandReply(CommandResult.DONE)


def owner_of(caller: str, queue: QueueSpec) -> str:
    """Return the workspace that owns what a caller submits to a queue.

    Empty for a public queue, where each caller may cancel each job.
    """
    return '' if queue.is_public else caller


def _may_cancel(job: JobRecord, owner: str, store: JobStore) -> bool:
    is_public = store.queue_of(job).is_public
    return is_public or job.workspace in {'', owner}


@_apply_command.register
def _apply_begin_term(command: BeginTerm, store: JobStore) -> CommandReply:
    store.term = max(store.term, command.term)
    return CommandReply(CommandResult.DONE)


@_apply_command.register
def _apply_record_runs(command: RecordRuns, store: JobStore) -> CommandReply:
    if command.term != store.term:
        # Records of former leaders are rejected.
        return CommandReply(CommandResult.OUTDATED)
    for ended in command.ends:
        _apply_run_end(store, ended)
    for crashed in command.crashes:
        _apply_run_crash(store, crashed)
    for ended in command.ends:
        _apply_start_limit(store, ended.task)
    for settled in command.crashes:
        _apply_start_limit(store, settled.task)
    _apply_run_starts(store, command.starts)
    return CommandReply(CommandResult.DONE)


def _apply_run_end(store: JobStore, ended: RunEnded) -> None:
    job = store.job_of(ended.task)
    if job is None or job.task(ended.task) is None:
        # A worker may report tasks that do not exist.
        return
    held = [(key, job.task(key)) for key in runs.gang_of(job, ended.task)]
    workers = {key: task.worker for key, task in held if task is not None}
    for key in runs.apply_run_end(job, ended):
        store.unassign(workers[key], key)
        store.changed_jobs.add(key.job_id)
    _unassign_given_up(store, job, ended.task)


def _apply_run_crash(store: JobStore, crashed: RunCrashed) -> None:
    job = store.job_of(crashed.task)
    if job is not None and runs.apply_run_crash(job, crashed):
        store.changed_jobs.add(crashed.task.job_id)
        _unassign_given_up(store, job, crashed.task)


def _apply_start_limit(store: JobStore, key: TaskKey) -> None:
    job = store.job_of(key)
    if job is not None and runs.apply_start_limit(job, key):
        store.changed_jobs.add(key.job_id)
        _unassign_given_up(store, job, key)


def _unassign_given_up(store: JobStore, job: JobRecord, key: TaskKey) -> None:
    """Unassign given up tasks of an active job, so that workers stop them."""
    for member in runs.gang_of(job, key):
        task = job.task(member)
        if task is not None and task.phase is TaskPhase.GIVEN_UP:
            store.unassign(task.worker, member)


def _apply_run_starts(store: JobStore, starts: Iterable[RunStarted]) -> None:
    """Assign tasks as far as the caps of their workspaces allow.

    The scheduler also checks the caps, but may not have seen the newest records.
    A gang is to start as a whole or not at all, so the cap is checked once for
    all of its starts, which have to be adjacent.  This covers the cap only: a
    start that is invalid for another reason is skipped alone.
    """
    groups = itertools.groupby(
        starts,
        key=lambda start: _start_group(store, start.task),
    )
    for _, members in groups:
        together = tuple(members)
        job = store.job_of(together[0].task)
        if job is None:
            continue
        if store.is_under_cap(job, job.step_spec(together[0].task)):
            for start in together:
                _apply_run_start(store, job, start)


def _start_group(store: JobStore, key: TaskKey) -> TaskKey:
    """Return the key of a task's start group: the task, or its gang."""
    spec = store.spec_of(key)
    is_gang = spec is not None and spec.is_gang
    return msgspec.structs.replace(key, index=0) if is_gang else key


def _apply_run_start(
    store: JobStore, job: JobRecord, start: RunStarted
) -> None:
    if runs.apply_run_start(job, start):
        store.assign(start.worker, start.task, start.run)
        store.changed_jobs.add(start.task.job_id)


@_apply_command.register
def _apply_forget_jobs(command: ForgetJobs, store: JobStore) -> CommandReply:
    for job_id in command.job_ids:
        job = store.jobs.get(job_id)
        if (
            job is not None
            and not job.is_active
            and not any(job.assigned_tasks())
        ):
            store.jobs.pop(job_id)
            store.changed_jobs.add(job_id)
    store.early_cancels.drop(command.early_cancels)
    return CommandReply(CommandResult.DONE)


@_apply_command.register
def _apply_start_wave(command: StartWave, store: JobStore) -> CommandReply:
    if command.wave in store.waves:
        return CommandReply(CommandResult.KNOWN)
    store.waves[command.wave] = waves.new_wave(command)
    return CommandReply(CommandResult.DONE)


@_apply_command.register
def _apply_vm_step(command: RecordVmStep, store: JobStore) -> CommandReply:
    wave = store.waves.get(command.wave)
    if command.term != store.term:
        return CommandReply(CommandResult.OUTDATED)
    if wave is None:
        return CommandReply(CommandResult.UNKNOWN)
    waves.apply_vm_step(wave, command)
    if command.step is VmStep.ORDERED:
        store.record_vm_orders({command.vm: command.worker})
    return CommandReply(CommandResult.DONE)


@_apply_command.register
def _apply_vm_orders(command: RecordVmOrders, store: JobStore) -> CommandReply:
    if command.term != store.term:
        return CommandReply(CommandResult.OUTDATED)
    for settled in command.settled:
        store.vm_orders.pop(settled, None)
        store.newly_ordered.discard(settled)
    store.record_vm_answers(command.answered)
    workers = itertools.zip_longest(command.vms, command.workers, fillvalue='')
    store.record_vm_orders(dict(workers))
    return CommandReply(CommandResult.DONE)
