"""Stand-in for the platform that owns the workers and VMs."""

from __future__ import annotations

import asyncio
import pathlib
import random
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec
import typer
from aiohttp import web

from wigeonreach.provider import TaskAction, VmAction
from wigeonreach.standins._platform_fleet import (
    FencedError,
    Fleet,
    Timing,
    new_vms,
)

_LATE_S = 3.0
_ACTION_LOG = pathlib.Path('actions.jsonl')
_FLEET = web.AppKey('fleet', Fleet)
_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
_BadImages = Annotated[
    list[str],
    typer.Option(
        '--bad-image', help='VM that is never healthy after a reboot.'
    ),
]
_Ratio = Annotated[float, typer.Option(min=0, max=1)]


class FaultRatios(msgspec.Struct, frozen=True):
    """Share of responses late, lost or wrong, and of requests done twice."""

    late_ratio: float
    lost_ratio: float
    doubled_ratio: float
    wrong_ratio: float


def platform(
    http: Annotated[str, typer.Option(help='IP:PORT to listen on.')],
    zones: Annotated[list[str], typer.Option('--zone')],
    vms_per_zone: Annotated[int, typer.Option(min=1)] = 10,
    vms_per_rack: Annotated[int, typer.Option(min=1)] = 4,
    action_log: pathlib.Path = _ACTION_LOG,
    bad_images: _BadImages = [],  # noqa: B006, WPS404 - typer copies it
    drain_s: float = 0.2,
    reboot_s: float = 0.3,
    check_s: float = 0.1,
    task_s: float = 1.0,
    late_ratio: _Ratio = 0,
    lost_ratio: _Ratio = 0,
    doubled_ratio: _Ratio = 0,
    wrong_ratio: _Ratio = 0,
    seed: int = 1,
) -> None:
    """Serve the API of the platform, optionally with injected faults."""
    fleet = Fleet(
        new_vms(zones, vms_per_zone, vms_per_rack),
        Timing(drain_s, reboot_s, check_s, task_s),
        frozenset(bad_images),
        action_log,
    )
    faults = FaultRatios(late_ratio, lost_ratio, doubled_ratio, wrong_ratio)
    application = build_application(fleet, faults, seed)
    host, _, port = http.rpartition(':')
    web.run_app(application, host=host, port=int(port), print=None)


def build_application(
    fleet: Fleet,
    faults: FaultRatios,
    seed: int,
) -> web.Application:
    """Return the platform's HTTP interface over a fleet."""
    rng = random.Random(seed)  # noqa: S311 - faults are no secret

    @web.middleware
    async def with_faults(  # noqa: WPS430 - aiohttp wants a function
        request: web.Request,
        handler: _Handler,
    ) -> web.StreamResponse:
        return await _inject_faults(request, handler, faults, rng)

    application = web.Application(middlewares=[with_faults])
    application[_FLEET] = fleet
    application.router.add_get('/v1/vms', _on_list)
    application.router.add_post('/v1/vms/{name}/actions', _on_vm_action)
    application.router.add_get('/v1/workers/{name}/tasks', _on_tasks)
    application.router.add_post('/v1/workers/{name}/actions', _on_task_action)
    return application


async def _inject_faults(
    request: web.Request,
    handler: _Handler,
    faults: FaultRatios,
    rng: random.Random,
) -> web.StreamResponse:
    answer = await handler(request)
    if rng.random() < faults.doubled_ratio:
        answer = await handler(request)
    if rng.random() < faults.late_ratio:
        await asyncio.sleep(_LATE_S)
    if rng.random() < faults.lost_ratio and request.transport is not None:
        request.transport.close()
    if rng.random() < faults.wrong_ratio:
        return _json({'request_id': 'of-another', 'revision': 0, 'vms': ()})
    return answer


async def _on_list(request: web.Request) -> web.Response:
    after = int(request.query.get('after', '0'))
    revision, vms = request.app[_FLEET].page(after)
    return _json(
        {
            'request_id': request.headers.get('X-Request-Id', ''),
            'revision': revision,
            'vms': vms,
        }
    )


async def _on_tasks(request: web.Request) -> web.Response:
    return _json(
        {
            'request_id': request.headers.get('X-Request-Id', ''),
            'tasks': request.app[_FLEET].tasks(request.match_info['name']),
        }
    )


async def _on_vm_action(request: web.Request) -> web.Response:
    action = msgspec.json.decode(await request.read(), type=VmAction)
    try:
        request.app[_FLEET].act(action)
    except FencedError as error:
        raise web.HTTPConflict from error
    return _acknowledge(request, action.action_id, action.vm)


async def _on_task_action(request: web.Request) -> web.Response:
    action = msgspec.json.decode(await request.read(), type=TaskAction)
    try:
        request.app[_FLEET].act_on_task(action)
    except FencedError as error:
        raise web.HTTPConflict from error
    return _acknowledge(request, action.action_id, action.job_id)


def _acknowledge(
    request: web.Request, action_id: str, subject: str
) -> web.Response:
    return _json(
        {
            'request_id': request.headers.get('X-Request-Id', ''),
            'action_id': action_id,
            'subject': subject,
        }
    )


def _json(reply: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(reply),
        content_type='application/json',
    )
