"""Stand in for a target: it announces itself, serves and keeps a run log."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import pathlib
import random
import signal
import time
from collections.abc import Callable
from typing import Annotated, Final

import aiohttp
import msgspec
import typer
from aiohttp import web

from wigeonreach.standins._run_log import RunKind, RunLog

_ANNOUNCE_S: Final = 0.5
_LEASE_S: Final = 2.0
_LINGER_S: Final = 3.0
_ID_HEADER: Final = 'X-Request-Id'


class Target:
    """One runner of a service.

    Parameters
    ----------
    target_id, service
        What it announces itself as.
    address
        Where it serves.
    announced
        Address that it announces.
    entries
        Addresses among which the balancer picks.
    run_log
        Where each run is written before it begins.
    service_time_s
        Mean time of one run, in seconds.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        address: str,
        announced: str,
        entries: list[str],
        run_log: RunLog,
        service_time_s: float,
    ) -> None:
        """Take a new incarnation."""
        self._target_id = target_id
        self._service = service
        self._address = address
        self._announced = announced
        self._entries = entries
        self._run_log = run_log
        self._service_time_s = service_time_s
        self._incarnation_ns = time.time_ns()
        self._sequence = 0
        self._running = 0
        self._state = 'serving'
        self._rng = random.Random(target_id)  # noqa: S311
        self._left = asyncio.Event()

    async def run(self) -> None:
        """Serve until told to leave, then finish what is in flight."""
        application = web.Application()
        application.router.add_route('*', '/{tail:.*}', self._on_request)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        host, _, port = self._address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leave)
        async with aiohttp.ClientSession() as session:
            await self._announce_until_left(session)
        await asyncio.sleep(_LINGER_S)
        await runner.cleanup()

    def _leave(self) -> None:
        self._state = 'leaving'
        self._run_log.write(RunKind.LEAVING, '', 0)
        self._left.set()

    async def _announce_until_left(
        self,
        session: aiohttp.ClientSession,
    ) -> None:
        while not self._left.is_set():
            await self._announce(session)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._left.wait(), _ANNOUNCE_S)
        while not await self._announce(session):
            await asyncio.sleep(_ANNOUNCE_S / 10)

    async def _announce(self, session: aiohttp.ClientSession) -> bool:
        # The first of all announcements must not be lost: it tells that no
        # entry can have anything in flight here yet.
        entry = self._rng.choice(self._entries)
        if not self._sequence and not await _is_up(session, entry):
            return False
        self._sequence += 1
        body = msgspec.json.encode(
            {
                'target_id': self._target_id,
                'service': self._service,
                'address': self._announced,
                'incarnation_ns': self._incarnation_ns,
                'sequence': self._sequence,
                'state': self._state,
                'lease_s': _LEASE_S,
            }
        )
        try:
            async with session.post(
                f'http://{entry}/v1/targets',
                data=body,
                timeout=aiohttp.ClientTimeout(total=1),
            ) as answer:
                return answer.ok
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _on_request(self, request: web.Request) -> web.Response:
        body = await request.read()
        work = body.decode()
        self._running += 1
        self._run_log.write(RunKind.START, work, self._running)
        try:
            await asyncio.sleep(
                self._rng.expovariate(1 / self._service_time_s),
            )
        finally:
            self._running -= 1
        self._run_log.write(RunKind.END, work, self._running)
        return web.Response(
            text=f'{self._target_id} {work}',
            headers={_ID_HEADER: request.headers.get(_ID_HEADER, '')},
        )


async def _is_up(session: aiohttp.ClientSession, entry: str) -> bool:
    try:
        async with session.get(
            f'http://{entry}/healthz',
            timeout=aiohttp.ClientTimeout(total=1),
        ) as answer:
            return answer.ok
    except (aiohttp.ClientError, TimeoutError):
        return False


def target(
    target_id: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    http: Annotated[str, typer.Option(help='IP:PORT to serve on.')],
    entries: Annotated[list[str], typer.Option('--entry')],
    run_log: Annotated[pathlib.Path, typer.Option()],
    announced: Annotated[str, typer.Option(help='IP:PORT announced.')] = '',
    service_time_s: Annotated[float, typer.Option(min=0)] = 0.02,
) -> None:
    """Run one target."""
    log = RunLog(run_log, target_id, os.getpid())
    one = functools.partial(
        Target,
        target_id,
        service,
        http,
        announced or http,
        entries,
        log,
        service_time_s,
    )
    asyncio.run(_run(one))


async def _run(build: Callable[[], Target]) -> None:
    await build().run()
