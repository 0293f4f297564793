"""Commands that show processes and the history of changes."""

from __future__ import annotations

import asyncio
import datetime
from collections.abc import Iterator, Sequence
from typing import Annotated

import msgspec
import typer

from wigeonreach.cli import _options as options
from wigeonreach.cli._client import (
    find_progress,
    followers_by_name,
    operator_client,
    status_of_all,
)
from wigeonreach.cli._errors import (
    exit_code_for,
    exit_on_error,
    exit_with_message,
)
from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.wire import parse_members
from wigeonreach.wire._command_messages import ForgetProcess
from wigeonreach.wire._rollout_messages import ReplicaStatus
from wigeonreach.wire._state_messages import History, ReadHistory

_MAX_CONFIRMED_AGE_S = 3.0


class ProcessStatus(msgspec.Struct, frozen=True):
    """One line of ``status``; ``version`` is None if unknown."""

    process: str
    zone: str
    role: str
    version: int | None
    note: str


def status(replicas: options.Replicas, as_json: options.AsJson = False) -> None:
    """Show each process and the configuration version it runs."""
    with exit_on_error():
        members = parse_members(replicas, '--replica')
        replies = asyncio.run(status_of_all(members))
    lines = list(_process_statuses(replies))
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
        exit_with_message(ExitCode.UNREACHABLE, 'no replica answers')


def history(
    replicas: options.Replicas,
    limit: Annotated[int, typer.Option(min=1)] = 20,
    as_json: options.AsJson = False,
) -> None:
    """Show the changes with author and time, newest first."""
    with exit_on_error():
        client = operator_client(parse_members(replicas, '--replica'))
        changes = asyncio.run(client.read(ReadHistory(limit), History))
    if as_json:
        typer.echo(msgspec.json.encode(changes.entries).decode())
        return
    for entry in changes.entries:
        at = datetime.datetime.fromtimestamp(entry.at_s, datetime.UTC)
        typer.echo(
            f'v{entry.version} {at:%Y-%m-%d %H:%M:%S}Z {entry.author}: '
            f'{entry.summary or "nothing changed"}',
        )


def forget(
    process: Annotated[str, typer.Argument(help='Name of the process.')],
    replicas: options.Replicas,
) -> None:
    """Remove a process that is permanently gone from the expected ones."""
    with exit_on_error():
        client = operator_client(parse_members(replicas, '--replica'))
        reply = asyncio.run(client.submit(ForgetProcess(process)))
    if reply.code != ResultCode.OK:
        exit_with_message(exit_code_for(reply.code), reply.detail)


def _process_statuses(
    replies: Sequence[ReplicaStatus],
) -> Iterator[ProcessStatus]:
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
    behind = find_progress(replies, newest).behind
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
    if not 0 <= reply.confirmed_age_s < _MAX_CONFIRMED_AGE_S:
        return 'out of touch with the quorum'
    return 'behind' if reply.version < newest else ''
