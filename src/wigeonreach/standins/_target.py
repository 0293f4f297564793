"""Stand-in for a target: announces itself, serves and logs its runs."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
from typing import Annotated, Final

import typer
from aiohttp import web

from wigeonreach.standins._announcer import (
    STATE_PATH,
    Announcer,
    AnnouncerOptions,
)
from wigeonreach.standins._faults import REQUEST_ID_HEADER, Fault, FaultInjector
from wigeonreach.standins._run_log import RunKind, RunLog

_SHUTDOWN_DELAY_S: Final = 3.0
_UNLIMITED: Final = 1_000_000


class Target:
    """One runner of a service.

    Parameters
    ----------
    target_id
        Id of the target.
    address
        IP:PORT to serve on.
    announcer
        Announces the target to the entries.
    run_log
        Log to which each run is written before it starts.
    service_time_s
        Mean duration of a run, in seconds.
    faults
        Injects faults into responses.
    run_slots
        Maximum number of requests worked on at once; others wait.
    """

    def __init__(
        self,
        target_id: str,
        address: str,
        announcer: Announcer,
        run_log: RunLog,
        service_time_s: float,
        faults: FaultInjector,
        run_slots: int = _UNLIMITED,
    ) -> None:
        """Prepare; announcements begin in ``run``."""
        self._target_id = target_id
        self._address = address
        self._announcer = announcer
        self._run_log = run_log
        self._service_time_s = service_time_s
        self._work_slots = asyncio.Semaphore(run_slots)
        self._faults = faults
        self._running = 0
        self._leaving = asyncio.Event()
        self._rng = random.Random(target_id)  # noqa: S311

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests in flight."""
        application = web.Application()
        application.router.add_get(STATE_PATH, self._on_state)
        application.router.add_route('*', '/{tail:.*}', self._on_request)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        host, _, port = self._address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._leave)
        announcing = asyncio.ensure_future(self._announcer.run())
        await self._leaving.wait()
        await asyncio.sleep(_SHUTDOWN_DELAY_S)
        announcing.cancel()
        await runner.cleanup()

    def _leave(self) -> None:
        self._announcer.leave()
        self._run_log.write(RunKind.LEAVING, '', 0)
        self._leaving.set()

    async def _on_state(self, _request: web.Request) -> web.Response:
        return web.Response(headers=self._announcer.headers)

    async def _on_request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        work = body.decode()
        self._running += 1
        self._run_log.write(RunKind.START, work, self._running)
        try:
            async with self._work_slots:
                await self._work()
        finally:
            self._running -= 1
        self._run_log.write(RunKind.END, work, self._running)
        text = f'{self._target_id} {work}'
        faulty = await self._faults.faulty_response(request, text)
        if faulty is not None:
            return faulty
        return web.Response(
            text=text,
            headers={
                REQUEST_ID_HEADER: request.headers.get(REQUEST_ID_HEADER, ''),
                **self._announcer.headers,
            },
        )

    async def _work(self) -> None:
        if self._service_time_s:
            mean_rate = 1 / self._service_time_s
            await asyncio.sleep(self._rng.expovariate(mean_rate))


def target(
    target_id: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    http: Annotated[str, typer.Option(help='IP:PORT to serve on.')],
    entries: Annotated[list[str], typer.Option('--entry')],
    run_log: Annotated[pathlib.Path, typer.Option()],
    announced: Annotated[str, typer.Option(help='IP:PORT announced.')] = '',
    service_time_s: Annotated[float, typer.Option(min=0)] = 0.02,
    announce_s: Annotated[float, typer.Option(min=0)] = 0,
    lease_s: Annotated[float, typer.Option(min=0)] = 0,
    fault: Annotated[list[Fault], typer.Option()] = [],  # noqa: B006, WPS404 - typer copies it
    fault_ratio: Annotated[float, typer.Option(min=0, max=1)] = 0.3,
    *,
    naive: bool = False,
    run_slots: Annotated[int, typer.Option(min=1)] = _UNLIMITED,
) -> None:
    """Run one target."""
    options = AnnouncerOptions(tuple(entries), announce_s, lease_s, naive)
    log = RunLog(run_log, target_id, os.getpid())
    faults = FaultInjector(
        tuple(fault),
        fault_ratio,
        random.Random(target_id),  # noqa: S311
    )
    announcer = Announcer(target_id, service, announced or http, options)
    asyncio.run(
        _run(
            target_id,
            http,
            announcer,
            log,
            service_time_s,
            faults,
            run_slots,
        ),
    )


async def _run(
    target_id: str,
    http: str,
    announcer: Announcer,
    log: RunLog,
    service_time_s: float,
    faults: FaultInjector,
    run_slots: int,
) -> None:
    await Target(
        target_id,
        http,
        announcer,
        log,
        service_time_s,
        faults,
        run_slots,
    ).run()
