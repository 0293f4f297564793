"""Stand in for the systems outside: targets, platform and callers."""

from wigeonreach.standins._app import app

__all__ = ('app',)
