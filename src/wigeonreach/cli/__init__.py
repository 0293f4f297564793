"""Offer the daemons and the operator's commands on the command line."""

from wigeonreach.cli._app import app

__all__ = ('app',)
