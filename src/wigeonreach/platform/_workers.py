"""Decode heartbeats of workers and encode their orders."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.jobs import RunEnd, TaskKey
from wigeonreach.wire._worker_messages import (
    EndedRun,
    RunningTask,
    WorkerOrders,
    WorkerReport,
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
_TASK_PARTS = 4


class _Capacity(msgspec.Struct, frozen=True, rename='camel'):
    # In thousandths of a processor.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Beat(msgspec.Struct, frozen=True, rename='camel'):
    """A heartbeat."""

    service: str
    # Where the worker serves; a later incarnation may have the same.
    address: str
    zone: str
    # Counts the heartbeats of one incarnation.
    sequence: int
    # "ready" or "draining".
    state: str = 'ready'
    cold_remaining_ms: int = 0
    capacity: _Capacity = _Capacity()
    # The kind of the worker, then its rack.
    labels: tuple[str, ...] = ()
    # The VM under the worker.
    machine: str = ''
    # Least time that a draining worker still has.
    remaining_ms: int = 0
    # Rows of task, run, checkpoint, percent and load.
    running: tuple[tuple[Any, ...], ...] = ()
    # Rows of number, task, run, how and checkpoint.
    finished: tuple[tuple[Any, ...], ...] = ()


_BEATS = msgspec.json.Decoder(_Beat)


def decode_heartbeat(worker: str, body: bytes) -> WorkerReport:
    """Return what a worker says of itself.

    Raises
    ------
    RequestRefusedError
        If the body is not a heartbeat.
    """
    try:
        beat = _BEATS.decode(body)
        return _report(worker, beat)
    except (msgspec.MsgspecError, ValueError, KeyError) as error:
        raise RequestRefusedError(
            ResultCode.ANNOUNCE_INVALID,
            f'heartbeat of {worker}: {error!r}',
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


def _start_row(start: Any) -> tuple[object, ...]:
    row = (_task_name(start.task), start.run, start.payload, start.checkpoint)
    return (*row, start.ticket) if start.ticket else row


def _report(worker: str, beat: _Beat) -> WorkerReport:
    return WorkerReport(
        worker=worker,
        vm=beat.machine,
        service=beat.service,
        address=beat.address,
        zone=beat.zone,
        sequence=beat.sequence,
        is_draining=beat.state == 'draining',
        drain_left_ms=beat.remaining_ms,
        cold_ms=beat.cold_remaining_ms,
        cpu_millicores=beat.capacity.cpu,
        memory_mb=beat.capacity.mem_mb,
        accelerators=beat.capacity.gpu,
        labels=beat.labels,
        rack=rack_of(beat.labels),
        running=tuple(_running(row) for row in beat.running),
        ended=tuple(_ended(row) for row in beat.finished),
    )


def rack_of(labels: Sequence[str]) -> str:
    """Return the rack, which the platform puts behind the kind of a VM."""
    return labels[1] if len(labels) > 1 else ''


def _running(row: Sequence[Any]) -> RunningTask:
    task, run, checkpoint, percent, *load = row
    return RunningTask(
        _parse_task(task),
        int(run),
        str(checkpoint),
        int(percent),
        int(load[0]) if load else 0,
    )


def _ended(row: Sequence[Any]) -> EndedRun:
    number, task, run, how, checkpoint = row
    return EndedRun(
        int(number),
        _parse_task(task),
        int(run),
        _ENDS[how],
        str(checkpoint),
    )


def _parse_task(name: str) -> TaskKey:
    """Read ID.OCCURRENCE.STEP.INDEX."""
    parts = name.split('.')
    if len(parts) != _TASK_PARTS or not all(map(str.isdecimal, parts[1:])):
        raise ValueError(name)
    job_id, occurrence, step, index = parts
    return TaskKey(job_id, int(occurrence), int(step), int(index))


def _task_name(key: TaskKey) -> str:
    return f'{key.job_id}.{key.occurrence}.{key.step}.{key.index}'
