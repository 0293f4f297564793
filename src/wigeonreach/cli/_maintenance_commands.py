"""Commands that start, control and show maintenance waves."""

from __future__ import annotations

import asyncio
import collections
import time
from typing import Annotated

import msgspec
import typer

from wigeonreach.cli import _options as options
from wigeonreach.cli._client import operator_client
from wigeonreach.cli._errors import (
    exit_code_for,
    exit_on_error,
    exit_with_message,
)
from wigeonreach.codes import ResultCode
from wigeonreach.manager import WaveBody, decode_body, encode_body
from wigeonreach.wire import parse_members
from wigeonreach.wire._command_messages import (
    Action,
    Reply,
    StartWave,
    SteerWave,
)
from wigeonreach.wire._state_messages import ReadWaves, WaveRecord, Waves

maintenance = typer.Typer(
    no_args_is_help=True,
    help='Drain, reboot and check VMs in waves, within the budgets.',
)
WaveId = Annotated[str, typer.Argument(help='Unique name of the wave.')]
CommandId = Annotated[
    str | None,
    typer.Option(help='Id of the command; resend it with the same id.'),
]


class WaveStatusLine(msgspec.Struct, frozen=True):
    """One wave in the JSON that ``maintenance status`` prints."""

    wave_id: str
    phase: str
    author: str
    started_at_s: float
    waits_for: str
    vms: dict[str, int]


@maintenance.command()
def start(
    wave_id: WaveId,
    replicas: options.Replicas,
    pools: Annotated[list[str], typer.Option('--pool')] = [],  # noqa: B006, WPS404 - typer copies it
    zones: Annotated[list[str], typer.Option('--zone')] = [],  # noqa: B006, WPS404 - typer copies it
    command_id: CommandId = None,
    as_json: options.AsJson = False,
) -> None:
    """Start a wave over all VMs, or those of the given pools and zones."""
    body = WaveBody(tuple(pools), tuple(zones))
    action = StartWave(wave_id, encode_body(body))
    _submit(action, replicas, command_id or f'start/{wave_id}', as_json)


@maintenance.command()
def pause(
    wave_id: WaveId,
    replicas: options.Replicas,
    command_id: CommandId = None,
    as_json: options.AsJson = False,
) -> None:
    """Pause a wave: VMs in progress finish, no others start."""
    _submit(SteerWave(wave_id, 'pause'), replicas, command_id, as_json)


@maintenance.command()
def resume(
    wave_id: WaveId,
    replicas: options.Replicas,
    command_id: CommandId = None,
    as_json: options.AsJson = False,
) -> None:
    """Resume a wave that was paused or that halted by itself."""
    _submit(SteerWave(wave_id, 'resume'), replicas, command_id, as_json)


@maintenance.command()
def stop(
    wave_id: WaveId,
    replicas: options.Replicas,
    command_id: CommandId = None,
    as_json: options.AsJson = False,
) -> None:
    """Stop a wave: draining VMs are restored, reboots finish."""
    _submit(SteerWave(wave_id, 'stop'), replicas, command_id, as_json)


@maintenance.command()
def status(
    replicas: options.Replicas,
    as_json: options.AsJson = False,
) -> None:
    """Show the progress of each wave and what it waits for."""
    with exit_on_error():
        members = parse_members(replicas, '--replica')
        client = operator_client(members)
        waves = asyncio.run(client.read(ReadWaves(), Waves))
        lines = [_wave_status(record) for record in waves.waves]
    if as_json:
        typer.echo(msgspec.json.encode(lines).decode())
        return
    for line in lines:
        counts = ', '.join(
            f'{count} {name}' for name, count in line.vms.items()
        )
        age_min = (time.time() - line.started_at_s) / 60
        typer.echo(f'{line.wave_id:<16} {line.phase:<9} {age_min:.0f} min')
        typer.echo(f'  VMs: {counts or "none started yet"}')
        if line.waits_for:
            typer.echo(f'  waits for: {line.waits_for}')


def _submit(
    action: Action,
    replicas: list[str],
    command_id: str | None,
    as_json: bool,
) -> None:
    with exit_on_error():
        members = parse_members(replicas, '--replica')
        client = operator_client(members)
        reply: Reply = asyncio.run(client.submit(action, command_id))
    name = ResultCode(reply.code).name.lower()
    if as_json:
        typer.echo(msgspec.json.encode(reply).decode())
    if reply.code != ResultCode.OK:
        exit_with_message(
            exit_code_for(reply.code), f'{reply.code} {name}: {reply.detail}'
        )
    if not as_json:
        typer.echo('done')


def _wave_status(record: WaveRecord) -> WaveStatusLine:
    body = decode_body(record.body)
    tracks = body.state.tracks if body.state else ()
    counts = collections.Counter(track.phase.value for track in tracks)
    return WaveStatusLine(
        wave_id=record.wave_id,
        phase=record.phase,
        author=record.author,
        started_at_s=record.at_s,
        waits_for=body.waits_for,
        vms=dict(counts),
    )
