"""Read the clocks that decisions use."""

from __future__ import annotations

import time


def steady_s() -> float:
    """Return a clock that never jumps and counts suspended time too."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return the time of day since 1970; it may jump."""
    return time.time() * 1000  # noqa: WPS432 - milliseconds
