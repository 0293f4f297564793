"""Map errors to exit codes."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from types import MappingProxyType
from typing import NoReturn

import typer

from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.exceptions import (
    FleetTextError,
    SettingError,
    StateError,
    WigeonreachError,
    WireError,
)

_EXIT_BY_ERROR = MappingProxyType(
    {
        SettingError: ExitCode.USAGE,
        FleetTextError: ExitCode.REFUSED,
        StateError: ExitCode.UNREACHABLE,
        WireError: ExitCode.UNREACHABLE,
    }
)
_EXIT_BY_CODE = MappingProxyType(
    {
        ResultCode.OK: ExitCode.DONE,
        ResultCode.STATE_CONFLICT: ExitCode.CONFLICT,
        ResultCode.STATE_NO_QUORUM: ExitCode.UNREACHABLE,
    }
)


@contextlib.contextmanager
def exit_on_error() -> Iterator[None]:
    """Print a numbered error and exit with its exit code."""
    try:
        yield
    except WigeonreachError as error:
        exit_with_message(
            _EXIT_BY_ERROR.get(type(error), ExitCode.FAILED), str(error)
        )


def exit_code_for(code: int) -> ExitCode:
    """Return the exit code for a result code."""
    return _EXIT_BY_CODE.get(ResultCode(code), ExitCode.REFUSED)


def exit_with_message(code: ExitCode, message: str) -> NoReturn:
    """Print a message to standard error and exit."""
    typer.echo(message, err=True)
    raise typer.Exit(int(code))
