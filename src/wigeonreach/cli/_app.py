"""Assemble the commands into one application."""

from __future__ import annotations

import typer

from wigeonreach.cli._config_commands import apply, plan, restore
from wigeonreach.cli._core_command import core
from wigeonreach.cli._daemon_commands import entry, replica
from wigeonreach.cli._explain_command import explain
from wigeonreach.cli._group import NumberedErrorGroup
from wigeonreach.cli._maintenance_commands import maintenance
from wigeonreach.cli._manager_command import manager
from wigeonreach.cli._status_commands import forget, history, status
from wigeonreach.cli._trace_command import trace

app = typer.Typer(
    cls=NumberedErrorGroup,
    no_args_is_help=True,
    help='Run and control the daemons of a fleet.',
    epilog='Exit codes: 0 done, 1 failed, 2 usage or setting, 3 refused, '
    '4 conflict, 5 unreachable, 6 accepted but not yet in force.',
    pretty_exceptions_enable=False,
)
app.command()(entry)
app.command()(replica)
app.command()(manager)
app.command()(core)
app.command()(apply)
app.command()(plan)
app.command()(restore)
app.command()(history)
app.command()(status)
app.command()(forget)
app.command()(explain)
app.command()(trace)
app.add_typer(maintenance, name='maintenance')
