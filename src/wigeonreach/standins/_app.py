"""Command line interface of the stand-ins."""

from __future__ import annotations

import typer

from wigeonreach.standins._platform import platform
from wigeonreach.standins._target import target

app = typer.Typer(
    no_args_is_help=True,
    help='Run stand-ins for external systems.',
    pretty_exceptions_enable=False,
)
app.command()(target)
app.command()(platform)
