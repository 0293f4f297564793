"""Start, signal, restart and stop the core processes of a soak run."""

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
# Delay before a restart, similar to that of a process supervisor.
_RESTART_DELAY_S = 0.3
_EXIT_TIMEOUT_S = 8.0
# Length of the partial record that a simulated torn write leaves behind.
_TORN_BYTES = 20
# A process with a shorter uptime may not have written to its journal yet.
_MIN_UPTIME_S = 2.0


def sender_name(first: bytes) -> str:
    """Return the sender named in the first bytes of a connection.

    The result is empty if no message names a sender.
    """
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
    """One core process and its data folder.

    Attributes
    ----------
    name
        Address of the relay in front of it, which is also its name.
    listen
        Address that the process itself listens on.
    folder
        Its data folder.
    zone
        Its availability zone.
    should_run
        Whether it should be running; if it exits while this is set, it is
        restarted.
    unexpected_exits
        Number of exits that were not caused by an injected fault.
    started_s
        Monotonic time of its last start, in seconds.
    may_exit
        Whether an exit is expected, since its disk is full.
    process
        Handle of the process, or None until it is started.
    """

    name: str
    listen: str
    folder: pathlib.Path
    zone: str
    should_run: bool = False
    unexpected_exits: int = 0
    started_s: float = 0.0
    may_exit: bool = False
    process: asyncio.subprocess.Process | None = None

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)


