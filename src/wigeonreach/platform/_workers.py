"""Decode heartbeats of workers and encode their orders."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.platform._bodies import (
    MOST_EXACT,
    Amount,
    UnreadableBodyError,
    decode_body,
)
from wigeonreach.jobs import RunEnd, TaskKey
from wigeonreach.wire._worker_messages import (
    START_MARK,
    EndedRun,
    RunningTask,
    StartOrder,
    WorkerOrders,
    WorkerReport,
    incarnation_name,
)

_ENDS: Mapping[str, RunEnd] = MappingProxyType(
    {
        'done': RunEnd.DONE,
        'failed': RunEnd.FAILED,
        'stopped': RunEnd.STOPPED,
        'lapsed': RunEnd.LAPSED,
        # Another member of its gang ended.
        'broken': RunEnd.PEER_ENDED,
        # The other members of its gang did not come.
        'alone': RunEnd.PEERS_MISSING,
        'refused': RunEnd.REFUSED,
    },
)
# ID.OCCURRENCE.STEP.INDEX, in plain digits.
_TASK = re.compile(r'([^.]+)\.([0-9]{1,9})\.([0-9]{1,9})\.([0-9]{1,9})')
# Figures may be sent with a fraction.
_Figure = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
# Milliseconds from any beginning.
_Clock = Annotated[float, msgspec.Meta(ge=0, le=MOST_EXACT)]


class _Capacity(msgspec.Struct, frozen=True, rename='camel'):
    # In thousandths of a processor.
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _RunningRow(msgspec.Struct, frozen=True, array_like=True):
    task: str
    run: Amount
    # A checkpoint.
    saved: str
    percent: _Figure
    # See ``RunningTask.load``.
    load: _Figure = 0


class _EndedRow(msgspec.Struct, frozen=True, array_like=True):
    # Counts the ends of one incarnation.
    number: Amount
    task: str
    run: Amount
    how: str
    # A checkpoint.
    saved: str = ''


class _Beat(msgspec.Struct, frozen=True, rename='camel'):
    """A heartbeat."""

    service: str
    # Where the worker serves; a later incarnation may have the same.
    address: str
    zone: str
    # Counts the heartbeats of one incarnation.
    sequence: Amount
    state: Literal['ready', 'draining']
    capacity: _Capacity
    # The kind of the worker, then its rack.
    labels: tuple[str, ...]
    # When it started, in milliseconds since 1970.
    born: Amount | None = None
    # By the worker's steady clock.
    clock_ms: _Clock | None = None
    cold_remaining_ms: _Figure = 0
    # The VM under the worker.
    machine: str = ''
    # Least time that a draining worker still has.
    remaining_ms: _Figure = 0
    running: tuple[_RunningRow, ...] = ()
    finished: tuple[_EndedRow, ...] = ()


class _Farewell(msgspec.Struct, frozen=True):
    """What a worker says when it ends."""

    # See ``_Beat.born``.
    born: Amount | None = None


_BEATS = msgspec.json.Decoder(_Beat)
_FAREWELLS = msgspec.json.Decoder(_Farewell)


def decode_heartbeat(worker_id: str, body: bytes) -> WorkerReport:
    """Return what a worker says of itself.

    Raises
    ------
    RequestRefusedError
        If any part of the body is not understood: what another writer made
        up in part is not to be trusted in the rest.
    """
    try:
        return _report(worker_id, decode_body(_BEATS, body))
    except UnreadableBodyError as error:
        raise RequestRefusedError(
            ResultCode.ANNOUNCE_INVALID,
            f'heartbeat of {worker_id}: {error}',
        ) from error


def decode_farewell(worker_id: str, body: bytes) -> str:
    """Return the name of the incarnation that says that it ends.

    Raises
    ------
    RequestRefusedError
        If there is a body that is not understood.
    """
    try:
        said = decode_body(_FAREWELLS, body) if body else _Farewell()
        return _name(worker_id, said.born)
    except UnreadableBodyError as error:
        raise RequestRefusedError(
            ResultCode.ANNOUNCE_INVALID,
            f'end of {worker_id}: {error}',
        ) from error


def encode_orders(orders: WorkerOrders) -> bytes:
    """Return the answer to a heartbeat."""
    answer: dict[str, object] = {}
    if orders.next_core:
        answer['heartbeatEndpoint'] = orders.next_core
    if orders.lease_ms:
        answer['holdMs'] = orders.lease_ms
        answer['ackedSeq'] = orders.acknowledged
        answer['fencingToken'] = orders.fence
    if orders.next_after_ms:
        answer['retryAfterMs'] = orders.next_after_ms
    answer.update(_order_rows(orders))
    return msgspec.json.encode(answer)


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


def _name(worker_id: str, born_ms: int | None) -> str:
    if START_MARK in worker_id:
        raise UnreadableBodyError(f'no worker id {worker_id!r}')
    return incarnation_name(worker_id, born_ms)


def _report(worker_id: str, beat: _Beat) -> WorkerReport:
    return WorkerReport(
        worker=_name(worker_id, beat.born),
        vm=beat.machine,
        service=beat.service,
        address=beat.address,
        zone=beat.zone,
        sequence=beat.sequence,
        is_draining=beat.state == 'draining',
        drain_left_ms=int(beat.remaining_ms),
        cold_ms=int(beat.cold_remaining_ms),
        cpu_millicores=beat.capacity.cpu,
        memory_mb=beat.capacity.mem_mb,
        accelerators=beat.capacity.gpu,
        labels=beat.labels,
        rack=rack_of(beat.labels),
        running=tuple(_running(row) for row in beat.running),
        ended=tuple(_ended(row) for row in beat.finished),
        clock_ms=None if beat.clock_ms is None else int(beat.clock_ms),
    )


def rack_of(labels: Sequence[str]) -> str:
    """Return the rack, which the platform puts behind the kind of a VM."""
    return labels[1] if len(labels) > 1 else ''


def _running(row: _RunningRow) -> RunningTask:
    return RunningTask(
        _parse_task(row.task),
        row.run,
        row.saved,
        int(row.percent),
        int(row.load),
    )


def _ended(row: _EndedRow) -> EndedRun:
    end = _ENDS.get(row.how)
    if end is None:
        raise UnreadableBodyError(f'unknown end {row.how!r}')
    return EndedRun(row.number, _parse_task(row.task), row.run, end, row.saved)


def _parse_task(name: str) -> TaskKey:
    parts = _TASK.fullmatch(name)
    if parts is None:
        raise UnreadableBodyError(f'no task {name!r}')
    job_id, occurrence, step, index = parts.groups()
    return TaskKey(job_id, int(occurrence), int(step), int(index))


def _task_name(key: TaskKey) -> str:
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'
