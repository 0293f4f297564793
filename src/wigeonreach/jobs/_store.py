"""Replicate the manifest, the jobs and the waves."""

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
    ForgetJobs,
    RecordRuns,
    RecordVmOrders,
    RecordVmStep,
    RunCrashed,
    RunEnded,
    RunStarted,
    SetManifest,
    StartWave,
    Verdict,
    VmStep,
)
from wigeonreach.jobs._model import (
    JobPhase,
    Manifest,
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
    UseBook,
    WorkspaceIndex,
    fits_cap,
)

_NOTHING: Mapping[TaskKey, int] = MappingProxyType({})
_COMMANDS = msgspec.msgpack.Decoder(AnyCommand)


class _Stored(msgspec.Struct, array_like=True):
    """What a snapshot holds."""

    term: int
    manifest: Manifest
    jobs: list[JobRecord]
    waves: list[WaveRecord]
    # Of snapshots that tell no more of orders than their VMs.
    ordered_vms: list[str] = msgspec.field(default_factory=list)
    vm_orders: dict[str, VmOrder] = msgspec.field(default_factory=dict)


_SNAPSHOTS = msgspec.msgpack.Decoder(_Stored)


class JobStore:
    """The replicated state; it changes only by ``apply`` and ``restore``.

    Attributes
    ----------
    term
        Of the leader whose records of runs count.
    jobs
        All jobs whose state may still be asked for.
    assigned
        For each worker, the runs that it has or may have.
    changed
        Jobs that changed since a reader last cleared this.
    reassigned
        Workers whose runs changed since a reader last cleared this.
    vm_orders
        By VM, what some leader has ordered lately, or was about to.
    newly_ordered, newly_answered
        Those among them that were ordered, and those whose order was answered,
        since a reader last cleared these.
    queues, workspaces
        Find the queues and the workspaces of the manifest.
    use
        What each workspace has on workers, or may have.
    """

    def __init__(self) -> None:
        """Start with nothing accepted."""
        self.manifest = Manifest(version=0)
        self.queues = QueueIndex(self.manifest)
        self.workspaces = WorkspaceIndex()
        self.use = UseBook()
        self.jobs: dict[str, JobRecord] = {}
        self.waves: dict[int, WaveRecord] = {}
        self.assigned: dict[str, dict[TaskKey, int]] = {}
        self.changed: set[str] = set()
        self.reassigned: set[str] = set()
        self.vm_orders: dict[str, VmOrder] = {}
        self.newly_ordered: set[str] = set()
        self.newly_answered: set[str] = set()
        self.term = 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out a committed command."""
        reply = _on(_COMMANDS.decode(command), self)
        return msgspec.msgpack.encode(reply)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        stored = _Stored(
            self.term,
            self.manifest,
            list(self.jobs.values()),
            list(self.waves.values()),
            vm_orders=self.vm_orders,
        )
        return msgspec.msgpack.encode(stored)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by one that ``snapshot`` returned."""
        stored = _SNAPSHOTS.decode(snapshot)
        self.term = stored.term
        self.put_manifest(stored.manifest)
        self.jobs = {job.spec.job_id: job for job in stored.jobs}
        self.waves = {wave.wave: wave for wave in stored.waves}
        self.reassigned.update(self.assigned)
        self.assigned = {}
        self.use.clear()
        for job in stored.jobs:
            for key, task in job.assigned():
                self.assign(task.worker, key, task.run)
        self.changed = set(self.jobs)
        self.note_ordered(dict.fromkeys(stored.ordered_vms, ''))
        for vm, order in stored.vm_orders.items():
            self.note_ordered({vm: order.worker})
            self.vm_orders[vm] = order

    def put_manifest(self, manifest: Manifest) -> None:
        """Put a manifest in force."""
        self.manifest = manifest
        self.queues = QueueIndex(manifest)
        self.workspaces = WorkspaceIndex(manifest.workspaces, self.workspaces)

    def note_ordered(self, workers: Mapping[str, str]) -> None:
        """Note that VMs have been ordered, or are about to be.

        Parameters
        ----------
        workers
            By VM, the incarnation that its order ends, or nothing.
        """
        for vm, worker in workers.items():
            self.newly_ordered.add(vm)
            self.newly_answered.discard(vm)
            self.vm_orders[vm] = VmOrder(worker)

    def note_answered(self, vms: Iterable[str]) -> None:
        """Note that the newest orders of VMs were answered."""
        for vm in vms:
            self.newly_answered.add(vm)
            order = self.vm_orders.get(vm)
            if order is not None:
                order.is_answered = True

    def service_of(self, job: JobRecord) -> str:
        """Return the service whose workers may run a job now."""
        queue = self.queues.named(job.queue.name)
        return queue.service if queue else job.queue.service

    def names_service(self, service: str) -> bool:
        """Whether the manifest names a service, or there is none yet."""
        named = {spec.name for spec in self.manifest.services}
        return not self.manifest.version or service in named

    def job_of(self, key: TaskKey) -> JobRecord | None:
        """Return the job of a task."""
        return self.jobs.get(key.job_id)

    def task_of(self, key: TaskKey) -> TaskRecord | None:
        """Return a task, if a job has it."""
        job = self.jobs.get(key.job_id)
        return job.task(key) if job else None

    def held_by(self, worker: str) -> Mapping[TaskKey, int]:
        """Return the runs that a worker has or may have."""
        return self.assigned.get(worker, _NOTHING)

    def spec_of(self, key: TaskKey) -> StepSpec | None:
        """Return what a task's step asks for, if a job has such a task."""
        job = self.jobs.get(key.job_id)
        if job is None or job.task(key) is None:
            return None
        return job.step_spec(key)

    def is_serving(self, key: TaskKey) -> bool:
        """Whether a task runs until its job is cancelled."""
        spec = self.spec_of(key)
        return spec is not None and spec.is_service

    def is_batch(self, key: TaskKey) -> bool:
        """Whether a task is known and ends by itself."""
        spec = self.spec_of(key)
        return spec is not None and not spec.is_service

    def may_run_twice(self, key: TaskKey) -> bool:
        """Whether two runs of a task may go on at a time."""
        spec = self.spec_of(key)
        return spec is not None and spec.may_run_twice

    def cap_of(self, job: JobRecord) -> Amounts:
        """Return the cap in force for a job's workspace."""
        workspace = self.workspaces.named(job.workspace)
        return workspace.cap if workspace else job.cap_then

    def is_under_cap(
        self,
        job: JobRecord,
        step: StepSpec,
        besides: Amounts = NO_AMOUNTS,
    ) -> bool:
        """Whether the cap of a job's workspace lets a task or a gang start.

        Parameters
        ----------
        job, step
            Whose task it is, or which gang.
        besides
            What else the workspace may have running.
        """
        if not job.workspace:
            return True
        used = self.use.used(job.workspace) + besides
        cap = self.cap_of(job)
        return fits_cap(cap, used, step.least_start, step.amounts)

    def assign(self, worker: str, key: TaskKey, run: int) -> None:
        """Note that a worker has, or may have, a run."""
        held = self.assigned.setdefault(worker, {})
        job = self.jobs.get(key.job_id)
        if job is not None and key not in held:
            self.use.add(job.workspace, job.step_spec(key).amounts)
        held[key] = run
        self.reassigned.add(worker)

    def unassign(self, worker: str, key: TaskKey) -> None:
        """Note that a worker has a run no more."""
        held = self.assigned.get(worker)
        if held is not None:
            job = self.jobs.get(key.job_id)
            if held.pop(key, None) is not None and job is not None:
                self.use.remove(job.workspace, job.step_spec(key).amounts)
            self.reassigned.add(worker)
            if not held:
                self.assigned.pop(worker)


