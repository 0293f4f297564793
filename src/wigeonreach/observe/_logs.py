"""Write structured log lines of numbered events."""

from __future__ import annotations

import enum
import json
import logging
import sys
from collections.abc import Callable
from typing import Any

import structlog

from wigeonreach.observe._events import LogEvent
from wigeonreach.observe._lines import LineSink, stdout_sink

_URGENT = frozenset(('warning', 'error', 'critical'))


class LogFormat(enum.StrEnum):
    """Format of log lines: JSON for programs, text for people."""

    JSON = 'json'
    TEXT = 'text'


class LogLevel(enum.StrEnum):
    """Lowest level of the lines that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Logger:
    """Write the numbered events of one process.

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

    def message_unreadable(self, error: Exception) -> None:
        """Write that a peer sent what can't be decoded."""
        self.warning(LogEvent.MESSAGE_UNREADABLE, reason=str(error))


class _SinkLogger:
    """Logger behind structlog, with a method for each level."""

    def __init__(self, sink: LineSink) -> None:
        self._sink = sink

    def __getattr__(self, level: str) -> Callable[[str], None]:
        return lambda line: self._put(level, line)

    def _put(self, level: str, line: str) -> None:
        omitted = self._sink.take_omitted_count()
        if omitted:
            omission = {
                'number': int(LogEvent.LINES_OMITTED),
                'event': LogEvent.LINES_OMITTED.name.lower(),
                'lines': omitted,
            }
            self._sink.put(json.dumps(omission).encode(), is_urgent=True)
        self._sink.put(line.encode(), is_urgent=level in _URGENT)


def configure_logs(
    log_format: LogFormat,
    log_level: LogLevel,
    sink: LineSink | None = None,
) -> None:
    """Send logs to standard output without blocking on it.

    Parameters
    ----------
    log_format
        Format of each line.
    log_level
        Lowest level that is written.
    sink
        Receives the lines; default: standard output.
    """
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if log_format is LogFormat.TEXT:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    level = logging.getLevelNamesMapping()[log_level.name]
    sink_logger = _SinkLogger(sink or stdout_sink())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=lambda *_: sink_logger,
        cache_logger_on_first_use=True,
    )
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
