"""Write structured logs of numbered events."""

from __future__ import annotations

import enum
import logging
import sys
from typing import Any

import structlog

from wigeonreach.observe._events import LogEvent


class LogFormat(enum.StrEnum):
    """Whether logs are for programs or for people."""

    JSON = 'json'
    TEXT = 'text'


class LogLevel(enum.StrEnum):
    """Lowest level of the lines that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Logger:
    """Write numbered events of one process.

    Parameters
    ----------
    process
        Name of the process, added to each line.
    """

    def __init__(self, process: str) -> None:
        """Bind the process name."""
        self._logger = structlog.get_logger().bind(process=process)

    def info(self, event: LogEvent, **fields: Any) -> None:
        """Write an event of ordinary operation."""
        self._logger.info(event.name.lower(), number=int(event), **fields)

    def warning(self, event: LogEvent, **fields: Any) -> None:
        """Write an event that an operator should look at."""
        self._logger.warning(event.name.lower(), number=int(event), **fields)


def configure_logs(log_format: LogFormat, log_level: LogLevel) -> None:
    """Send logs to standard error.

    Parameters
    ----------
    log_format
        Shape of each line.
    log_level
        Lowest level that is written.
    """
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log_format is LogFormat.TEXT:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    level = logging.getLevelNamesMapping()[log_level.name]
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
