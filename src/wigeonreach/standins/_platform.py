"""Stand in for the platform that owns the workers and VMs."""

from __future__ import annotations

from typing import Annotated

import msgspec
import typer
from aiohttp import web


class VmState(msgspec.Struct):
    """One VM, as the platform tells of it."""

    name: str
    zone: str
    rack: str
    state: str


def platform(
    http: Annotated[str, typer.Option(help='IP:PORT to listen on.')],
    zones: Annotated[list[str], typer.Option('--zone')],
    vms_per_zone: Annotated[int, typer.Option(min=1)] = 10,
    vms_per_rack: Annotated[int, typer.Option(min=1)] = 4,
) -> None:
    """List VMs with their rack and zone, and drain and reboot them."""
    fleet = {
        vm.name: vm
        for zone in zones
        for vm in _zone_vms(zone, vms_per_zone, vms_per_rack)
    }
    application = web.Application()
    application['fleet'] = fleet
    application.router.add_get('/vms', _on_list)
    application.router.add_post('/vms/{name}/{action}', _on_action)
    host, _, port = http.rpartition(':')
    web.run_app(application, host=host, port=int(port), print=None)


def _zone_vms(zone: str, count: int, per_rack: int) -> list[VmState]:
    return [
        VmState(
            name=f'{zone}-vm-{number}',
            zone=zone,
            rack=f'{zone}-rack-{number // per_rack}',
            state='running',
        )
        for number in range(count)
    ]


async def _on_list(request: web.Request) -> web.Response:
    return _json(list(request.app['fleet'].values()))


async def _on_action(request: web.Request) -> web.Response:
    vm = request.app['fleet'].get(request.match_info['name'])
    if vm is None:
        raise web.HTTPNotFound
    vm.state = request.match_info['action']
    return _json(vm)


def _json(reply: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(reply),
        content_type='application/json',
    )
