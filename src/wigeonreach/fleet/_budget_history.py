"""Track how long a service lacked capacity within a sliding window."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """A time interval, in seconds."""

    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShortageHistory:
    """Intervals in which capacity was missing.

    Attributes
    ----------
    intervals
        Completed intervals, oldest first.
    open_since_s
        Start of the current interval in seconds, or None if there is none.
    """

    intervals: tuple[Interval, ...] = ()
    open_since_s: float | None = None

    def with_observation(
        self,
        now_s: float,
        window_s: float,
        *,
        is_missing: bool,
    ) -> ShortageHistory:
        """Return the history extended by one observation.

        Parameters
        ----------
        now_s
            Time of the observation, in seconds.
        window_s
            Length of the window, in seconds; intervals that ended before it
            are dropped.
        is_missing
            Whether capacity is missing from now on.
        """
        if is_missing == (self.open_since_s is not None):
            return self
        if self.open_since_s is None:
            return dataclasses.replace(self, open_since_s=now_s)
        kept = tuple(
            span for span in self.intervals if span.end_s > now_s - window_s
        )
        return ShortageHistory((*kept, Interval(self.open_since_s, now_s)))

    def total_s(self, now_s: float, window_s: float) -> float:
        """Return the seconds without enough capacity in the last window."""
        start_s = now_s - window_s
        used_s = sum(
            span.end_s - max(span.start_s, start_s)
            for span in self.intervals
            if span.end_s > start_s
        )
        if self.open_since_s is not None:
            used_s += now_s - max(self.open_since_s, start_s)
        return used_s
