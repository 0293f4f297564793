"""Start one of the platform's processes: ``entry`` or ``core``."""

from __future__ import annotations

import importlib
import os
import pathlib
import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType

from wigeonreach._runner import Daemon, start_daemon
from wigeonreach.codes import ExitCode, ResultCode
from wigeonreach.exceptions import SettingError, WigeonreachError
from wigeonreach.observe import LogFormat, LogLevel, Metrics
from wigeonreach.platform._settings import FILE_VARIABLE, read_platform_file

# Modules are imported on demand: an entry that doesn't load the core starts in
# half the time.
_PROCESSES: Mapping[str, tuple[str, str]] = MappingProxyType(
    {
        'entry': ('wigeonreach.platform._entry_process', 'EntryProcess'),
        'core': ('wigeonreach.platform._core_process', 'CoreProcess'),
    },
)


def main(arguments: list[str]) -> int:
    """Run the process named by the arguments.

    Parameters
    ----------
    arguments
        Command line without the program name.

    Returns
    -------
    int
        Exit status.
    """
    try:
        _run(arguments)
    except WigeonreachError as error:
        sys.stderr.write(f'{error}\n')
        return ExitCode.USAGE
    return ExitCode.DONE


def _run(arguments: list[str]) -> None:
    if len(arguments) != 1 or arguments[0] not in _PROCESSES:
        raise SettingError(
            ResultCode.SETTING_INVALID,
            f'arguments: {arguments}; allowed: one of {sorted(_PROCESSES)}',
        )
    file_name = os.environ.get(FILE_VARIABLE, '')
    if not file_name:
        raise SettingError(
            ResultCode.SETTING_MISSING,
            f'{FILE_VARIABLE}: path of the settings file',
        )
    path = pathlib.Path(file_name)
    settings = read_platform_file(path)
    module, name = _PROCESSES[arguments[0]]
    create: Callable[..., Daemon] = getattr(
        importlib.import_module(module),
        name,
    )
    start_daemon(
        settings.node_name,
        LogFormat.JSON,
        LogLevel.INFO,
        lambda logger: create(path, settings, logger, Metrics()),
    )


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
