"""Number the errors of settings that the argument parser finds."""

from __future__ import annotations

from typing import Any

import typer
from typer.core import TyperGroup

from wigeonreach.cli._errors import leave
from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.exceptions import SettingError


class NumberedGroup(TyperGroup):
    """A group of commands whose refusals of a setting carry a number."""

    def invoke(self, ctx: Any) -> Any:
        """Run the chosen command.

        Parameters
        ----------
        ctx
            The parser's context.

        Raises
        ------
        typer.Exit
            If a setting is missing or malformed; it was named with a number
            on standard error.
        """
        try:
            return super().invoke(ctx)
        except typer.BadParameter as error:
            leave(ExitCode.USAGE, str(_numbered(error)))


def _numbered(error: typer.BadParameter) -> SettingError:
    message = error.format_message()
    # The parser's class for missing settings is not public.
    is_missing = message.startswith('Missing')
    code = ResultCode.SETTING_INVALID
    if is_missing:
        code = ResultCode.SETTING_MISSING
    return SettingError(code, f'{_name(error)}: {message}')


def _name(error: typer.BadParameter) -> str:
    parameter = error.param
    if parameter is None:
        return str(error.param_hint)
    flag = parameter.opts[0]
    if parameter.envvar:
        return f'{flag} ({parameter.envvar})'
    return flag
