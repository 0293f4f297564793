"""Measure the cost of at-most-once execution for a request."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import statistics
import time
from collections.abc import Awaitable, Callable, Iterable

import aiohttp
import msgspec

from bench.cluster import Cluster, Process, Shape
from bench.figures import Figure, at_most, unbounded
from bench.quorum_log import QuorumLog

_BENCH = 'keys'
_FOLDER = pathlib.Path('run/bench-keys')
_ROUNDS = 300
_WARM_ROUNDS = 20
_ANNOUNCED_S = 2.0
_MS_PER_S = 1000
# An issued key costs one more request to an entry, but no disk write.
_MAX_RATIO = 2.0
_TEXT = """
[fleet]
name = "keys"

[services.billing]
promised_slots = 8
"""
_SHAPE = Shape(
    zones=('a', 'b', 'c'),
    entries_per_zone=1,
    services=('billing',),
    targets_per_service=3,
    service_time_s=0.0005,
)
_Variant = Callable[[], Awaitable[None]]


class _KeyBody(msgspec.Struct, frozen=True):
    key: str


def run() -> Iterable[Figure]:
    """Compare issued keys with a quorum write for each request.

    Returns
    -------
    iterable of Figure
        Medians for one caller after another, all variants interleaved.
    """
    shutil.rmtree(_FOLDER, ignore_errors=True)
    cluster = Cluster(_SHAPE, _FOLDER)
    try:
        taken_s = asyncio.run(_measure(cluster))
    finally:
        cluster.stop()
    plain_s = taken_s['no_key']
    quorum_ratio = taken_s['quorum_write'] / plain_s
    for way, median_s in taken_s.items():
        yield unbounded(_BENCH, f'{way}_p50', median_s * _MS_PER_S, 'ms')
    yield at_most(
        _BENCH,
        'issued_key_at_owner_to_no_key',
        taken_s['issued_key_at_owner'] / plain_s,
        'ratio',
        _MAX_RATIO,
        quorum_ratio,
    )
    yield unbounded(
        _BENCH,
        'issued_key_elsewhere_to_no_key',
        taken_s['issued_key_elsewhere'] / plain_s,
        'ratio',
        quorum_ratio,
    )


async def _measure(cluster: Cluster) -> dict[str, float]:
    cluster.start()
    text = cluster.folder / 'fleet.toml'
    text.write_text(_TEXT)
    applied = cluster.command_line('apply', str(text))
    assert applied.returncode == 0, applied.stderr
    cluster.wait_until_ready()
    await asyncio.sleep(_ANNOUNCED_S)
    log = QuorumLog(cluster.folder)
    await log.open()
    async with aiohttp.ClientSession() as session:
        medians = await _interleave(_Caller(session, cluster.entries, log))
    await log.close()
    return medians


async def _interleave(caller: _Caller) -> dict[str, float]:
    taken_s: dict[str, list[float]] = {
        variant: [] for variant in caller.variants
    }
    for number in range(_WARM_ROUNDS + _ROUNDS):
        for name, variant in caller.variants.items():
            began_s = time.perf_counter()
            await variant()
            if number >= _WARM_ROUNDS:
                taken_s[name].append(time.perf_counter() - began_s)
            await caller.log.settle()
    return {name: statistics.median(times) for name, times in taken_s.items()}


class _Caller:
    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[Process],
        log: QuorumLog,
    ) -> None:
        self._session = session
        self._near = entries[0]
        self._far = entries[1]
        self.log = log
        self.variants: dict[str, _Variant] = {
            'no_key': self._no_key,
            'issued_key_at_owner': self._at_owner,
            'issued_key_elsewhere': self._elsewhere,
            'quorum_write': self._quorum_write,
        }

    async def _no_key(self) -> None:
        await self._send(self._near, {})

    async def _at_owner(self) -> None:
        await self._send(self._near, await self._key())

    async def _elsewhere(self) -> None:
        await self._send(self._far, await self._key())

    async def _quorum_write(self) -> None:
        await self.log.append()
        await self._send(self._near, {})

    async def _key(self) -> dict[str, str]:
        async with self._session.post(
            f'http://{self._near.http}/v1/keys/billing',
        ) as answer:
            body = await answer.read()
        key = msgspec.json.decode(body, type=_KeyBody).key
        return {'Idempotency-Key': key}

    async def _send(self, entry: Process, headers: dict[str, str]) -> None:
        async with self._session.post(
            f'http://{entry.http}/s/billing/work',
            data='work',
            headers=headers,
        ) as answer:
            assert answer.headers['X-Outcome'] == 'ran', await answer.text()
            await answer.read()
