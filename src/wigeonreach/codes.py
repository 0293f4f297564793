"""Export the numbered result codes."""

from wigeonreach._codes import ExitCode, Outcome, ResultCode

__all__ = ('ExitCode', 'Outcome', 'ResultCode')
