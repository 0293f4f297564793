"""Run one daemon until it receives a signal to stop."""

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
    """Interface of a daemon; ``mode.Service`` provides most of it."""

    async def start(self) -> None:
        """Start serving."""

    async def drain(self) -> None:
        """Finish requests in flight and accept no new ones."""

    async def stop(self) -> None:
        """Release all resources."""


def start_daemon(
    name: str,
    log_format: LogFormat,
    log_level: LogLevel,
    create: Callable[[Logger], Daemon],
) -> None:
    """Configure logging, then create a daemon and run it.

    Parameters
    ----------
    name
        Name of the process, added to each log line.
    log_format, log_level
        Format of the log lines and the lowest level written.
    make
        Creates the daemon with the given logger.
    """
    configure_logs(log_format, log_level)
    logger = Logger(name)
    run_daemon(create(logger), logger)


def run_daemon(daemon: Daemon, logger: Logger) -> None:
    """Run a daemon until SIGTERM or SIGINT; a second signal exits at once.

    Parameters
    ----------
    daemon
        The daemon to run.
    logger
        Logs start and stop.
    """
    asyncio.run(_run(daemon, logger))


async def _run(daemon: Daemon, logger: Logger) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_signal, stop_requested, logger)
    await daemon.start()
    logger.info(LogEvent.DAEMON_STARTED, pid=os.getpid())
    await stop_requested.wait()
    logger.info(LogEvent.DAEMON_STOPPING)
    await daemon.drain()
    await daemon.stop()
    logger.info(LogEvent.DAEMON_STOPPED)


def _on_signal(stop_requested: asyncio.Event, logger: Logger) -> None:
    if stop_requested.is_set():
        logger.warning(LogEvent.DAEMON_FORCED)
        os._exit(ExitCode.FAILED)  # noqa: SLF001, WPS437
    stop_requested.set()
