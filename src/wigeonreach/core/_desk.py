"""Answer calls as the leader."""

from __future__ import annotations

import functools
import re

from wigeonreach.core._term import LeaderTerm
from wigeonreach.jobs import (
    AddJob,
    CancelJob,
    JobBook,
    QueueSpec,
    SetManifest,
    StartWave,
    StepSpec,
    Verdict,
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
)
from wigeonreach.wire._call_replies import (
    AnyReply,
    Done,
    Invalid,
    JobState,
    ManifestText,
    NoSuchJob,
    NotDone,
    NotFound,
    Orders,
    Unknown,
    WaitingJobs,
    WaveState,
    WhyNot,
)

_JOB_ID = re.compile('[0-9a-f]{16}')
_NO_MANIFEST = NotDone(WhyNot.NO_MANIFEST)


class Desk:
    """What a leader answers.

    Parameters
    ----------
    term
        Under which it leads.
    book
        The replicated state; it is only read here.
    logger, metrics
        Where decisions are logged and counted.
    """

    def __init__(
        self,
        term: LeaderTerm,
        book: JobBook,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Answer by the state of the book."""
        self.term = term
        self.book = book
        self.log = logger
        self.metrics = metrics

    async def answer(self, call: object) -> AnyReply:
        """Answer one call.

        Raises
        ------
        StateError
            If a quorum did not confirm: the call may have had its effect.
        """
        return await _on(call, self)

    def queue_of(self, call: QueueCall) -> tuple[QueueSpec, str] | None:
        """Return a call's queue and what follows its prefix."""
        queue = self.book.manifest.queue_of(call.host, call.path)
        if queue is None:
            return None
        return queue, call.path.removeprefix(queue.path_prefix)


@functools.singledispatch
async def _on(call: object, desk: Desk) -> AnyReply:
    raise TypeError(type(call).__name__)


@_on.register
async def _on_submit(call: SubmitJob, desk: Desk) -> AnyReply:
    if not desk.book.manifest.version:
        return _NO_MANIFEST
    found = desk.queue_of(call)
    if found is None:
        await desk.term.barrier.wait()
        return NotFound()
    queue, job_id = found
    if not _JOB_ID.fullmatch(job_id):
        return Invalid(f'job id {job_id!r}; allowed: 16 hexadecimal digits')
    verdict = await desk.term.propose(AddJob(call.spec_for(job_id), queue.name))
    if verdict is Verdict.NO_QUEUE:
        return NotFound()
    if verdict is Verdict.DONE:
        desk.metrics.count('jobs_accepted')
        desk.term.wake.set()
        desk.log.info(
            LogEvent.JOB_ACCEPTED,
            job=job_id,
            queue=queue.name,
            version=desk.book.manifest.version,
            steps=[_shape(step) for step in call.spec.steps],
        )
    return Done()


def _shape(step: StepSpec) -> str:
    """Return what decides where a step's tasks may go, for a log line."""
    kind = 'serving' if step.is_service else 'batch'
    return (
        f'{step.count} {kind} {step.cpu_millicores}m {step.memory_mb}MB'
        f' {step.estimate_ms}ms spread={step.spread_limit}'
        f' miss={step.may_miss} tail={step.latency_target_ms}'
    )


@_on.register
async def _on_read_job(call: ReadJob, desk: Desk) -> AnyReply:
    await desk.term.barrier.wait()
    if not desk.book.manifest.version:
        return _NO_MANIFEST
    found = desk.queue_of(call)
    if found is None:
        return NotFound()
    queue, job_id = found
    if not job_id:
        return WaitingJobs(_count_waiting(desk.book, queue))
    job = desk.book.jobs.get(job_id)
    if job is None:
        return NoSuchJob()
    return JobState(job.phase, job.has_started)


def _count_waiting(book: JobBook, queue: QueueSpec) -> int:
    return sum(
        job.is_active and not job.has_started
        for job in book.jobs.values()
        if job.queue.name == queue.name
    )


@_on.register
async def _on_cancel(call: CancelJobCall, desk: Desk) -> AnyReply:
    found = desk.queue_of(call)
    job_id = found[1] if found else call.path.rpartition('/')[2]
    if job_id not in desk.book.jobs:
        await desk.term.barrier.wait()
        if job_id not in desk.book.jobs:
            return NoSuchJob()
    verdict = await desk.term.propose(CancelJob(job_id))
    if verdict is Verdict.UNKNOWN:
        return NoSuchJob()
    desk.log.info(LogEvent.JOB_CANCELLED, job=job_id)
    desk.term.wake.set()
    return Done()


@_on.register
async def _on_read_manifest(call: ReadManifest, desk: Desk) -> AnyReply:
    await desk.term.barrier.wait()
    manifest = desk.book.manifest
    return ManifestText(manifest.document) if manifest.version else _NO_MANIFEST


@_on.register
async def _on_put_manifest(call: PutManifest, desk: Desk) -> AnyReply:
    before = desk.book.manifest.version
    await desk.term.propose(SetManifest(call.manifest))
    desk.log.info(
        LogEvent.MANIFEST_ACCEPTED,
        version=call.manifest.version,
        before=before,
        in_force=desk.book.manifest.version,
    )
    desk.term.wake.set()
    return Done()


@_on.register
async def _on_start_wave(call: StartWaveCall, desk: Desk) -> AnyReply:
    await desk.term.propose(
        StartWave(call.wave, call.vms, call.due_after_s, call.limit),
    )
    desk.log.info(
        LogEvent.WAVE_ACCEPTED,
        wave=call.wave,
        vms=len(call.vms),
        limit=call.limit,
        due_after_s=call.due_after_s,
    )
    return Done()


@_on.register
async def _on_read_wave(call: ReadWave, desk: Desk) -> AnyReply:
    await desk.term.barrier.wait()
    wave = desk.book.waves.get(call.wave)
    return NotFound() if wave is None else WaveState(wave.is_done)


@_on.register
async def _on_hear(call: HearWorker, desk: Desk) -> AnyReply:
    orders = await desk.term.hear(call.report)
    return Unknown() if orders is None else Orders(orders)


@_on.register
async def _on_drop(call: DropWorker, desk: Desk) -> AnyReply:
    desk.term.note_leaving(call.worker)
    await desk.term.barrier.wait()
    return Done()
