"""Stand in for the systems outside: targets, workers, platform and callers."""

from wigeonreach.standins._app import app
from wigeonreach.standins._worker import StandInWorker

__all__ = ('StandInWorker', 'app')
