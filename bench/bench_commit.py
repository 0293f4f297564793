"""Measure changes per second and syncs per change of three replicas."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import itertools
import pathlib
import socket
import tempfile
import time
from collections.abc import AsyncIterator, Iterable, Sequence

from bench.figures import Figure, at_least, at_most, unbounded
from wigeonreach.observe import LogFormat, LogLevel, Logger, configure_logs
from wigeonreach.agreement._agreement import RaftAgreement
from wigeonreach.agreement._disk import FolderDisk
from wigeonreach.agreement._raft_types import RaftSettings, Write
from wigeonreach.agreement._settings import ReplicaSettings
from wigeonreach.agreement._storage import Storage
from wigeonreach.wire import Address, Channel, Member, serve
from wigeonreach.wire._raft_messages import RaftMessage

_Started = tuple[RaftAgreement, Storage]
_NAMES = ('a', 'b', 'c')
_LENGTH_S = 3.0
_DRAIN_S = 2.0
_PROPOSERS = 64
_COMMAND = b'c' * 200
_ONE_CHANGE_PER_MESSAGE = RaftSettings(batch_bytes=1)


class _UngroupedStorage(Storage):
    """Baseline policy: one sync for each change."""

    def write(self, writes: Sequence[Write]) -> None:
        """Write the changes one after the other."""
        for write in writes:
            super().write([write])


class _Counter:
    """A state machine that counts applied commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.count += 1
        return b''

    def snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, snapshot: bytes) -> None:
        self.count = int(snapshot)


@dataclasses.dataclass(frozen=True, slots=True)
class _CommitFigures:
    changes_per_s: float
    syncs_per_change: float
    median_ms: float


def run() -> Iterable[Figure]:
    """Compare writing in groups with one sync for each change.

    Yields
    ------
    Figure
        Rates and syncs, with the simpler policy's as the baseline.
    """
    configure_logs(LogFormat.JSON, LogLevel.ERROR)
    grouped = asyncio.run(_measure(Storage, _PROPOSERS))
    alone = asyncio.run(_measure(_UngroupedStorage, _PROPOSERS))
    single = asyncio.run(_measure(Storage, 1))
    yield at_least(
        'commit',
        'changes_per_s',
        grouped.changes_per_s,
        '1/s',
        alone.changes_per_s,
        alone.changes_per_s,
    )
    yield at_most(
        'commit',
        'syncs_per_change',
        grouped.syncs_per_change,
        'syncs',
        alone.syncs_per_change / 4,
        alone.syncs_per_change,
    )
    yield unbounded(
        'commit',
        'median_wait',
        grouped.median_ms,
        'ms',
        alone.median_ms,
    )
    yield unbounded('commit', 'one_proposer', single.changes_per_s, '1/s')
    yield unbounded('commit', 'one_proposer_wait', single.median_ms, 'ms')


async def _measure(
    storage_type: type[Storage], proposers: int
) -> _CommitFigures:
    with tempfile.TemporaryDirectory() as folder:
        async with _replicas(pathlib.Path(folder), storage_type) as started:
            agreements = [agreement for agreement, _ in started]
            await agreements[0].propose(_COMMAND)
            leader = next(
                agreement for agreement in agreements if agreement.is_leader
            )
            storages = [storage for _, storage in started]
            return await _measure_load(leader, storages, proposers)


async def _measure_load(
    leader: RaftAgreement,
    storages: Sequence[Storage],
    proposers: int,
) -> _CommitFigures:
    syncs = _syncs(storages)
    started_s = time.monotonic()
    waits_s = list(
        itertools.chain.from_iterable(
            await asyncio.gather(
                *(
                    _propose(leader, started_s + _LENGTH_S)
                    for _ in range(proposers)
                ),
            ),
        ),
    )
    rate_per_s = len(waits_s) / (time.monotonic() - started_s)
    # A leader may commit before its own disk has synced.
    await asyncio.sleep(_DRAIN_S)
    return _CommitFigures(
        rate_per_s,
        (_syncs(storages) - syncs) / len(storages) / len(waits_s),
        sorted(waits_s)[len(waits_s) // 2] * 1000,
    )


def _syncs(storages: Sequence[Storage]) -> int:
    return sum(storage.sync_count for storage in storages)


async def _propose(leader: RaftAgreement, ends_s: float) -> list[float]:
    waits_s: list[float] = []
    while time.monotonic() < ends_s:
        asked_s = time.monotonic()
        await leader.propose(_COMMAND)
        waits_s.append(time.monotonic() - asked_s)
    return waits_s


@contextlib.asynccontextmanager
async def _replicas(
    folder: pathlib.Path,
    storage_type: type[Storage],
) -> AsyncIterator[list[_Started]]:
    members = tuple(Member(name, name, free_address()) for name in _NAMES)
    async with contextlib.AsyncExitStack() as stack:
        started = []
        for member in members:
            disk = FolderDisk(folder / member.name)
            stack.callback(disk.close)
            storage = storage_type(disk)
            settings = ReplicaSettings(
                member.name,
                member.zone,
                member.address,
                members,
                folder / member.name,
            )
            agreement = RaftAgreement(
                settings,
                _Counter(),
                storage,
                storage.load(),
                _fail,
                Logger(member.name),
                RaftSettings()
                if storage_type is Storage
                else _ONE_CHANGE_PER_MESSAGE,
            )
            server = await serve(
                member.address,
                functools.partial(_receive, agreement),
                Logger(member.name).message_unreadable,
            )
            stack.callback(server.close)
            await agreement.start()
            stack.push_async_callback(agreement.stop)
            started.append((agreement, storage))
        yield started


async def _receive(agreement: RaftAgreement, channel: Channel) -> None:
    while True:
        message = await channel.receive()
        if isinstance(message, RaftMessage):
            agreement.receive(message)


def _fail(error: Exception) -> None:
    raise error


def free_address() -> Address:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return Address('127.0.0.1', probe.getsockname()[1])
