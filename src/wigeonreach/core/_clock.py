"""Clocks for scheduling decisions."""

from __future__ import annotations

import dataclasses
import time

from wigeonreach.observe import LogEvent, Logger, Metrics

_MS_PER_S = 1000
# A larger change between two samples is a jump: a clock that is corrected
# gradually (slewed rather than stepped) moves by less.
_JUMP_THRESHOLD_MS = 250.0
# A jump that is reverted within this time was a fault; one that lasts may have
# corrected the clock.
_ACCEPT_AFTER_S = 15.0


def steady_s() -> float:
    """Return monotonic time in seconds, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return Unix time in milliseconds; it may jump."""
    return time.time() * _MS_PER_S


@dataclasses.dataclass(slots=True)
class WallClockOffset:
    """Offset of the wall clock from the steady clock, filtered for jumps.

    Attributes
    ----------
    offset_ms
        The accepted offset.
    candidate_ms
        The offset after a jump that is not accepted yet.
    candidate_since_s
        Steady time at which that jump was first seen; None without one.
    """

    offset_ms: float
    candidate_ms: float = 0.0
    candidate_since_s: float | None = None

    def update(self, now_s: float, clock_ms: float) -> float:
        """Sample both clocks; return the size of a new jump in ms, or 0.

        Parameters
        ----------
        now_s
            Steady time in seconds.
        clock_ms
            Unix time of the machine in milliseconds.
        """
        sampled_ms = clock_ms - now_s * _MS_PER_S
        jump_ms = sampled_ms - self.offset_ms
        if abs(jump_ms) <= _JUMP_THRESHOLD_MS:
            self._accept(sampled_ms)
            return 0.0
        is_new = abs(sampled_ms - self.candidate_ms) > _JUMP_THRESHOLD_MS
        if self.candidate_since_s is None or is_new:
            self.candidate_ms = sampled_ms
            self.candidate_since_s = now_s
            return jump_ms
        if now_s - self.candidate_since_s >= _ACCEPT_AFTER_S:
            self._accept(sampled_ms)
        return 0.0

    def _accept(self, offset_ms: float) -> None:
        self.offset_ms = offset_ms
        self.candidate_since_s = None


class WallClock:
    """Wall clock for decisions that does not follow short jumps.

    Parameters
    ----------
    logger, metrics
        Log and count jumps of the machine's clock.
    """

    def __init__(self, logger: Logger, metrics: Metrics) -> None:
        """Start with the current offset of the machine's clock."""
        self._offset = WallClockOffset(wall_ms() - steady_s() * _MS_PER_S)
        self._log = logger
        self._metrics = metrics

    def now_ms(self) -> float:
        """Return Unix time in milliseconds, without brief jumps."""
        now_s = steady_s()
        jumped_ms = self._offset.update(now_s, wall_ms())
        if jumped_ms:
            self._metrics.count('clock_jumps')
            self._log.warning(LogEvent.CLOCK_JUMPED, by_ms=round(jumped_ms))
        return now_s * _MS_PER_S + self._offset.offset_ms
