"""Stand-ins for external systems: targets, workers and the platform."""

from wigeonreach.standins._app import app
from wigeonreach.standins._worker import StandInWorker

__all__ = ('StandInWorker', 'app')
