"""Keep a small fleet's capacity, maintenance and configuration in hand."""

from wigeonreach.codes import ExitCode, Outcome, ResultCode
from wigeonreach.exceptions import WigeonreachError

__all__ = ('ExitCode', 'Outcome', 'ResultCode', 'WigeonreachError')
