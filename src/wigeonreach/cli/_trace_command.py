"""Tell the story of one id from logs."""

from __future__ import annotations

import pathlib
import sys
from typing import Annotated

import typer

from wigeonreach.cli._errors import leave
from wigeonreach.codes import ExitCode
from wigeonreach.observe._timeline import describe_timeline, parse_lines


def trace(
    subject: Annotated[
        str,
        typer.Argument(help='Id of a job, worker or VM, or a version.'),
    ],
    files: Annotated[
        list[pathlib.Path] | None,
        typer.Argument(
            help='Logs of the processes; standard input if none is given.',
            exists=True,
            dir_okay=False,
        ),
    ] = None,
) -> None:
    """Print what all processes logged about an id, in order."""
    lines: list[str] = []
    for path in files or ():
        lines.extend(path.read_text(encoding='utf-8').splitlines())
    if not files:
        lines.extend(sys.stdin)
    story = describe_timeline(parse_lines(lines), subject)
    if not story:
        leave(ExitCode.REFUSED, f'no line names {subject}')
    for told in story:
        typer.echo(told)