class CoreCluster:
    """The core processes of one run.

    Parameters
    ----------
    count
        Initial number of processes.
    losses
        Number of disks that may be lost, passed to each process.
    folder
        Parent of the data folders and logs.
    relay
        Relay that carries all connections to the processes.
    """

    def __init__(
        self,
        count: int,
        losses: int,
        folder: pathlib.Path,
        relay: Relay,
    ) -> None:
        """Create the processes without starting them."""
        self._losses = losses
        self._folder = folder
        self._relay = relay
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()
        self.all = [self._new_core() for _ in range(count)]
        self.seeds = tuple(core.name for core in self.all[:3])

    async def start(self) -> None:
        """Start all processes for the first time."""
        for core in self.all:
            await self._start(core, '--first-start')

    def kill(self, core: CoreProcess, down_s: float) -> None:
        """Kill a process and restart it after ``down_s`` seconds."""
        self._spawn(self._restart(core, signal.SIGKILL, down_s))

    def terminate(self, core: CoreProcess) -> None:
        """Send SIGTERM to a process and restart it once it exits."""
        self._spawn(self._restart(core, signal.SIGTERM, _RESTART_DELAY_S))

    def pause(self, core: CoreProcess, duration_s: float) -> None:
        """Suspend a process for ``duration_s`` seconds."""
        self._spawn(self._pause(core, duration_s))

    def wipe(self, core: CoreProcess) -> None:
        """Kill a process and restart it with an empty data folder."""
        self._spawn(
            self._restart(
                core,
                signal.SIGKILL,
                _RESTART_DELAY_S,
                lambda: shutil.rmtree(core.folder),
            ),
        )

    def replace(self, core: CoreProcess) -> None:
        """Kill a process for good and start an empty one at a new address."""
        self._spawn(self._replace(core))

    def tear_journal(self, core: CoreProcess) -> None:
        """Kill a process and leave a partial record in its journal.

        The journal is left alone if the process has just started.
        """
        up_s = time.monotonic() - core.started_s
        append_torn = functools.partial(
            _append_torn_record, core.folder / 'journal'
        )
        while_down = append_torn if up_s > _MIN_UPTIME_S else None
        self._spawn(
            self._restart(core, signal.SIGKILL, _RESTART_DELAY_S, while_down),
        )

    def fill_disk(self, core: CoreProcess, duration_s: float) -> None:
        """Stop the files of a process from growing for ``duration_s`` seconds."""
        self._spawn(self._fill_disk(core, duration_s))

    async def settle(self) -> None:
        """Wait for pending faults to finish and start stopped processes."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        for core in self.all:
            core.send(signal.SIGCONT)
            if not core.should_run:
                await self._start(core)

    async def kill_all(self) -> None:
        """Kill all started processes and cancel pending faults."""
        for core in self.all:
            core.should_run = False
            core.send(signal.SIGCONT)
            core.send(signal.SIGKILL)
            if core.process is not None:
                await core.process.wait()
        for task in list(self._tasks):
            task.cancel()

    def _new_core(self) -> CoreProcess:
        number = next(self._numbers)
        listen = f'{_HOST}:{_free_port()}'
        name = self._relay.share(f'core-{number}', listen, sender_name)
        folder = self._folder / f'core-{number}'
        return CoreProcess(name, listen, folder, f'z{number}')

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _start(self, core: CoreProcess, *options: str) -> None:
        core.should_run = True
        # Faults pass over a process that is being started: two restarts at once
        # would start it twice.
        core.process = None
        core.may_exit = False
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
            '--home-zones=on',
            *seeds,
            *options,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        core.started_s = time.monotonic()
        supervisor = asyncio.create_task(self._supervise(core, core.process))
        supervisor.add_done_callback(_raise_failure)

    async def _supervise(
        self,
        core: CoreProcess,
        process: asyncio.subprocess.Process,
    ) -> None:
        """Save the process's log and restart it if it exits by itself."""
        assert process.stdout is not None
        with (self._folder / f'{core.folder.name}.log').open('ab') as log:
            async for line in process.stdout:
                log.write(line)
        await process.wait()
        if not core.should_run or core.process is not process:
            return
        if not core.may_exit:
            core.unexpected_exits += 1
        await asyncio.sleep(_RESTART_DELAY_S)
        if core.should_run and core.process is process:
            await self._start(core)

    async def _restart(
        self,
        core: CoreProcess,
        signal_number: signal.Signals,
        down_s: float,
        while_down: Callable[[], object] | None = None,
    ) -> None:
        if not core.should_run or core.process is None:
            return
        core.should_run = False
        process = core.process
        core.send(signal.SIGCONT)
        core.send(signal_number)
        try:
            async with asyncio.timeout(_EXIT_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            core.send(signal.SIGKILL)
            await process.wait()
        if while_down is not None:
            while_down()
        await asyncio.sleep(down_s)
        await self._start(core)

    async def _pause(self, core: CoreProcess, duration_s: float) -> None:
        core.send(signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        core.send(signal.SIGCONT)

    async def _fill_disk(self, core: CoreProcess, duration_s: float) -> None:
        journal = core.folder / 'journal'
        process = core.process
        if process is None or not journal.exists():
            return
        core.may_exit = True
        _limit_file_size(process.pid, journal.stat().st_size)
        await asyncio.sleep(duration_s)
        _limit_file_size(process.pid, resource.RLIM_INFINITY)
        core.may_exit = False

    async def _replace(self, core: CoreProcess) -> None:
        if not core.should_run or core.process is None:
            return
        core.should_run = False
        core.send(signal.SIGCONT)
        core.send(signal.SIGKILL)
        await core.process.wait()
        successor = self._new_core()
        self.all[self.all.index(core)] = successor
        await self._start(successor)


def _limit_file_size(pid: int, max_bytes: int) -> None:
    limits = (max_bytes, resource.RLIM_INFINITY)
    with contextlib.suppress(ProcessLookupError):
        resource.prlimit(pid, resource.RLIMIT_FSIZE, limits)


def _append_torn_record(journal: pathlib.Path) -> None:
    with journal.open('rb+') as torn_journal:
        partial_record = torn_journal.read(_TORN_BYTES)
        torn_journal.seek(0, io.SEEK_END)
        torn_journal.write(partial_record)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((_HOST, 0))
        return int(probe.getsockname()[1])


def _raise_failure(supervisor: asyncio.Task[None]) -> None:
    if not supervisor.cancelled():
        supervisor.result()
