"""Run one daemon until it is told to stop."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable
from typing import Protocol

from wigeonreach.codes import ExitCode
from wigeonreach.observe import (
    LogEvent,
    LogFormat,
    Logger,
    LogLevel,
    configure_logs,
)


class Daemon(Protocol):
    """What the runner needs of a daemon; ``mode.Service`` has most of it."""

    async def start(self) -> None:
        """Begin to serve."""

    async def drain(self) -> None:
        """Finish what is in flight and take nothing new."""

    async def stop(self) -> None:
        """Release everything."""


def start_daemon(
    name: str,
    log_format: LogFormat,
    log_level: LogLevel,
    make: Callable[[Logger], Daemon],
) -> None:
    """Set logs up, then make a daemon and run it.

    Parameters
    ----------
    name
        Of the process, on each of its log lines.
    log_format, log_level
        Shape of the lines, and which are written.
    make
        Returns the daemon.
    """
    configure_logs(log_format, log_level)
    logger = Logger(name)
    run_daemon(make(logger), logger)


def run_daemon(daemon: Daemon, logger: Logger) -> None:
    """Run a daemon until SIGTERM or SIGINT; a second signal ends it at once.

    Parameters
    ----------
    daemon
        The daemon to run.
    logger
        Where start and stop are logged.
    """
    asyncio.run(_run(daemon, logger))


async def _run(daemon: Daemon, logger: Logger) -> None:
    told = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_signal, told, logger)
    await daemon.start()
    logger.info(LogEvent.DAEMON_STARTED, pid=os.getpid())
    await told.wait()
    logger.info(LogEvent.DAEMON_STOPPING)
    await daemon.drain()
    await daemon.stop()
    logger.info(LogEvent.DAEMON_STOPPED)


def _on_signal(told: asyncio.Event, logger: Logger) -> None:
    if told.is_set():
        logger.warning(LogEvent.DAEMON_FORCED)
        os._exit(ExitCode.FAILED)  # noqa: SLF001, WPS437
    told.set()
