"""Decide which task runs on which worker, and when, without any I/O."""

from wigeonreach.scheduling._incarnation import HeartbeatResult, Incarnation
from wigeonreach.scheduling._scheduler import Scheduler
from wigeonreach.scheduling._settings import SchedulingSettings

__all__ = (
    'HeartbeatResult',
    'Incarnation',
    'Scheduler',
    'SchedulingSettings',
)
