"""Manage the capacity, maintenance and configuration of a small fleet."""

from wigeonreach.codes import ExitCode, Outcome, ResultCode
from wigeonreach.exceptions import WigeonreachError

__all__ = ('ExitCode', 'Outcome', 'ResultCode', 'WigeonreachError')
