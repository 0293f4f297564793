"""Report errors of the argument parser as numbered setting errors."""

from __future__ import annotations

from typing import Any

import typer
from typer.core import TyperGroup

from wigeonreach.cli._errors import exit_with_message
from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.exceptions import SettingError


class NumberedErrorGroup(TyperGroup):
    """Command group that reports an invalid setting with its number."""

    def invoke(self, ctx: Any) -> Any:
        """Run the chosen command.

        Parameters
        ----------
        ctx
            Context of the argument parser.

        Raises
        ------
        typer.Exit
            If a setting is missing or malformed; the numbered error has been
            printed to standard error.
        """
        try:
            return super().invoke(ctx)
        except typer.BadParameter as error:
            exit_with_message(ExitCode.USAGE, str(_to_setting_error(error)))


def _to_setting_error(error: typer.BadParameter) -> SettingError:
    message = error.format_message()
    # The exception class for missing settings is not public.
    is_missing = message.startswith('Missing')
    code = ResultCode.SETTING_INVALID
    if is_missing:
        code = ResultCode.SETTING_MISSING
    return SettingError(code, f'{_setting_name(error)}: {message}')


def _setting_name(error: typer.BadParameter) -> str:
    parameter = error.param
    if parameter is None:
        return str(error.param_hint)
    flag = parameter.opts[0]
    if parameter.envvar:
        return f'{flag} ({parameter.envvar})'
    return flag
