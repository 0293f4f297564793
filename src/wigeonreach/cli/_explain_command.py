"""Command that explains a VM, a job or a result code."""

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
from wigeonreach.cli._errors import (
    exit_code_for,
    exit_on_error,
    exit_with_message,
)
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
    """Kinds of things that can be explained."""

    VM = 'vm'
    JOB = 'job'
    CODE = 'code'


class Explanation(msgspec.Struct, frozen=True):
    """JSON that ``explain`` prints."""

    subject: str
    name: str
    reasons: list[str]


def explain(
    subject: Subject,
    name: Annotated[
        str, typer.Argument(help='VM name, job id or result number.')
    ],
    replicas: options.Replicas = [],  # noqa: B006, WPS404 - typer copies it
    manager_url: Annotated[
        str,
        typer.Option(
            envvar='WIGEONREACH_MANAGER',
            help='URL of the manager in the zone of the job.',
        ),
    ] = 'http://127.0.0.1:8080',
    as_json: options.AsJson = False,
) -> None:
    """Explain the state of a VM or job, or the meaning of a result code."""
    with exit_on_error():
        if subject is Subject.CODE:
            reasons = _explain_code(name)
        elif subject is Subject.JOB:
            reasons = asyncio.run(_explain_job(manager_url, name))
        else:
            members = parse_members(replicas, '--replica')
            reasons = asyncio.run(_explain_vm(operator_client(members), name))
    if not reasons:
        exit_with_message(
            exit_code_for(ResultCode.WAVE_UNKNOWN),
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
    code_name = names.get(number)
    return (
        [] if code_name is None else [f'{code_name}; see docs/RESULT-CODES.md']
    )


async def _explain_job(manager_url: str, job_id: str) -> list[str]:
    url = f'{manager_url.rstrip("/")}/v1/jobs/{job_id}'
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            body = await response.read()
            is_known = response.ok
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
    ownership = await client.read(ReadVms(), Vms)
    waves = await client.read(ReadWaves(), Waves)
    reasons: list[str] = []
    if accepted.text:
        text = parse_fleet_text(accepted.text)
        reasons.extend(_placement_reasons(text, accepted.version, vm))
    for record in ownership.vms:
        if record.vm == vm:
            reasons.append(f'{record.phase} by pool {record.pool!r}')
    for wave in waves.waves:
        reasons.extend(_wave_reasons(wave, vm))
    return reasons


def _placement_reasons(text: FleetText, version: int, vm: str) -> Iterator[str]:
    for pool in text.pools.values():
        if vm in pool.vms:
            yield f'in pool {pool.name} as configured in version {version}'
            yield from _service_reasons(text, pool.name)


def _service_reasons(text: FleetText, pool: str) -> Iterator[str]:
    for service in text.services.values():
        if service.pool == pool:
            yield (
                f'{service.mode.value} service {service.name} promises '
                f'{service.promised_slots} slots there'
            )


def _wave_reasons(wave: WaveRecord, vm: str) -> Iterator[str]:
    body = decode_body(wave.body)
    for track in body.state.tracks if body.state else ():
        if track.vm == vm:
            yield f'{track.phase} in wave {wave.wave_id} ({wave.phase})'
            if body.waits_for:
                yield f'the wave waits for: {body.waits_for}'
