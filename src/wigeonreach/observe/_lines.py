"""Write log lines without blocking and at a limited rate."""

from __future__ import annotations

import dataclasses
import os
import time
from collections.abc import Callable

# A busy daemon writes some tens of lines a second.  Ten times that indicates
# a fault, and logging would cost more than the logged work (a line takes about
# 30 us).  Warnings have a separate limit, so that ordinary lines never displace
# a refusal or a failure.
_LINES_PER_S = 300.0
_BURST_LINES = 600.0
_REPORT_S = 1.0


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """Token bucket that limits the rate of log lines.

    Attributes
    ----------
    per_s, burst
        Sustained lines per second, and the most lines at once.
    """

    per_s: float = _LINES_PER_S
    burst: float = _BURST_LINES
    _tokens: float = _BURST_LINES
    _updated_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take one token; return whether one was available."""
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._tokens = min(self.burst, self._tokens + elapsed_s * self.per_s)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class LineSink:
    """Write lines; count and drop those that can't be written now.

    Parameters
    ----------
    write
        Writes bytes and returns how many it wrote; may raise
        ``BlockingIOError``.
    clock_s
        Monotonic clock in seconds.
    """

    def __init__(
        self,
        write: Callable[[bytes], int],
        clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with no line pending."""
        self.omitted = 0
        self._write = write
        self._clock_s = clock_s
        self._ordinary_limit = TokenBucket()
        self._urgent_limit = TokenBucket()
        self._unwritten = b''
        self._report_due_s = 0.0

    def put(self, line: bytes, is_urgent: bool) -> None:
        """Write a line, or count it as omitted."""
        limit = self._urgent_limit if is_urgent else self._ordinary_limit
        if not limit.take(self._clock_s()) or not self._flush():
            self.omitted += 1
            return
        self._unwritten = b''.join((line, b'\n'))
        self._flush()

    def take_omitted_count(self) -> int:
        """Return and reset the count of omitted lines, at most once a second."""
        now_s = self._clock_s()
        if not self.omitted or now_s < self._report_due_s:
            return 0
        self._report_due_s = now_s + _REPORT_S
        count = self.omitted
        self.omitted = 0
        return count

    def _flush(self) -> bool:
        """Write the rest of the last line; return whether it is complete."""
        while self._unwritten:
            try:
                written = self._write(self._unwritten)
            except BlockingIOError:
                return False
            self._unwritten = self._unwritten[written:]
        return True


def stdout_sink() -> LineSink:
    """Make standard output non-blocking and return a sink to it."""
    descriptor = 1
    os.set_blocking(descriptor, False)
    return LineSink(lambda content: os.write(descriptor, content))