@functools.singledispatch
def _on(command: object, store: JobStore) -> CommandReply:
    raise TypeError(type(command).__name__)


@_on.register
def _on_manifest(command: SetManifest, store: JobStore) -> CommandReply:
    if command.manifest.version > store.manifest.version:
        store.put_manifest(command.manifest)
        store.changed.update(store.jobs)
    return CommandReply(Verdict.DONE, store.manifest.version)


@_on.register
def _on_add(command: AddJob, store: JobStore) -> CommandReply:
    known = store.jobs.get(command.spec.job_id)
    queue = store.queues.named(command.queue)
    if queue is None:
        return CommandReply(Verdict.KNOWN if known else Verdict.NO_QUEUE)
    # Here and not only where the call arrived: of a job and the manifest that
    # withdraws its credential, the log alone says which came first.
    caller = store.workspaces.caller(command.credential, queue.is_public)
    if caller is None:
        return CommandReply(Verdict.UNAUTHORIZED)
    if known is not None:
        is_own = queue.is_public or known.workspace in {'', caller}
        return CommandReply(Verdict.KNOWN if is_own else Verdict.OTHERS)
    record = new_record(
        command.spec,
        queue,
        command.accepted_ms,
        store.workspaces.named(caller),
    )
    store.jobs[command.spec.job_id] = record
    store.changed.add(command.spec.job_id)
    return CommandReply(Verdict.DONE)


