"""Decode workers' heartbeats and encode the orders sent back to them."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.platform._bodies import (
    MAX_SAFE_INTEGER,
    NonNegativeInt,
    UnreadableBodyError,
    decode_body,
)
from wigeonreach.jobs import RunEnd, TaskKey
from wigeonreach.wire._worker_messages import (
    START_SEPARATOR,
    EndedRun,
    RunningTask,
    StartOrder,
    WorkerOrders,
    WorkerReport,
    incarnation_name,
)

_RUN_END_BY_NAME: Mapping[str, RunEnd] = MappingProxyType(
    {
        'done': RunEnd.DONE,
        'failed': RunEnd.FAILED,
        'stopped': RunEnd.STOPPED,
        'lapsed': RunEnd.LAPSED,
        # Another task of its gang ended.
        'broken': RunEnd.PEER_ENDED,
        # The other tasks of its gang did not start.
        'alone': RunEnd.PEERS_MISSING,
        'refused': RunEnd.REFUSED,
    },
)
# ID.OCCURRENCE.STEP.INDEX, with ASCII digits only.
_TASK_PATTERN = re.compile(r'([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})')
# Measurements may be sent with a fraction.
_Measurement = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]
# Milliseconds since an arbitrary point in time.
_ClockMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]


class _Capacity(msgspec.Struct, frozen=True, rename='camel'):
    # In thousandths of a processor.
    cpu: NonNegativeInt
    mem_mb: NonNegativeInt
    gpu: NonNegativeInt


class _RunningRow(msgspec.Struct, frozen=True, array_like=True):
    task: str
    run: NonNegativeInt
    checkpoint: str
    percent: _Measurement
    # See ``RunningTask.load``.
    load: _Measurement = 0


class _EndedRow(msgspec.Struct, frozen=True, array_like=True):
    # Counts the ended runs of one incarnation.
    number: NonNegativeInt
    task: str
    run: NonNegativeInt
    outcome: str
    checkpoint: str = ''


class _Heartbeat(msgspec.Struct, frozen=True, rename='camel'):
    """A heartbeat.

    Every worker sends all fields without a default.  A heartbeat that lacks one
    was created by another writer: if its missing lists counted as empty, the
    runs of a worker would be withdrawn while they are at work.
    """

    service: _Name
    # Address that the worker listens on; a later incarnation may reuse it.
    address: _Name
    zone: _Name
    # Version of the worker's software, and how many requests it can handle at
    # once; not used.
    version: str
    slots: NonNegativeInt
    # Counts the heartbeats of one incarnation.
    sequence: NonNegativeInt
    state: Literal['ready', 'draining']
    capacity: _Capacity
    # The kind of the worker, then its rack.
    labels: Annotated[tuple[str, ...], msgspec.Meta(min_length=2)]
    # The worker's monotonic clock.
    clock_ms: _ClockMs
    cold_remaining_ms: _Measurement
    # The VM that the worker runs on.
    machine: _Name
    running: tuple[_RunningRow, ...]
    finished: tuple[_EndedRow, ...]
    # Start time of the worker in milliseconds since 1970; only sent by workers
    # that may restart under the same id.
    born: NonNegativeInt | None = None
    # How long a draining worker stays up at least; only sent while it drains.
    remaining_ms: _Measurement = 0


class _Deregistration(msgspec.Struct, frozen=True):
    """Request body of a worker that is shutting down."""

    # See ``_Heartbeat.born``.
    born: NonNegativeInt | None = None


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_DEREGISTRATION_DECODER = msgspec.json.Decoder(_Deregistration)


def decode_heartbeat(worker_id: str, body: bytes) -> WorkerReport:
    """Decode a heartbeat.

    Raises
    ------
    RequestRefusedError
        If any part of the body is malformed: if a sender got one part wrong,
        the rest can't be trusted either.
    """
    try:
        return _worker_report(worker_id, decode_body(_HEARTBEAT_DECODER, body))
    except UnreadableBodyError as error:
        raise RequestRefusedError(
            ResultCode.ANNOUNCE_INVALID,
            f'heartbeat of {worker_id}: {error}',
        ) from error


def decode_deregistration(worker_id: str, body: bytes) -> str:
    """Return the name of the incarnation that deregisters.

    Parameters
    ----------
    worker_id
        Id of the worker.
    body
        Request body; may be empty.

    Raises
    ------
    RequestRefusedError
        If the body is neither empty nor well-formed.
    """
    try:
        request = (
            decode_body(_DEREGISTRATION_DECODER, body)
            if body
            else _Deregistration()
        )
        return _incarnation_of(worker_id, request.born)
    except UnreadableBodyError as error:
        raise RequestRefusedError(
            ResultCode.ANNOUNCE_INVALID,
            f'end of {worker_id}: {error}',
        ) from error


def encode_orders(orders: WorkerOrders) -> bytes:
    """Return the response body for a heartbeat."""
    response: dict[str, object] = {}
    if orders.next_core:
        response['heartbeatEndpoint'] = orders.next_core
    if orders.lease_ms:
        response['holdMs'] = orders.lease_ms
    if orders.lease_ms or orders.fence:
        response['ackedSeq'] = orders.acknowledged
        response['fencingToken'] = orders.fence
    if orders.next_after_ms:
        response['retryAfterMs'] = orders.next_after_ms
    response.update(_order_rows(orders))
    return msgspec.json.encode(response)


def _order_rows(orders: WorkerOrders) -> dict[str, object]:
    rows: dict[str, object] = {}
    if orders.starts:
        rows['startTasks'] = [_start_row(start) for start in orders.starts]
    if orders.stops:
        rows['stopTasks'] = [
            (_task_name(stop.task), stop.run) for stop in orders.stops
        ]
    if orders.paces:
        rows['rate'] = [
            (_task_name(pace.task), pace.run, pace.percent)
            for pace in orders.paces
        ]
    return rows


def _start_row(start: StartOrder) -> tuple[object, ...]:
    row = (_task_name(start.task), start.run, start.payload, start.checkpoint)
    return (*row, start.ticket) if start.ticket else row


def _incarnation_of(worker_id: str, born_ms: int | None) -> str:
    if START_SEPARATOR in worker_id:
        raise UnreadableBodyError(f'no worker id {worker_id!r}')
    return incarnation_name(worker_id, born_ms)


def _worker_report(worker_id: str, heartbeat: _Heartbeat) -> WorkerReport:
    return WorkerReport(
        worker=_incarnation_of(worker_id, heartbeat.born),
        vm=heartbeat.machine,
        service=heartbeat.service,
        address=heartbeat.address,
        zone=heartbeat.zone,
        sequence=heartbeat.sequence,
        is_draining=heartbeat.state == 'draining',
        drain_left_ms=int(heartbeat.remaining_ms),
        cold_remaining_ms=int(heartbeat.cold_remaining_ms),
        cpu_millicores=heartbeat.capacity.cpu,
        memory_mb=heartbeat.capacity.mem_mb,
        accelerators=heartbeat.capacity.gpu,
        labels=heartbeat.labels,
        rack=rack_of(heartbeat.labels),
        running=tuple(_running_task(row) for row in heartbeat.running),
        ended=tuple(_ended_run(row) for row in heartbeat.finished),
        clock_ms=int(heartbeat.clock_ms),
    )


def rack_of(labels: Sequence[str]) -> str:
    """Return the rack, which the platform lists after the kind of a VM."""
    return labels[1] if len(labels) > 1 else ''


def _running_task(row: _RunningRow) -> RunningTask:
    return RunningTask(
        _parse_task(row.task),
        row.run,
        row.checkpoint,
        int(row.percent),
        int(row.load),
    )


def _ended_run(row: _EndedRow) -> EndedRun:
    end = _RUN_END_BY_NAME.get(row.outcome)
    if end is None:
        raise UnreadableBodyError(f'unknown end {row.outcome!r}')
    return EndedRun(
        row.number, _parse_task(row.task), row.run, end, row.checkpoint
    )


def _parse_task(name: str) -> TaskKey:
    parts = _TASK_PATTERN.fullmatch(name)
    if parts is None:
        raise UnreadableBodyError(f'no task {name!r}')
    job_id, occurrence, step, index = parts.groups()
    return TaskKey(job_id, int(occurrence), int(step), int(index))


def _task_name(key: TaskKey) -> str:
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'
