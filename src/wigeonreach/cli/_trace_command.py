"""Command that collects the log lines about one id."""

from __future__ import annotations

import pathlib
import sys
from typing import Annotated

import typer

from wigeonreach.cli._errors import exit_with_message
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
            help='Log files of the processes; default: standard input.',
            exists=True,
            dir_okay=False,
        ),
    ] = None,
) -> None:
    """Print the log lines of all processes about an id, in time order."""
    lines: list[str] = []
    for path in files or ():
        lines.extend(path.read_text(encoding='utf-8').splitlines())
    if not files:
        lines.extend(sys.stdin)
    timeline = describe_timeline(parse_lines(lines), subject)
    if not timeline:
        exit_with_message(ExitCode.REFUSED, f'no log line mentions {subject}')
    for line in timeline:
        typer.echo(line)
