"""Start, signal and restart core processes, and end just those."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import functools
import io
import itertools
import pathlib
import resource
import shutil
import signal
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

import msgpack
import msgspec

from bench.relay import Relay
from wigeonreach.wire._call_messages import CoreHello
from wigeonreach.wire._messages import Message
from wigeonreach.wire._raft_messages import RaftMessage

_BIN = pathlib.Path(sys.executable).parent
_HOST = '127.0.0.1'
# As a supervisor would: soon, but not at once.
_RESTART_S = 0.3
_END_S = 8.0
# A write that was torn leaves the beginning of a record; so short a one.
_TORN_BYTES = 20
# A process that was just started has written nothing yet.
_WRITES_AFTER_S = 2.0


def source_of(first: bytes) -> str:
    """Return who sent the first bytes of a connection."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(first)
    for raw in unpacker:
        message = msgspec.convert(raw, Message)
        if isinstance(message, CoreHello):
            return message.process
        if isinstance(message, RaftMessage):
            return message.sender.name
    return ''


@dataclasses.dataclass(slots=True)
class CoreProcess:
    """One core process on its disk.

    Attributes
    ----------
    name
        Address of the relay in front of it, by which all others know it.
    is_wanted
        Whether it is to run; if it ends nevertheless, it is started again.
    own_ends
        How often it ended though nobody ended it.
    """

    name: str
    listen: str
    folder: pathlib.Path
    zone: str
    is_wanted: bool = False
    own_ends: int = 0
    started_s: float = 0.0
    may_end: bool = False
    process: asyncio.subprocess.Process | None = None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Cores:
    """The core processes of one run.

    Parameters
    ----------
    count
        How many there are at first.
    losses
        Disks that may be lost at once.
    folder
        Where disks and logs are.
    relay
        Through which they and all others talk.
    """

    def __init__(
        self,
        count: int,
        losses: int,
        folder: pathlib.Path,
        relay: Relay,
    ) -> None:
        """Lay the processes out; none is started."""
        self._losses = losses
        self._folder = folder
        self._relay = relay
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()
        self.all = [self._lay_out() for _ in range(count)]
        self.seeds = tuple(core.name for core in self.all[:3])

    async def start(self) -> None:
        """Start all of them for the first time."""
        for core in self.all:
            await self._start(core, '--first-start')

    def strike(self, core: CoreProcess, down_s: float) -> None:
        """Kill one, and start it again after a while."""
        self._later(self._restart(core, signal.SIGKILL, down_s))

    def terminate(self, core: CoreProcess) -> None:
        """Ask one to end, and start it again."""
        self._later(self._restart(core, signal.SIGTERM, _RESTART_S))

    def pause(self, core: CoreProcess, for_s: float) -> None:
        """Stop one for a while, without ending it."""
        self._later(self._pause(core, for_s))

    def wipe(self, core: CoreProcess) -> None:
        """Kill one, and start it again with an empty disk."""
        self._later(
            self._restart(
                core,
                signal.SIGKILL,
                _RESTART_S,
                lambda: shutil.rmtree(core.folder),
            ),
        )

    def replace(self, core: CoreProcess) -> None:
        """End one for good, and start an empty one at another address."""
        self._later(self._replace(core))

    def tear(self, core: CoreProcess) -> None:
        """Kill one in the middle of a write, if it has begun to write."""
        up_s = time.monotonic() - core.started_s
        tear = functools.partial(_tear, core.folder / 'journal')
        meanwhile = tear if up_s > _WRITES_AFTER_S else None
        self._later(
            self._restart(core, signal.SIGKILL, _RESTART_S, meanwhile),
        )

    def fill_disk(self, core: CoreProcess, for_s: float) -> None:
        """Let no file of a process grow for a while."""
        self._later(self._fill_disk(core, for_s))

    async def calm(self) -> None:
        """Wait until what was begun is over, and start what is down."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        for core in self.all:
            core.send(signal.SIGCONT)
            if not core.is_wanted:
                await self._start(core)

    async def end(self) -> None:
        """End all processes that were started, by their ids."""
        for core in self.all:
            core.is_wanted = False
            core.send(signal.SIGCONT)
            core.send(signal.SIGKILL)
            if core.process is not None:
                await core.process.wait()
        for task in list(self._tasks):
            task.cancel()

    def _lay_out(self) -> CoreProcess:
        number = next(self._numbers)
        listen = f'{_HOST}:{_free_port()}'
        name = self._relay.share(f'core-{number}', listen, source_of)
        folder = self._folder / f'core-{number}'
        return CoreProcess(name, listen, folder, f'z{number}')

    def _later(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, core: CoreProcess, *options: str) -> None:
        core.is_wanted = True
        core.may_end = False
        core.folder.mkdir(parents=True, exist_ok=True)
        seeds = [f'--seed={seed}' for seed in self.seeds]
        core.process = await asyncio.create_subprocess_exec(
            str(_BIN / 'wigeonreach'),
            'core',
            f'--zone={core.zone}',
            f'--listen={core.listen}',
            f'--advertise={core.name}',
            f'--data-folder={core.folder}',
            f'--losses={self._losses}',
            *seeds,
            *options,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        core.started_s = time.monotonic()
        watch = asyncio.create_task(self._watch(core, core.process))
        watch.add_done_callback(_raise_failure)

    async def _watch(
        self,
        core: CoreProcess,
        process: asyncio.subprocess.Process,
    ) -> None:
        """Keep its log, and start it again if it ends by itself."""
        assert process.stdout is not None
        with (self._folder / f'{core.folder.name}.log').open('ab') as log:
            async for line in process.stdout:
                log.write(line)
        await process.wait()
        if not core.is_wanted or core.process is not process:
            return
        if not core.may_end:
            core.own_ends += 1
        await asyncio.sleep(_RESTART_S)
        if core.is_wanted and core.process is process:
            await self._start(core)

    async def _restart(
        self,
        core: CoreProcess,
        number: signal.Signals,
        down_s: float,
        meanwhile: Callable[[], object] | None = None,
    ) -> None:
        if not core.is_wanted or core.process is None:
            return
        core.is_wanted = False
        process = core.process
        core.send(signal.SIGCONT)
        core.send(number)
        try:
            async with asyncio.timeout(_END_S):
                await process.wait()
        except TimeoutError:
            core.send(signal.SIGKILL)
            await process.wait()
        if meanwhile is not None:
            meanwhile()
        await asyncio.sleep(down_s)
        await self._start(core)

    async def _pause(self, core: CoreProcess, for_s: float) -> None:
        core.send(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        core.send(signal.SIGCONT)

    async def _fill_disk(self, core: CoreProcess, for_s: float) -> None:
        journal = core.folder / 'journal'
        process = core.process
        if process is None or not journal.exists():
            return
        core.may_end = True
        _limit_files(process.pid, journal.stat().st_size)
        await asyncio.sleep(for_s)
        _limit_files(process.pid, resource.RLIM_INFINITY)
        core.may_end = False

    async def _replace(self, core: CoreProcess) -> None:
        if not core.is_wanted or core.process is None:
            return
        core.is_wanted = False
        core.send(signal.SIGCONT)
        core.send(signal.SIGKILL)
        await core.process.wait()
        successor = self._lay_out()
        self.all[self.all.index(core)] = successor
        await self._start(successor)


def _limit_files(pid: int, most_bytes: int) -> None:
    limits = (most_bytes, resource.RLIM_INFINITY)
    with contextlib.suppress(ProcessLookupError):
        resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)


def _tear(journal: pathlib.Path) -> None:
    with journal.open('rb+') as torn:
        beginning = torn.read(_TORN_BYTES)
        torn.seek(0, io.SEEK_END)
        torn.write(beginning)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return int(probe.getsockname()[1])


def _raise_failure(watch: asyncio.Task[None]) -> None:
    if not watch.cancelled():
        watch.result()
