"""Decode jobs and encode what became of them."""

from __future__ import annotations

from types import MappingProxyType

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.jobs import JobPhase, JobSpec, StepSpec
from wigeonreach.platform._bodies import (
    Amount,
    UnreadableBodyError,
    decode_body,
)
from wigeonreach.wire._call_replies import JobState, WaitingJobs

_MAX_PAYLOAD_BYTES = 4000
# Far above what any caller sends; a job's tasks are kept one by one.
_MAX_TASKS = 20_000
_STATES = MappingProxyType(
    {
        JobPhase.COMPLETED: 'completed',
        JobPhase.FAILED: 'failed',
        JobPhase.CANCELLED: 'cancelled',
    },
)


class _Phase(msgspec.Struct, frozen=True, rename='camel'):
    """One step; the platform calls it a phase."""

    count: Amount
    # In thousandths of a processor.
    cpu: Amount = 0
    mem_mb: Amount = 0
    # A number of accelerators.
    gpu: Amount = 0
    estimated_ms: Amount = 0
    depends_on: tuple[Amount, ...] = ()
    gang: bool = False
    rack_local: bool = False
    # One label, in spite of the plural.
    requirements: str = ''
    # The rack where the data lies.
    affinity: str = ''
    # Most tasks of one occurrence on one worker.
    anti_affinity: Amount = 0
    # Whether progress is saved.
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    # The tail of a serving task's response times has to stay below this.
    target_ms: Amount = 0
    # Not a figure: the tasks live on what others leave unused.
    utilisation: bool = False
    # Tasks that this system's own actions may take away at once.
    miss_allowed: Amount = 0

    def to_step(self) -> StepSpec:
        """Return it in the product's words."""
        return StepSpec(
            count=self.count,
            cpu_millicores=self.cpu,
            memory_mb=self.mem_mb,
            accelerators=self.gpu,
            estimate_ms=self.estimated_ms,
            after=self.depends_on,
            is_gang=self.gang,
            is_rack_local=self.rack_local,
            label=self.requirements,
            data_rack=self.affinity,
            spread_limit=self.anti_affinity,
            saves_progress=self.checkpointing,
            has_copies=self.speculative,
            is_service=self.long_running,
            image=self.image,
            latency_target_ms=self.target_ms,
            is_filler=self.utilisation,
            may_miss=self.miss_allowed or None,
        )


class _Job(msgspec.Struct, frozen=True, rename='camel'):
    """A submitted job."""

    # Not a specification: text that each task is given.
    spec: str
    phases: tuple[_Phase, ...]
    start_at_ms: Amount = 0
    interval_ms: Amount = 0
    # 0 for a job that runs once, at once.
    repetitions: Amount = 0


_JOBS = msgspec.json.Decoder(_Job)


def decode_job(body: bytes) -> JobSpec:
    """Return a submitted job; its id is not in the body.

    Raises
    ------
    RequestRefusedError
        If the body is not a job that could run.
    """
    try:
        job = decode_body(_JOBS, body)
    except UnreadableBodyError as error:
        raise _refused(str(error)) from error
    _check(job)
    return JobSpec(
        job_id='',
        payload=job.spec,
        steps=tuple(phase.to_step() for phase in job.phases),
        first_due_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
        occurrences=max(job.repetitions, 1),
    )


def encode_state(state: JobState) -> bytes:
    """Return the body that tells where a job is."""
    word = _STATES.get(state.phase)
    if word is None:
        word = 'running' if state.has_started else 'queued'
    return msgspec.json.encode({'state': word})


def encode_waiting(waiting: WaitingJobs) -> bytes:
    """Return the body that tells how many jobs wait."""
    return msgspec.json.encode({'pending': waiting.count})


def _check(job: _Job) -> None:
    if len(job.spec.encode(errors='replace')) > _MAX_PAYLOAD_BYTES:
        raise _refused(f'spec: longer than {_MAX_PAYLOAD_BYTES} bytes')
    if not job.phases:
        raise _refused('phases: at least one')
    for number, phase in enumerate(job.phases):
        _check_phase(number, phase)
    tasks = sum(phase.count for phase in job.phases)
    if tasks * max(job.repetitions, 1) > _MAX_TASKS:
        raise _refused(f'phases: more than {_MAX_TASKS} tasks')


def _check_phase(number: int, phase: _Phase) -> None:
    if phase.count < 1:
        raise _refused(f'phases[{number}].count: {phase.count}; allowed: 1 up')
    if any(not 0 <= earlier < number for earlier in phase.depends_on):
        raise _refused(f'phases[{number}].dependsOn: earlier phases only')


def _refused(detail: str) -> RequestRefusedError:
    return RequestRefusedError(ResultCode.JOB_INVALID, detail)
