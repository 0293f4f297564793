"""Tell why a VM is where it is."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Iterator
from typing import Annotated

import aiohttp
import msgspec
import typer

from wigeonreach.cli import _options as options
from wigeonreach.cli._client import operator_client
from wigeonreach.cli._errors import errors_as_exits, exit_for, leave
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.manager import JobStatus, decode_body
from wigeonreach.state import StateClient
from wigeonreach.text import FleetText, parse_fleet_text
from wigeonreach.wire import parse_members
from wigeonreach.wire._state_messages import (
    AcceptedText,
    ReadAccepted,
    ReadVms,
    ReadWaves,
    Vms,
    WaveRecord,
    Waves,
)

_TIMEOUT_S = 3.0


class Subject(enum.StrEnum):
    """What can be explained."""

    VM = 'vm'
    JOB = 'job'
    CODE = 'code'


class Explanation(msgspec.Struct, frozen=True):
    """What ``explain --json`` prints."""

    subject: str
    name: str
    reasons: list[str]


def explain(
    subject: Subject,
    name: Annotated[
        str, typer.Argument(help='VM, job, or number of a result.')
    ],
    replicas: options.Replicas = [],  # noqa: B006, WPS404 - typer copies it
    manager_url: Annotated[
        str,
        typer.Option(
            envvar='WIGEONREACH_MANAGER',
            help='URL of the manager of the zone of a job.',
        ),
    ] = 'http://127.0.0.1:8080',
    as_json: options.AsJson = False,
) -> None:
    """Tell why a VM or job is where it is, or what a result code means."""
    with errors_as_exits():
        if subject is Subject.CODE:
            reasons = _explain_code(name)
        elif subject is Subject.JOB:
            reasons = asyncio.run(_explain_job(manager_url, name))
        else:
            members = parse_members(replicas, '--replica')
            reasons = asyncio.run(_explain_vm(operator_client(members), name))
    if not reasons:
        leave(
            exit_for(ResultCode.WAVE_UNKNOWN),
            f'{int(ResultCode.WAVE_UNKNOWN)} unknown: {subject} {name}',
        )
    if as_json:
        explanation = Explanation(subject.value, name, reasons)
        typer.echo(msgspec.json.encode(explanation).decode())
        return
    typer.echo(name)
    for reason in reasons:
        typer.echo(f'  {reason}')


def _explain_code(number: str) -> list[str]:
    names = {str(int(code)): code.name.lower() for code in ResultCode}
    known = names.get(number)
    return [] if known is None else [f'{known}; see docs/RESULT-CODES.md']


async def _explain_job(manager_url: str, job_id: str) -> list[str]:
    url = f'{manager_url.rstrip("/")}/v1/jobs/{job_id}'
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as answer,
        ):
            body = await answer.read()
            is_known = answer.ok
    except (aiohttp.ClientError, TimeoutError) as error:
        raise WireError(ResultCode.WIRE_UNREACHABLE, str(error)) from error
    if not is_known:
        return []
    status = msgspec.json.decode(body, type=JobStatus)
    return [
        line
        for line in (
            status.state,
            status.worker and f'on worker {status.worker}',
            status.reason and f'because: {status.reason}',
        )
        if line
    ]


async def _explain_vm(client: StateClient, vm: str) -> list[str]:
    accepted = await client.read(ReadAccepted(), AcceptedText)
    owned = await client.read(ReadVms(), Vms)
    waves = await client.read(ReadWaves(), Waves)
    reasons: list[str] = []
    if accepted.text:
        text = parse_fleet_text(accepted.text)
        reasons.extend(_placed(text, accepted.version, vm))
    for record in owned.vms:
        if record.vm == vm:
            reasons.append(f'{record.phase} by pool {record.pool!r}')
    for wave in waves.waves:
        reasons.extend(_in_wave(wave, vm))
    return reasons


def _placed(text: FleetText, version: int, vm: str) -> Iterator[str]:
    for pool in text.pools.values():
        if vm in pool.vms:
            yield f'in pool {pool.name} since the text says so (v{version})'
            yield from _served(text, pool.name)


def _served(text: FleetText, pool: str) -> Iterator[str]:
    for service in text.services.values():
        if service.pool == pool:
            yield (
                f'{service.mode.value} service {service.name} promises '
                f'{service.promised_slots} slots there'
            )


def _in_wave(wave: WaveRecord, vm: str) -> Iterator[str]:
    body = decode_body(wave.body)
    for track in body.state.tracks if body.state else ():
        if track.vm == vm:
            yield f'{track.phase} in wave {wave.wave_id} ({wave.phase})'
            if body.waits_for:
                yield f'the wave waits for: {body.waits_for}'
