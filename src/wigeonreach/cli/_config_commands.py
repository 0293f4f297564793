"""Change the accepted text."""

from __future__ import annotations

import asyncio
import getpass
import pathlib
import time
import uuid
from collections.abc import Sequence
from typing import Annotated

import typer

from wigeonreach.cli import _options as options
from wigeonreach.cli._client import ask_any, status_of_all
from wigeonreach.cli._errors import errors_as_exits, exit_for, leave
from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.text import parse_fleet_text
from wigeonreach.wire import Member, parse_members
from wigeonreach.wire._config_messages import (
    ApplyReply,
    ApplyText,
    ReadReply,
    ReadText,
)

_POLL_S = 0.05
TextPath = Annotated[
    pathlib.Path,
    typer.Argument(exists=True, dir_okay=False, help='The TOML text.'),
]


def apply(
    path: TextPath,
    replicas: options.Replicas,
    base: Annotated[
        int | None,
        typer.Option(help='Version the change is based on; newest if left.'),
    ] = None,
    change_id: Annotated[
        str | None,
        typer.Option(help='Id of the change; the same id resends it.'),
    ] = None,
    wait_s: Annotated[
        float,
        typer.Option(min=0, help='Seconds to wait until it is in force.'),
    ] = 7.0,
) -> None:
    """Make a text the accepted one and wait until it is in force."""
    text = path.read_text()
    with errors_as_exits():
        members = parse_members(replicas, '--replica')
        reply = asyncio.run(_apply(members, text, base, change_id))
        if reply.code != ResultCode.OK:
            name = ResultCode(reply.code).name.lower()
            message = f'{reply.code} {name}: {reply.detail}'
            leave(exit_for(reply.code), message)
        behind = asyncio.run(_wait_in_force(members, reply.version, wait_s))
    if behind:
        names = ', '.join(behind)
        leave(
            ExitCode.NOT_IN_FORCE,
            f'version {reply.version} accepted, not yet in force on: {names}',
        )
    typer.echo(f'version {reply.version} accepted and in force')


def plan(path: TextPath, replicas: options.Replicas) -> None:
    """Check a text and show what would change, without changing it."""
    text = path.read_text()
    with errors_as_exits():
        wanted = parse_fleet_text(text)
        members = parse_members(replicas, '--replica')
        now = asyncio.run(ask_any(members, ReadText(), ReadReply))
        old = parse_fleet_text(now.text).services if now.text else {}
    typer.echo(f'based on version {now.version}')
    for name in sorted(set(old) | set(wanted.services)):
        before = old.get(name)
        after = wanted.services.get(name)
        if before != after:
            typer.echo(f'- {before}\n+ {after}')


async def _apply(
    members: Sequence[Member],
    text: str,
    base: int | None,
    change_id: str | None,
) -> ApplyReply:
    if base is None:
        base = (await ask_any(members, ReadText(), ReadReply)).version
    change = ApplyText(
        change_id=change_id or uuid.uuid4().hex,
        base_version=base,
        author=getpass.getuser(),
        text=text,
    )
    return await ask_any(members, change, ApplyReply)


async def _wait_in_force(
    members: Sequence[Member],
    version: int,
    wait_s: float,
) -> list[str]:
    ends_s = time.monotonic() + wait_s
    behind = await _behind(members, version)
    while behind and time.monotonic() < ends_s:
        await asyncio.sleep(_POLL_S)
        behind = await _behind(members, version)
    return behind


async def _behind(members: Sequence[Member], version: int) -> list[str]:
    replies = await status_of_all(members)
    return sorted(
        subscriber.process
        for reply in replies
        for subscriber in reply.subscribers
        if subscriber.version < version
    )
