"""Metrics and structured logs of the daemons."""

from wigeonreach.observe._events import LogEvent
from wigeonreach.observe._logs import (
    LogFormat,
    Logger,
    LogLevel,
    configure_logs,
)
from wigeonreach.observe._metrics import Metrics

__all__ = (
    'LogEvent',
    'LogFormat',
    'LogLevel',
    'Logger',
    'Metrics',
    'configure_logs',
)
