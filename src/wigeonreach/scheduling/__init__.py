"""Decide which task runs on which worker, and when, without any I/O."""

from wigeonreach.scheduling._scheduler import Heard, Scheduler
from wigeonreach.scheduling._workers import LEASE_MS, Incarnation

__all__ = (
    'LEASE_MS',
    'Heard',
    'Scheduler',
    'Incarnation',
)
