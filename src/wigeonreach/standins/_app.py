"""Gather the stand-ins' commands."""

from __future__ import annotations

import typer

from wigeonreach.standins._platform import platform
from wigeonreach.standins._target import target

app = typer.Typer(
    no_args_is_help=True,
    help='Stand in for what is outside the system.',
    pretty_exceptions_enable=False,
)
app.command()(target)
app.command()(platform)