@_on.register
def _on_cancel(command: CancelJob, store: JobStore) -> CommandReply:
    job = store.jobs.get(command.job_id)
    if job is None:
        return CommandReply(Verdict.UNKNOWN)
    if job.is_active:
        job.phase = JobPhase.CANCELLED
        store.changed.add(command.job_id)
    return CommandReply(Verdict.DONE)


@_on.register
def _on_term(command: BeginTerm, store: JobStore) -> CommandReply:
    store.term = max(store.term, command.term)
    return CommandReply(Verdict.DONE)


@_on.register
def _on_runs(command: RecordRuns, store: JobStore) -> CommandReply:
    if command.term != store.term:
        # A former leader's view of its workers counts no more.
        return CommandReply(Verdict.OUTDATED)
    for ended in command.ends:
        _note_end(store, ended)
    for crashed in command.crashes:
        _note_crash(store, crashed)
    _note_starts(store, command.starts)
    return CommandReply(Verdict.DONE)


def _note_end(store: JobStore, ended: RunEnded) -> None:
    job = store.job_of(ended.task)
    if job is None or job.task(ended.task) is None:
        # A worker tells of what no job has.
        return
    held = [(key, job.task(key)) for key in runs.members(job, ended.task)]
    workers = {key: task.worker for key, task in held if task is not None}
    for key in runs.note_end(job, ended):
        store.unassign(workers[key], key)
        store.changed.add(key.job_id)
    _release_given_up(store, job, ended.task)


def _note_crash(store: JobStore, crashed: RunCrashed) -> None:
    job = store.job_of(crashed.task)
    if job is not None and runs.note_crash(job, crashed):
        store.changed.add(crashed.task.job_id)
        _release_given_up(store, job, crashed.task)


def _release_given_up(store: JobStore, job: JobRecord, key: TaskKey) -> None:
    """Let workers stop what was given up while its job goes on."""
    for member in runs.members(job, key):
        task = job.task(member)
        if task is not None and task.phase is TaskPhase.GIVEN_UP:
            store.unassign(task.worker, member)


def _note_starts(store: JobStore, starts: Iterable[RunStarted]) -> None:
    """Assign tasks, as far as the caps of their workspaces let them start.

    Whoever decided them looked at the caps too, but may not have known all that
    was recorded since.  A gang starts whole or not at all.
    """
    groups = itertools.groupby(
        starts,
        key=lambda start: _started_with(store, start.task),
    )
    for _, members in groups:
        together = tuple(members)
        job = store.job_of(together[0].task)
        if job is None:
            continue
        if store.is_under_cap(job, job.step_spec(together[0].task)):
            for start in together:
                _note_start(store, job, start)


def _started_with(store: JobStore, key: TaskKey) -> TaskKey:
    """Return what stands for all that starts with a task: it, or its gang."""
    spec = store.spec_of(key)
    is_gang = spec is not None and spec.is_gang
    return msgspec.structs.replace(key, index=0) if is_gang else key


def _note_start(store: JobStore, job: JobRecord, start: RunStarted) -> None:
    if runs.note_start(job, start):
        store.assign(start.worker, start.task, start.run)
        store.changed.add(start.task.job_id)


@_on.register
def _on_forget(command: ForgetJobs, store: JobStore) -> CommandReply:
    for job_id in command.job_ids:
        job = store.jobs.get(job_id)
        if job is not None and not job.is_active and not any(job.assigned()):
            store.jobs.pop(job_id)
            store.changed.add(job_id)
    return CommandReply(Verdict.DONE)


@_on.register
def _on_wave(command: StartWave, store: JobStore) -> CommandReply:
    if command.wave in store.waves:
        return CommandReply(Verdict.KNOWN)
    store.waves[command.wave] = waves.new_wave(command)
    return CommandReply(Verdict.DONE)


@_on.register
def _on_vm_step(command: RecordVmStep, store: JobStore) -> CommandReply:
    wave = store.waves.get(command.wave)
    if command.term != store.term:
        return CommandReply(Verdict.OUTDATED)
    if wave is None:
        return CommandReply(Verdict.UNKNOWN)
    waves.note_step(wave, command)
    if command.step is VmStep.ORDERED:
        store.note_ordered({command.vm: command.worker})
    return CommandReply(Verdict.DONE)


@_on.register
def _on_vm_orders(command: RecordVmOrders, store: JobStore) -> CommandReply:
    if command.term != store.term:
        return CommandReply(Verdict.OUTDATED)
    for settled in command.settled:
        store.vm_orders.pop(settled, None)
        store.newly_ordered.discard(settled)
    store.note_answered(command.answered)
    workers = itertools.zip_longest(command.vms, command.workers, fillvalue='')
    store.note_ordered(dict(workers))
    return CommandReply(Verdict.DONE)
