"""Run a small fleet with managers and a stand-in for the platform."""

from __future__ import annotations

import asyncio
import json
import pathlib
import subprocess  # noqa: S404 - the sending side starts the processes
import sys
import time
from collections.abc import Callable

from bench.cluster import Cluster, Process, Shape
from bench.relay import Relay
from wigeonreach.standins._platform_fleet import ActionLine, read_action_log
from wigeonreach.state import StateClient
from wigeonreach.wire import parse_members
from wigeonreach.wire._state_messages import LeaseRecord, ReadLease

ZONES = ('a', 'b', 'c')
VMS_PER_ZONE = 6
VMS_PER_RACK = 3
_BIN = pathlib.Path(sys.executable).parent
_POLL_S = 0.05
_SHAPE = Shape(
    zones=ZONES,
    entries_per_zone=0,
    services=(),
    targets_per_service=0,
)
_MANAGER_OPTIONS = (
    '--lease-s=2',
    '--poll-s=0.1',
    '--settle-s=0.3',
    '--resend-s=0.5',
    '--drain-limit-s=20',
    '--reboot-limit-s=20',
    '--check-limit-s=20',
    '--expected-s=2',
)


class ManagedCluster(Cluster):
    """Replicas, one manager in each zone, and the platform's stand-in.

    Parameters
    ----------
    folder
        Where logs and data folders go.
    platform_options
        Faults and timing of the stand-in.
    relay
        If given, connections between processes go through it.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        platform_options: tuple[str, ...] = (),
        relay: Relay | None = None,
    ) -> None:
        """Prepare every process without starting it."""
        super().__init__(_SHAPE, folder, relay)
        self.action_log = folder / 'actions.jsonl'
        self.platform = self._process('platform', ZONES[0])
        self.platform.command = self._platform_command(platform_options)
        self.managers = [
            self._process(f'manager-{zone}', zone) for zone in ZONES
        ]
        for manager in self.managers:
            manager.command = self._manager_command(manager)

    def processes(self) -> list[Process]:
        """Return all processes, in the order in which they are started."""
        return [*super().processes(), self.platform, *self.managers]

    def leader(self) -> Process:
        """Return the manager that holds the lease."""
        holder = asyncio.run(self._holder())
        return next(
            manager for manager in self.managers if manager.name == holder
        )

    def actions(self) -> list[ActionLine]:
        """Return the platform's action log so far."""
        if not self.action_log.exists():
            return []
        return read_action_log(self.action_log)

    def count(self, what: str) -> int:
        """Return how often the platform performed one kind of action."""
        return sum(line.what == what for line in self.actions())

    def wave(self, wave_id: str) -> dict[str, object]:
        """Return a wave as ``maintenance status --json`` prints it."""
        waves = json.loads(self.maintenance('status', '--json').stdout)
        return next(wave for wave in waves if wave['wave_id'] == wave_id)

    def maintenance(
        self,
        *arguments: str,
    ) -> subprocess.CompletedProcess[str]:
        """Run one of the ``maintenance`` commands."""
        return self.command_line('maintenance', *arguments)

    async def _holder(self) -> str:
        words = self._members('--replica', self.replicas, 'operator')
        client = StateClient('bench', parse_members(words[1::2], '--replica'))
        return (await client.read(ReadLease('maintenance'), LeaseRecord)).holder

    def _platform_command(self, options: tuple[str, ...]) -> list[str]:
        command = [str(_BIN / 'wigeonreach-standin'), 'platform']
        command.extend(('--http', self.platform.http))
        command.extend(('--vms-per-zone', str(VMS_PER_ZONE)))
        command.extend(('--vms-per-rack', str(VMS_PER_RACK)))
        command.extend(('--action-log', str(self.action_log)))
        for zone in ZONES:
            command.extend(('--zone', zone))
        command.extend(options)
        return command

    def _manager_command(self, process: Process) -> list[str]:
        command = [str(_BIN / 'wigeonreach'), 'manager']
        command.extend(('--name', process.name, '--zone', process.zone))
        command.extend(('--http', process.http))
        command.extend(('--platform', f'http://{self.platform.http}'))
        command.extend(
            self._members('--replica', self.replicas, process.name),
        )
        command.extend(_MANAGER_OPTIONS)
        return command


def wait_until(
    is_done: Callable[[], bool], what: str, timeout_s: float
) -> None:
    """Poll a condition until it holds; raise TimeoutError after a timeout."""
    ends_s = time.monotonic() + timeout_s
    while not is_done():
        if time.monotonic() > ends_s:
            raise TimeoutError(what)
        time.sleep(_POLL_S)
