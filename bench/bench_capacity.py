"""Measure the unit costs from which the capacity page is calculated."""

from __future__ import annotations

import asyncio
import functools
import pathlib
import shutil
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence

import aiohttp
import msgpack
import msgspec

from bench.capacity_manager import manager_figures
from bench.capacity_state import state_figures
from bench.cluster import Cluster, Shape
from bench.figures import Figure, unbounded
from bench.relay import Relay
from bench.usage import Usage, read_usage
from wigeonreach.entry._membership import Membership
from wigeonreach.wire._peer_messages import Heartbeat
from wigeonreach.wire._target_messages import (
    Renewal,
    TargetRecord,
    Targets,
    TargetState,
)

_NAME = 'capacity'
_FOLDER = pathlib.Path('run/capacity')
_TEXT = 'examples/fleet.toml'
_RATES_PER_S = (0, 50, 100, 200)
_STEP_S = 3.0
_RECORD_COUNT = 2000
_REPEATS = 5
_US_PER_S = 1_000_000
_RENEWAL = Renewal('service-12-2012', 1_764_700_000_000_000_000, 99_999, 0.1)
_HEARTBEAT = Heartbeat(98765.4321, 98765.1234, 1_764_700_000_000_000_000)
_SHAPE = Shape(
    zones=('a',),
    entries_per_zone=2,
    services=(),
    targets_per_service=0,
)


def run() -> Iterable[Figure]:
    """Measure records in memory, then daemons as processes."""
    yield from _record_figures()
    yield from state_figures()
    shutil.rmtree(_FOLDER, ignore_errors=True)
    cluster = Cluster(_SHAPE, _FOLDER)
    try:
        yield from _process_figures(cluster)
    finally:
        cluster.stop()
    yield from manager_figures()


def _record_figures() -> Iterable[Figure]:
    records = _records(_RECORD_COUNT, sequence=1)
    encoded = msgspec.msgpack.encode(Targets(records))
    yield unbounded(
        _NAME,
        'record_wire_bytes',
        len(encoded) / _RECORD_COUNT,
        'bytes/record',
    )
    yield unbounded(_NAME, 'renewal_bytes', _size(_RENEWAL), 'bytes/renewal')
    yield unbounded(
        _NAME, 'heartbeat_bytes', _size(_HEARTBEAT), 'bytes/heartbeat'
    )
    yield unbounded(
        _NAME, 'record_memory_bytes', _memory_bytes(), 'bytes/record'
    )
    merges_us = [_merge_us() for _ in range(_REPEATS)]
    yield unbounded(
        _NAME,
        'record_relay_us',
        statistics.median(merges_us),
        'us/record, read and merged',
    )


def _size(message: msgspec.Struct) -> int:
    return len(msgspec.msgpack.encode(message))


def _memory_bytes() -> float:
    tracemalloc.start()
    membership = Membership()
    _merge_all(membership, _records(_RECORD_COUNT, sequence=1))
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / _RECORD_COUNT


def _merge_us() -> float:
    membership = Membership()
    _merge_all(membership, _records(_RECORD_COUNT, sequence=1))
    newer = msgspec.msgpack.encode(
        Targets(_records(_RECORD_COUNT, sequence=2)),
    )
    started_s = time.process_time()
    # Like a channel: decode one message and validate it once.
    relayed = msgspec.convert(msgpack.unpackb(newer), Targets)
    _merge_all(membership, relayed.records)
    return (time.process_time() - started_s) / _RECORD_COUNT * _US_PER_S


def _merge_all(membership: Membership, records: Sequence[TargetRecord]) -> None:
    for record in records:
        membership.merge(record, 0)


def _records(count: int, sequence: int) -> tuple[TargetRecord, ...]:
    return tuple(
        TargetRecord(
            target_id=f'service-{number % 40}-{number}',
            service=f'service-{number % 40}',
            zone='region-1-a',
            address=f'127.0.{number // 250}.{number % 250}:8000',
            incarnation_ns=1_764_700_000_000_000_000 + number,
            sequence=sequence,
            state=TargetState.SERVING,
            slots=8,
            connections=64,
            lease_s=2.0,
        )
        for number in range(count)
    )


def _process_figures(cluster: Cluster) -> Iterable[Figure]:
    cluster.start()
    cluster.command_line('apply', _TEXT)
    cluster.wait_until_ready()
    announced_entry, _ = cluster.entries
    relay = Relay()
    links = relay.add('targets', announced_entry.name, announced_entry.http)
    replica = cluster.replicas[0]
    watched = {
        process.name: process.pid for process in (announced_entry, replica)
    }
    steps = [
        _measure(watched, functools.partial(_announce, links, rate_per_s))
        for rate_per_s in _RATES_PER_S
    ]
    yield from _idle_figures('entry', steps[0][announced_entry.name])
    yield from _idle_figures('replica', steps[0][replica.name])
    yield unbounded(
        _NAME,
        'announce_http_us',
        _slope_us([step[announced_entry.name] for step in steps]),
        'us/announcement',
    )
    sent = sum(_RATES_PER_S) * _STEP_S
    yield unbounded(
        _NAME,
        'announce_http_bytes',
        relay.passed_bytes(lambda _: True) / sent,
        'bytes/announcement',
    )
    relay.close()


def _idle_figures(role: str, usage: Usage) -> Iterable[Figure]:
    share = usage.processor_s / _STEP_S
    yield unbounded(_NAME, f'{role}_idle_core_share', share, 'cores')
    yield unbounded(_NAME, f'{role}_memory_bytes', usage.memory_bytes, 'bytes')


def _measure(
    watched: dict[str, int],
    work: Callable[[], None],
) -> dict[str, Usage]:
    before = {name: read_usage(pid) for name, pid in watched.items()}
    work()
    return {
        name: read_usage(pid).since(before[name])
        for name, pid in watched.items()
    }


def _slope_us(usages: Sequence[Usage]) -> float:
    counts = [rate * _STEP_S for rate in _RATES_PER_S]
    spent = [usage.processor_s for usage in usages]
    slope, _ = statistics.linear_regression(counts, spent)
    return slope * _US_PER_S


def _announce(http: str, rate_per_s: int) -> None:
    asyncio.run(_announce_all(http, rate_per_s))


async def _announce_all(http: str, rate_per_s: int) -> None:
    ends_s = time.monotonic() + _STEP_S
    if not rate_per_s:
        await asyncio.sleep(_STEP_S)
        return
    async with aiohttp.ClientSession() as session:
        number = 0
        while time.monotonic() < ends_s:
            number += 1
            async with session.post(
                f'http://{http}/v1/targets',
                data=_announcement(number),
            ) as answer:
                answer.raise_for_status()
            due_s = ends_s - _STEP_S + number / rate_per_s
            await asyncio.sleep(max(0, due_s - time.monotonic()))


def _announcement(number: int) -> bytes:
    target = number % 100
    return msgspec.json.encode(
        {
            'target_id': f'records-{target}',
            'service': 'records',
            'address': f'127.0.0.1:{20_000 + target}',
            'incarnation_ns': 1,
            'sequence': number,
            'state': 'serving',
            'lease_s': 30,
        }
    )
