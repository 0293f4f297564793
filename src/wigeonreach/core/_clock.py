"""Read the clocks that decisions use."""

from __future__ import annotations

import dataclasses
import time

from wigeonreach.observe import LogEvent, Logger, Metrics

_MS_PER_S = 1000
# Clocks that are set gently move by less between two looks.
_JUMP_MS = 250.0
# A jump that is taken back within this was a fault; one that lasts may have put
# the clock right.
_BELIEVED_AFTER_S = 15.0


def steady_s() -> float:
    """Return a clock that never jumps and counts suspended time too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return the time of day since 1970; it may jump."""
    return time.time() * _MS_PER_S


@dataclasses.dataclass(slots=True)
class DayOffset:
    """By how much the time of day is ahead of a steady clock.

    Attributes
    ----------
    offset_ms
        The one that is believed.
    jumped_ms
        The one after a jump that is not believed yet.
    jumped_s
        When that jump was first seen, on the steady clock; None if none was.
    """

    offset_ms: float
    jumped_ms: float = 0.0
    jumped_s: float | None = None

    def take(self, now_s: float, day_ms: float) -> float:
        """Take both clocks at one moment; return by how much they jumped."""
        seen_ms = day_ms - now_s * _MS_PER_S
        ahead_ms = seen_ms - self.offset_ms
        if abs(ahead_ms) <= _JUMP_MS:
            self._believe(seen_ms)
            return 0.0
        is_new = abs(seen_ms - self.jumped_ms) > _JUMP_MS
        if self.jumped_s is None or is_new:
            self.jumped_ms = seen_ms
            self.jumped_s = now_s
            return ahead_ms
        if now_s - self.jumped_s >= _BELIEVED_AFTER_S:
            self._believe(seen_ms)
        return 0.0

    def _believe(self, offset_ms: float) -> None:
        self.offset_ms = offset_ms
        self.jumped_s = None


class DayClock:
    """The time of day that decisions go by.

    Parameters
    ----------
    logger, metrics
        Where jumps of the machine's clock are logged and counted.
    """

    def __init__(self, logger: Logger, metrics: Metrics) -> None:
        """Believe the clock of the machine as it is."""
        self._offset = DayOffset(wall_ms() - steady_s() * _MS_PER_S)
        self._log = logger
        self._metrics = metrics

    def now_ms(self) -> float:
        """Return the time of day since 1970; it does not follow short jumps."""
        now_s = steady_s()
        jumped_ms = self._offset.take(now_s, wall_ms())
        if jumped_ms:
            self._metrics.count('clock_jumps')
            self._log.warning(LogEvent.CLOCK_JUMPED, by_ms=round(jumped_ms))
        return now_s * _MS_PER_S + self._offset.offset_ms
