"""Run a cluster of core processes and a gateway in one event loop."""

from __future__ import annotations

import asyncio
import errno
import os
import pathlib
import socket
import tempfile
from collections.abc import Awaitable, Callable
from unittest import mock

from tests.builders_jobs import manifest
from wigeonreach.core import Core, CoreSettings
from wigeonreach.gateway import Gateway
from wigeonreach.observe import Logger, Metrics
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.scheduling._vms import OrderResult, VmRecord
from wigeonreach.scheduling.placing._advice import Advice, AdviceRequest
from wigeonreach.standins import StandInWorker
from wigeonreach.wire import parse_address
from wigeonreach.wire._call_messages import AnyCall, HearWorker, PutManifest
from wigeonreach.wire._call_replies import AnyReply, Done, Orders

# Far longer than any test takes; it only ends a test that hangs.
_TEST_TIMEOUT_S = 30.0
_CALL_TIMEOUT_S = 3.0


class FakePlatform:
    """A platform and advisor that accept every order and worker at once."""

    def __init__(self) -> None:
        """Start without orders and with ``list_vms`` allowed."""
        self.orders: list[tuple[str, str, int]] = []
        self.list_allowed = asyncio.Event()
        self.list_allowed.set()

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return no VMs once ``list_allowed`` is set."""
        await self.list_allowed.wait()
        return ()

    async def maintain(self, vm: str, wave: int, fence: int) -> OrderResult:
        """Store a maintenance order."""
        self.orders.append((vm, f'wave {wave}', fence))
        return OrderResult.DONE

    async def move(self, vm: str, pool: str, fence: int) -> OrderResult:
        """Store a move order."""
        self.orders.append((vm, pool, fence))
        return OrderResult.DONE

    async def advise(
        self, request: AdviceRequest, timeout_s: float
    ) -> Advice | None:
        """Allow every worker."""
        return Advice({worker: 'paper' for worker in request.workers}, 3)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with free ports."""
    sockets = [socket.socket() for _ in range(count)]
    for opened in sockets:
        opened.bind(('127.0.0.1', 0))
    names = [f'127.0.0.1:{opened.getsockname()[1]}' for opened in sockets]
    for used in sockets:
        used.close()
    return names


class CoreCluster:
    """Three core processes of one system, and a gateway to them.

    Parameters
    ----------
    folder
        Parent folder of their data folders.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Choose the addresses; no process is started yet."""
        self.names = free_addresses(3)
        self.cores: dict[str, Core] = {}
        self.vms = FakePlatform()
        self._folder = folder
        self.gateway = Gateway(
            'caller',
            self.names,
            Logger('caller'),
            Metrics(),
        )

    async def start(self, name: str, is_first_start: bool = False) -> None:
        """Start one process with its own data folder."""
        settings = CoreSettings(
            listen=parse_address(name, 'listen'),
            zone='a',
            seeds=tuple(self.names),
            data_folder=self._folder / name.replace(':', '-'),
            is_first_start=is_first_start,
            tolerated_losses=1,
            api_port=1,
            order_pause_s=0,
            scheduling=SchedulingSettings(move_s=0),
        )
        core = Core(settings, self.vms, self.vms, Logger(name), Metrics())
        self.cores[name] = core
        await core.start()

    async def stop(self, name: str) -> None:
        """Stop one process."""
        await self.cores.pop(name).stop()

    async def stop_all(self) -> None:
        """Stop the gateway and all processes."""
        await self.gateway.stop()
        for name in list(self.cores):
            await self.stop(name)

    def fill_disk(self, name: str) -> mock._patch[mock.Mock]:
        """Return a patch that makes one process's disk report that it is full."""
        disk_full = OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        disk = self.cores[name]._disk  # noqa: SLF001 - there is no public access
        return mock.patch.object(disk, 'append', side_effect=disk_full)

    async def leader(self) -> str:
        """Wait for a leader and return its name."""
        while True:
            for name, core in self.cores.items():
                if core.is_leading:
                    return name
            await asyncio.sleep(0.02)

    async def call(self, call: AnyCall) -> AnyReply:
        """Repeat a call until its outcome is known."""
        while True:
            reply = await self.gateway.call(call, _CALL_TIMEOUT_S)
            if type(reply).__name__ not in {'NotDone', 'Unknown'}:
                return reply


async def send_heartbeat(cluster: CoreCluster, worker: StandInWorker) -> None:
    """Send a worker's next heartbeat and let it follow the orders."""
    reply = await cluster.call(HearWorker(worker.report()))
    assert isinstance(reply, Orders), reply
    worker.obey(reply.orders, percent=1)


def run_cluster(body: Callable[[CoreCluster], Awaitable[None]]) -> None:
    """Run a test body with three core processes that have a manifest."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(_run(body, pathlib.Path(folder)))


async def _run(
    body: Callable[[CoreCluster], Awaitable[None]],
    folder: pathlib.Path,
) -> None:
    cluster = CoreCluster(folder)
    try:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            await cluster.gateway.start()
            for name in cluster.names:
                await cluster.start(name, is_first_start=True)
            accepted = await cluster.call(PutManifest(manifest()))
            assert isinstance(accepted, Done)
            await body(cluster)
    finally:
        await cluster.stop_all()
