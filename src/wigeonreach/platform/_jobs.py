"""Decode submitted jobs and encode their states."""

from __future__ import annotations

from types import MappingProxyType

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.jobs import JobPhase, JobSpec, StepSpec
from wigeonreach.platform._bodies import (
    NonNegativeInt,
    UnreadableBodyError,
    decode_body,
)
from wigeonreach.wire._call_replies import JobState, WaitingJobs

_MAX_PAYLOAD_BYTES = 4000
# Far above what any client sends; every task is stored as a separate record.
_MAX_TASKS = 20_000
_STATE_NAMES = MappingProxyType(
    {
        JobPhase.COMPLETED: 'completed',
        JobPhase.FAILED: 'failed',
        JobPhase.CANCELLED: 'cancelled',
    },
)


class _Phase(msgspec.Struct, frozen=True, rename='camel'):
    """A step of a job, which the platform calls a phase."""

    count: NonNegativeInt
    # In thousandths of a processor.
    cpu: NonNegativeInt = 0
    mem_mb: NonNegativeInt = 0
    # A number of accelerators.
    gpu: NonNegativeInt = 0
    estimated_ms: NonNegativeInt = 0
    depends_on: tuple[NonNegativeInt, ...] = ()
    gang: bool = False
    rack_local: bool = False
    # A single label, in spite of the plural.
    requirements: str = ''
    # The rack that holds the step's data.
    affinity: str = ''
    # Maximum number of tasks of one occurrence on the same worker; 0 for no
    # limit.
    anti_affinity: NonNegativeInt = 0
    # Whether the tasks save checkpoints.
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    # Upper bound for the tail latency of a serving task.
    target_ms: NonNegativeInt = 0
    # Whether the tasks only use capacity that others leave idle.
    utilisation: bool = False
    # How many tasks this system's own actions may interrupt at the same time;
    # 0 for no guarantee.
    miss_allowed: NonNegativeInt = 0

    def to_step(self) -> StepSpec:
        """Return the step under the field names of this system."""
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
            max_unavailable=self.miss_allowed or None,
        )


class _Job(msgspec.Struct, frozen=True, rename='camel'):
    """A submitted job."""

    # Opaque payload that is passed to each task, not a specification.
    spec: str
    phases: tuple[_Phase, ...]
    start_at_ms: NonNegativeInt = 0
    interval_ms: NonNegativeInt = 0
    # How many times the job runs; 0 means once, like 1.
    repetitions: NonNegativeInt = 0


_JOB_DECODER = msgspec.json.Decoder(_Job)


def decode_job(body: bytes) -> JobSpec:
    """Decode a submitted job; its id is left empty as the body has none.

    Raises
    ------
    RequestRefusedError
        If the body is malformed or the job could not run.
    """
    try:
        job = decode_body(_JOB_DECODER, body)
    except UnreadableBodyError as error:
        raise _invalid_job(str(error)) from error
    _validate(job)
    return JobSpec(
        job_id='',
        payload=job.spec,
        steps=tuple(phase.to_step() for phase in job.phases),
        first_due_ms=job.start_at_ms,
        interval_ms=job.interval_ms,
        occurrences=max(job.repetitions, 1),
    )


def encode_state(state: JobState) -> bytes:
    """Return the response body for the state of a job."""
    name = _STATE_NAMES.get(state.phase)
    if name is None:
        name = 'running' if state.has_started else 'queued'
    return msgspec.json.encode({'state': name})


def encode_waiting(waiting: WaitingJobs) -> bytes:
    """Return the response body for the number of waiting jobs."""
    return msgspec.json.encode({'pending': waiting.count})


def _validate(job: _Job) -> None:
    if len(job.spec.encode(errors='replace')) > _MAX_PAYLOAD_BYTES:
        raise _invalid_job(f'spec: longer than {_MAX_PAYLOAD_BYTES} bytes')
    if not job.phases:
        raise _invalid_job('phases: at least one')
    for number, phase in enumerate(job.phases):
        _validate_phase(number, phase)
    tasks = sum(phase.count for phase in job.phases)
    if tasks * max(job.repetitions, 1) > _MAX_TASKS:
        raise _invalid_job(f'phases: more than {_MAX_TASKS} tasks')


def _validate_phase(number: int, phase: _Phase) -> None:
    if phase.count < 1:
        raise _invalid_job(
            f'phases[{number}].count: {phase.count}; allowed: 1 up',
        )
    if any(not 0 <= earlier < number for earlier in phase.depends_on):
        raise _invalid_job(f'phases[{number}].dependsOn: earlier phases only')


def _invalid_job(detail: str) -> RequestRefusedError:
    return RequestRefusedError(ResultCode.JOB_INVALID, detail)
