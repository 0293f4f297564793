"""Decide which task runs on which worker, and when, without any I/O."""

from wigeonreach.scheduling._incarnation import Heard, Incarnation
from wigeonreach.scheduling._scheduler import Scheduler
from wigeonreach.scheduling._settings import SchedulingSettings

__all__ = (
    'Heard',
    'Incarnation',
    'Scheduler',
    'SchedulingSettings',
)
