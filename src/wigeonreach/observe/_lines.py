"""Write log lines without ever blocking, and no more than a bounded rate."""

from __future__ import annotations

import dataclasses
import os
import time
from collections.abc import Callable

# A daemon writes some tens of lines a second when it is busy; ten times that
# is a fault, and would cost more than the work it tells of (a line takes about
# 30 us).  Warnings have a budget of their own, so that ordinary lines never
# push out a refusal or a failure.
_LINES_PER_S = 300.0
_BURST_LINES = 600.0
_REPORT_S = 1.0


@dataclasses.dataclass(slots=True)
class LineBudget:
    """A token bucket.

    Attributes
    ----------
    per_s, burst
        Lines a second in the long run, and at once.
    """

    per_s: float = _LINES_PER_S
    burst: float = _BURST_LINES
    _left: float = _BURST_LINES
    _updated_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take room for one line; tell whether there was any."""
        passed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._left = min(self.burst, self._left + passed_s * self.per_s)
        if self._left < 1:
            return False
        self._left -= 1
        return True


class LineSink:
    """Where lines go; what can't be written now is counted and dropped.

    Parameters
    ----------
    write
        Writes bytes and may raise ``BlockingIOError``.
    clock_s
        Returns seconds that only grow.
    """

    def __init__(
        self,
        write: Callable[[bytes], int],
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Have written nothing."""
        self.omitted = 0
        self._write = write
        self._clock_s = clock_s
        self._ordinary = LineBudget()
        self._urgent = LineBudget()
        self._rest = b''
        self._report_due_s = 0.0

    def put(self, line: bytes, is_urgent: bool) -> None:
        """Write a line, or count it."""
        budget = self._urgent if is_urgent else self._ordinary
        if not budget.take(self._clock_s()) or not self._flush():
            self.omitted += 1
            return
        self._rest = b''.join((line, b'\n'))
        self._flush()

    def omitted_if_due(self) -> int:
        """Return how many lines were left out, once a second at most."""
        now_s = self._clock_s()
        if not self.omitted or now_s < self._report_due_s:
            return 0
        self._report_due_s = now_s + _REPORT_S
        count = self.omitted
        self.omitted = 0
        return count

    def _flush(self) -> bool:
        """Write what is left of the last line; tell whether it is out."""
        while self._rest:
            try:
                written = self._write(self._rest)
            except BlockingIOError:
                return False
            self._rest = self._rest[written:]
        return True


def stdout_sink() -> LineSink:
    """Return a sink to standard output, which is made non-blocking."""
    descriptor = 1
    os.set_blocking(descriptor, False)
    return LineSink(lambda rest: os.write(descriptor, rest))
