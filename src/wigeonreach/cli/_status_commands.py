"""Show the state of the system and who changed it."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Iterator, Sequence
from typing import Annotated

import msgspec
import typer

from wigeonreach.cli import _options as options
from wigeonreach.cli._client import (
    find_spread,
    followers_by_name,
    operator_client,
    status_of_all,
)
from wigeonreach.cli._errors import errors_as_exits, exit_for, leave
from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.wire import parse_members
from wigeonreach.wire._command_messages import ForgetProcess
from wigeonreach.wire._rollout_messages import ReplicaStatus
from wigeonreach.wire._state_messages import History, ReadHistory

_UNCONFIRMED_S = 3.0


class ProcessStatus(msgspec.Struct, frozen=True):
    """One line of ``status``; ``version`` is missing where none is known."""

    process: str
    zone: str
    role: str
    version: int | None
    note: str


def status(replicas: options.Replicas, as_json: options.AsJson = False) -> None:
    """Show each process and the version it acts on."""
    with errors_as_exits():
        members = parse_members(replicas, '--replica')
        replies = asyncio.run(status_of_all(members))
    lines = list(_lines(replies))
    if as_json:
        typer.echo(msgspec.json.encode(lines).decode())
    else:
        for line in lines:
            shown = '-' if line.version is None else f'v{line.version}'
            typer.echo(
                f'{line.process:<20} {line.zone:<12} {line.role:<9} '
                f'{shown:>8} {line.note}'.rstrip(),
            )
    if not replies:
        leave(ExitCode.UNREACHABLE, 'no replica answers')


def history(
    replicas: options.Replicas,
    limit: Annotated[int, typer.Option(min=1)] = 20,
    as_json: options.AsJson = False,
) -> None:
    """Show who changed what and when, newest first."""
    with errors_as_exits():
        client = operator_client(parse_members(replicas, '--replica'))
        past = asyncio.run(client.read(ReadHistory(limit), History))
    if as_json:
        typer.echo(msgspec.json.encode(past.entries).decode())
        return
    for entry in past.entries:
        at = datetime.datetime.fromtimestamp(entry.at_s, datetime.UTC)
        typer.echo(
            f'v{entry.version} {at:%Y-%m-%d %H:%M:%S}Z {entry.author}: '
            f'{entry.summary or "nothing changed"}',
        )


def forget(
    process: Annotated[str, typer.Argument(help='Name of the process.')],
    replicas: options.Replicas,
) -> None:
    """Stop waiting for a process that is gone for good."""
    with errors_as_exits():
        client = operator_client(parse_members(replicas, '--replica'))
        reply = asyncio.run(client.submit(ForgetProcess(process)))
    if reply.code != ResultCode.OK:
        leave(exit_for(reply.code), reply.detail)


def _lines(replies: Sequence[ReplicaStatus]) -> Iterator[ProcessStatus]:
    newest = max((reply.version for reply in replies), default=0)
    for reply in replies:
        yield ProcessStatus(
            reply.process,
            reply.zone,
            reply.role,
            reply.version,
            _replica_note(reply, newest),
        )
    followers = followers_by_name(replies)
    behind = find_spread(replies, newest).behind
    for name in sorted(followers.keys() | set(behind)):
        follower = followers.get(name)
        note = 'behind' if name in behind else ''
        if follower is None:
            yield ProcessStatus(name, '', 'entry', None, 'not reached')
        else:
            yield ProcessStatus(
                name,
                follower.zone,
                'entry',
                follower.version,
                note,
            )


def _replica_note(reply: ReplicaStatus, newest: int) -> str:
    if not 0 <= reply.confirmed_age_s < _UNCONFIRMED_S:
        return 'out of touch with the quorum'
    return 'behind' if reply.version < newest else ''
