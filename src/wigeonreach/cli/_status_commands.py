"""Show the state of the system."""

from __future__ import annotations

import asyncio

import msgspec
import typer

from wigeonreach.cli import _options as options
from wigeonreach.cli._client import status_of_all
from wigeonreach.cli._errors import errors_as_exits
from wigeonreach.wire import parse_members


def status(replicas: options.Replicas, as_json: options.AsJson = False) -> None:
    """Show each process and the version it acts on."""
    with errors_as_exits():
        members = parse_members(replicas, '--replica')
        replies = asyncio.run(status_of_all(members))
    if as_json:
        typer.echo(msgspec.json.encode(replies).decode())
        return
    for reply in replies:
        typer.echo(f'{reply.process:<12} {reply.role:<9} v{reply.version}')
        for subscriber in reply.subscribers:
            typer.echo(f'  {subscriber.process:<10} v{subscriber.version}')
