"""Handle calls as the leader."""

from __future__ import annotations

import functools
import re

from wigeonreach.core._term import LeaderTerm
from wigeonreach.jobs import (
    AddJob,
    CancelJob,
    CommandResult,
    JobRecord,
    JobStore,
    QueueSpec,
    SetManifest,
    StartWave,
    StepSpec,
    owner_of,
)
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.wire._call_messages import (
    CancelJobCall,
    DropWorker,
    HearWorker,
    PutManifest,
    QueueCall,
    ReadJob,
    ReadManifest,
    ReadWave,
    StartWaveCall,
    SubmitJob,
    WorkspaceCall,
)
from wigeonreach.wire._call_replies import (
    AnyReply,
    Done,
    Forbidden,
    Invalid,
    JobState,
    ManifestText,
    NoSuchJob,
    NotDone,
    NotFound,
    Orders,
    Unauthorized,
    Unknown,
    WaitingJobs,
    WaveState,
    WhyNot,
)

_JOB_ID = re.compile('[0-9a-f]{16}')
_NO_MANIFEST = NotDone(WhyNot.NO_MANIFEST)


class CallHandler:
    """Handles the calls that reach the leader.

    Parameters
    ----------
    term
        The leader's term.
    store
        The replicated state; only read here.
    logger, metrics
        Log and count the decisions.
    """

    def __init__(
        self,
        term: LeaderTerm,
        store: JobStore,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Prepare to handle calls."""
        self.term = term
        self.store = store
        self.log = logger
        self.metrics = metrics

    async def handle(self, call: object) -> AnyReply:
        """Handle one call and return its reply.

        Raises
        ------
        StateError
            If a quorum did not confirm; the call may have had an effect.
        """
        return await _handle_call(call, self)

    def find_queue(self, call: QueueCall) -> tuple[QueueSpec, str] | None:
        """Return a call's queue and the rest of the path after its prefix."""
        queue = self.store.queues.at(call.host, call.path)
        if queue is None:
            return None
        return queue, call.path.removeprefix(queue.path_prefix)

    def check_access(
        self,
        call: WorkspaceCall,
        queue: QueueSpec,
        job: JobRecord | None = None,
    ) -> Unauthorized | Forbidden | None:
        """Return the denial of a call, or None if it is allowed.

        Parameters
        ----------
        call
            The call, with the credential of its caller.
        queue
            The queue that the call addresses.
        job
            The job that the call addresses, if it exists.
        """
        caller = self.store.workspaces.caller(call.credential, queue.is_public)
        if caller is None:
            return self.unauthorized(call)
        if queue.is_public or job is None or job.workspace in {'', caller}:
            return None
        return Forbidden(caller)

    def owner(self, call: WorkspaceCall, queue: QueueSpec | None) -> str | None:
        """Return the workspace that owns what a call may submit or cancel.

        None if the call is not allowed; without a queue, as by no public one.
        """
        is_public = queue is not None and queue.is_public
        caller = self.store.workspaces.caller(call.credential, is_public)
        if caller is None or queue is None:
            return caller
        return owner_of(caller, queue)

    def note_cancelled(self, job_id: str, reason: str) -> None:
        """Log and count that a job is cancelled."""
        self.metrics.count('jobs_cancelled')
        self.log.info(LogEvent.JOB_CANCELLED, job=job_id, reason=reason)

    def unauthorized(self, call: WorkspaceCall) -> Unauthorized:
        """Return the denial of a call because of its credential."""
        return Unauthorized(
            *self.store.workspaces.denial_reason(call.credential),
            self.store.manifest.version,
        )


@functools.singledispatch
async def _handle_call(call: object, handler: CallHandler) -> AnyReply:
    raise TypeError(type(call).__name__)


@_handle_call.register
async def _handle_submit_job(call: SubmitJob, handler: CallHandler) -> AnyReply:
    if not handler.store.manifest.version:
        return _NO_MANIFEST
    found = handler.find_queue(call)
    if found is None:
        await handler.term.barrier.wait()
        return NotFound()
    queue, job_id = found
    denial = handler.check_access(call, queue, handler.store.jobs.get(job_id))
    if denial is not None:
        # This process may have been replaced as leader without knowing it, and
        # may then not know the newest credentials.
        await handler.term.barrier.wait()
        return denial
    if not _JOB_ID.fullmatch(job_id):
        return Invalid(f'job id {job_id!r}; allowed: 16 hexadecimal digits')
    result = await handler.term.propose(
        AddJob(
            call.spec_for(job_id),
            queue.name,
            handler.term.wall_clock.now_ms(),
            call.credential,
        ),
    )
    rejection = _rejection_reply(result, call, handler)
    if rejection is not None:
        return rejection
    job = handler.store.jobs.get(job_id)
    if job is not None:
        _note_submitted(result, job, handler)
    return Done()


def _note_submitted(
    result: CommandResult, job: JobRecord, handler: CallHandler
) -> None:
    """Log and count a job that was submitted, unless it was known before."""
    job_id = job.spec.job_id
    if result is CommandResult.CANCELLED:
        handler.note_cancelled(job_id, 'cancelled before it was submitted')
    if result is not CommandResult.DONE:
        return
    handler.metrics.count('jobs_accepted')
    if job.workspace:
        handler.metrics.count('workspace_jobs_accepted', job.workspace)
    handler.term.wake.set()
    handler.log.info(
        LogEvent.JOB_ACCEPTED,
        job=job_id,
        queue=job.queue.name,
        workspace=job.workspace,
        version=handler.store.manifest.version,
        occurrences=job.spec.occurrences,
        steps=[_describe_step(step) for step in job.spec.steps],
    )


def _rejection_reply(
    result: CommandResult,
    call: SubmitJob,
    handler: CallHandler,
) -> AnyReply | None:
    """Return the reply to a rejected job; None if it is new or known."""
    if result is CommandResult.NO_QUEUE:
        return NotFound()
    if result is CommandResult.UNAUTHORIZED:
        return handler.unauthorized(call)
    return Forbidden('') if result is CommandResult.OTHERS else None


def _describe_step(step: StepSpec) -> str:
    """Return a step's placement requirements, for a log line."""
    kind = 'serving' if step.is_service else 'batch'
    return (
        f'{step.count} {kind} {step.cpu_millicores}m {step.memory_mb}MB'
        f' {step.estimate_ms}ms spread={step.spread_limit}'
        f' miss={step.max_unavailable} tail={step.latency_target_ms}'
        f' gang={step.is_gang} rack-local={step.is_rack_local}'
        f' label={step.label} rack={step.data_rack}'
        f' copies={step.has_copies} filler={step.is_filler}'
    )


@_handle_call.register
async def _handle_read_job(call: ReadJob, handler: CallHandler) -> AnyReply:
    await handler.term.barrier.wait()
    if not handler.store.manifest.version:
        return _NO_MANIFEST
    found = handler.find_queue(call)
    if found is None:
        return NotFound()
    queue, job_id = found
    job = handler.store.jobs.get(job_id)
    denial = handler.check_access(call, queue, job)
    if denial is not None:
        return denial
    if not job_id:
        return WaitingJobs(_count_waiting(handler.store, queue))
    if job is None:
        return NoSuchJob()
    return JobState(job.phase, job.has_started)


def _count_waiting(store: JobStore, queue: QueueSpec) -> int:
    return sum(
        job.is_active and not job.has_started
        for job in store.jobs.values()
        if job.queue.name == queue.name
    )


@_handle_call.register
async def _handle_cancel_job(
    call: CancelJobCall, handler: CallHandler
) -> AnyReply:
    found = handler.find_queue(call)
    job_id = found[1] if found else call.path.rpartition('/')[2]
    if job_id not in handler.store.jobs:
        await handler.term.barrier.wait()
    job = handler.store.jobs.get(job_id)
    # A job can be cancelled even after its queue was removed.
    queue = _queue_of(found, job)
    denial = handler.check_access(call, queue, job) if queue else None
    if denial is not None:
        await handler.term.barrier.wait()
        return denial
    owner = handler.owner(call, queue)
    if owner is None or not _JOB_ID.fullmatch(job_id):
        # No request with this credential and id can submit a job.
        return NoSuchJob()
    # An unknown job may be submitted by a request that is still on its way.
    result = await handler.term.propose(CancelJob(job_id, owner))
    match result:
        case CommandResult.OTHERS:
            return Forbidden(owner)
        case CommandResult.FULL:
            handler.metrics.count('early_cancels', 'refused')
            return NotDone(WhyNot.OVERLOADED)
        case CommandResult.UNKNOWN:
            handler.metrics.count('early_cancels', 'remembered')
            return NoSuchJob()
    handler.note_cancelled(job_id, 'cancelled by its caller')
    handler.term.wake.set()
    return Done()


def _queue_of(
    found: tuple[QueueSpec, str] | None, job: JobRecord | None
) -> QueueSpec | None:
    if found is not None:
        return found[0]
    return None if job is None else job.queue


@_handle_call.register
async def _handle_read_manifest(
    call: ReadManifest, handler: CallHandler
) -> AnyReply:
    await handler.term.barrier.wait()
    manifest = handler.store.manifest
    return ManifestText(manifest.document) if manifest.version else _NO_MANIFEST


@_handle_call.register
async def _handle_put_manifest(
    call: PutManifest, handler: CallHandler
) -> AnyReply:
    before = handler.store.manifest.version
    await handler.term.propose(SetManifest(call.manifest))
    handler.log.info(
        LogEvent.MANIFEST_ACCEPTED,
        version=call.manifest.version,
        before=before,
        in_force=handler.store.manifest.version,
    )
    handler.term.wake.set()
    return Done()


@_handle_call.register
async def _handle_start_wave(
    call: StartWaveCall, handler: CallHandler
) -> AnyReply:
    await handler.term.propose(
        StartWave(call.wave, call.vms, call.due_after_s, call.limit),
    )
    handler.log.info(
        LogEvent.WAVE_ACCEPTED,
        wave=call.wave,
        vms=len(call.vms),
        limit=call.limit,
        due_after_s=call.due_after_s,
    )
    return Done()


@_handle_call.register
async def _handle_read_wave(call: ReadWave, handler: CallHandler) -> AnyReply:
    await handler.term.barrier.wait()
    wave = handler.store.waves.get(call.wave)
    return NotFound() if wave is None else WaveState(wave.is_done)


@_handle_call.register
async def _handle_heartbeat(call: HearWorker, handler: CallHandler) -> AnyReply:
    orders = await handler.term.receive_heartbeat(call.report)
    return Unknown() if orders is None else Orders(orders)


@_handle_call.register
async def _handle_drop_worker(
    call: DropWorker, handler: CallHandler
) -> AnyReply:
    handler.term.mark_leaving(call.worker)
    await handler.term.barrier.wait()
    return Done()
