"""Start the processes of a small fleet on loopback and stop them by PID."""

from __future__ import annotations

import contextlib
import dataclasses
import pathlib
import random
import signal
import socket
import subprocess  # noqa: S404 - the sending side starts the processes
import sys
import time
from collections.abc import Callable, Sequence
from typing import IO
from urllib import error as urllib_error
from urllib import request as urllib_request

from bench.relay import Relay
from wigeonreach.wire import Member, parse_address

_HOST = '127.0.0.1'
# Below the ephemeral port range of the kernel: an outgoing connection could
# otherwise take a port between its choice here and the start of its process.
_PORTS = range(10_000, 32_000)
# Each port is used once, since a process starts to listen only later.
_UNUSED_PORTS = iter(random.sample(_PORTS, len(_PORTS)))
_POLL_S = 0.05
_READY_TIMEOUT_S = 20.0
_BIN = pathlib.Path(sys.executable).parent


@dataclasses.dataclass(slots=True)
class Process:
    """One started process."""

    name: str
    zone: str
    http: str
    listen: str
    command: list[str]
    log: IO[bytes]
    popen: subprocess.Popen[bytes] | None = None

    @property
    def member(self) -> Member:
        """The process as a member in the settings of other processes."""
        return Member(
            self.name,
            self.zone,
            parse_address(self.listen, self.name),
        )

    @property
    def pid(self) -> int:
        """The process ID; the process must have been started."""
        assert self.popen is not None
        return self.popen.pid

    def start(self) -> None:
        """Start or restart the process."""
        self.popen = subprocess.Popen(  # noqa: S603
            self.command,
            stdout=self.log,
            stderr=self.log,
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def wait(self, timeout_s: float = _READY_TIMEOUT_S) -> int:
        """Wait until the process exits; return its exit status."""
        assert self.popen is not None
        return self.popen.wait(timeout_s)

    def is_listening(self) -> bool:
        """Whether it accepts connections from other processes."""
        host, _, port = self.listen.rpartition(':')
        with socket.socket() as probe:
            return probe.connect_ex((host, int(port))) == 0

    def is_ready(self) -> bool:
        """Whether its readiness endpoint answers with status 200."""
        try:
            with urllib_request.urlopen(  # noqa: S310
                f'http://{self.http}/readyz',
                timeout=1,
            ) as answer:
                return bool(answer.status == 200)
        except (urllib_error.URLError, OSError):
            return False


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size and options of a fleet."""

    zones: tuple[str, ...]
    entries_per_zone: int
    services: tuple[str, ...]
    targets_per_service: int
    service_time_s: float = 0.02
    target_options: tuple[str, ...] = ()
    entry_options: tuple[str, ...] = ()


class Cluster:
    """A fleet of processes in one folder.

    Parameters
    ----------
    shape
        Size and options of the fleet.
    folder
        Where logs, data folders and the run log go.
    relay
        If given, every connection between two processes goes through it.
    """

    def __init__(
        self,
        shape: Shape,
        folder: pathlib.Path,
        relay: Relay | None = None,
    ) -> None:
        """Prepare every process without starting it."""
        self._relay = relay
        folder.mkdir(parents=True, exist_ok=True)
        self.shape = shape
        self.folder = folder
        self.run_log = folder / 'runs.jsonl'
        self.run_log.unlink(missing_ok=True)
        self.replicas = [self._replica(zone) for zone in shape.zones]
        self.entries = [
            self._process(f'entry-{zone}{number}', zone)
            for zone in shape.zones
            for number in range(shape.entries_per_zone)
        ]
        self.targets = list(self._targets())
        for replica in self.replicas:
            replica.command = self._replica_command(replica)
        for entry in self.entries:
            entry.command = self._entry_command(entry)

    def start(self) -> None:
        """Start replicas, entries and targets."""
        for process in self.processes():
            process.start()
        for replica in self.replicas:
            _wait_for(replica.is_listening, replica.name)

    def stop(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes():
            if process.popen is not None:
                process.wait()
            process.log.close()

    def processes(self) -> list[Process]:
        """Return all processes, in the order in which they are started."""
        return [*self.replicas, *self.entries, *self.targets]

    def command_line(
        self,
        *arguments: str,
    ) -> subprocess.CompletedProcess[str]:
        """Run one of the operator's commands against this fleet."""
        command = [str(_BIN / 'wigeonreach'), *arguments]
        command.extend(self._members('--replica', self.replicas, 'operator'))
        return subprocess.run(  # noqa: S603
            command,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def wait_until_ready(self) -> None:
        """Wait until every entry is ready."""
        for entry in self.entries:
            _wait_for(entry.is_ready, entry.name)

    def _replica(self, zone: str) -> Process:
        return self._process(f'replica-{zone}', zone)

    def _targets(self) -> Sequence[Process]:
        zones = self.shape.zones
        targets: list[Process] = []
        for service in self.shape.services:
            for number in range(self.shape.targets_per_service):
                zone = zones[number % len(zones)]
                target = self._process(f'{service}-{number}', zone)
                target.command = self._target_command(target, service)
                targets.append(target)
        return targets

    def _process(self, name: str, zone: str) -> Process:
        log = (self.folder / f'{name}.log').open('ab')
        return Process(name, zone, free_address(), free_address(), [], log)

    def _replica_command(self, process: Process) -> list[str]:
        command = self._daemon('replica', process)
        command.append('--data-folder')
        command.append(str(self.folder / f'{process.name}.data'))
        return command

    def _entry_command(self, process: Process) -> list[str]:
        command = self._daemon('entry', process)
        command.extend(('--http', process.http))
        command.extend(self._members('--peer', self.entries, process.name))
        command.extend(self.shape.entry_options)
        return command

    def _daemon(self, role: str, process: Process) -> list[str]:
        command = [str(_BIN / 'wigeonreach'), role]
        command.extend(('--name', process.name, '--zone', process.zone))
        command.extend(('--listen', process.listen))
        command.extend(
            self._members('--replica', self.replicas, process.name),
        )
        return command

    def _target_command(self, process: Process, service: str) -> list[str]:
        command = [str(_BIN / 'wigeonreach-standin'), 'target']
        command.extend(('--target-id', process.name, '--service', service))
        command.extend(('--http', process.http))
        command.extend(
            (
                '--announced',
                self._link('entries', process.name, process.http),
            )
        )
        command.extend(('--run-log', str(self.run_log)))
        command.extend(('--service-time-s', str(self.shape.service_time_s)))
        command.extend(self.shape.target_options)
        for entry in self.entries:
            if entry.zone == process.zone:
                command.append('--entry')
                command.append(
                    self._link(process.name, entry.name, entry.http),
                )
        return command

    def _members(
        self,
        flag: str,
        members: Sequence[Process],
        source: str,
    ) -> list[str]:
        words: list[str] = []
        for member in members:
            address = self._link(source, member.name, member.listen)
            words.append(flag)
            words.append(f'{member.name}@{member.zone}={address}')
        return words

    def _link(self, source: str, target: str, address: str) -> str:
        # The operator and a process itself are never cut off.
        if self._relay is None or source in {target, 'operator'}:
            return address
        return self._relay.add(source, target, address)


def _wait_for(is_done: Callable[[], bool], what: str) -> None:
    ends_s = time.monotonic() + _READY_TIMEOUT_S
    while not is_done():
        if time.monotonic() > ends_s:
            raise TimeoutError(what)
        time.sleep(_POLL_S)


def free_address() -> str:
    """Return an address of loopback that nothing listens on."""
    for port in _UNUSED_PORTS:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((_HOST, port))
            return f'{_HOST}:{port}'
    raise RuntimeError('all ports were used')
