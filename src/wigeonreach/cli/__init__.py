"""Command line that starts daemons and runs operator commands."""

from wigeonreach.cli._app import app

__all__ = ('app',)
