"""Add up for how long a service was missing capacity in a window."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time from one instant to another, in seconds."""

    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class MissingClock:
    """When capacity was missing.

    Attributes
    ----------
    spans
        Past times, oldest first.
    since_s
        Start of the time that still runs, or None.
    """

    spans: tuple[Span, ...] = ()
    since_s: float | None = None

    def observed(
        self,
        now_s: float,
        window_s: float,
        *,
        is_missing: bool,
    ) -> MissingClock:
        """Return the clock after one more observation.

        Parameters
        ----------
        now_s
            Time of the observation, in seconds.
        window_s
            Spans that ended before this window are dropped.
        is_missing
            Whether capacity is missing from now on.
        """
        if is_missing == (self.since_s is not None):
            return self
        if self.since_s is None:
            return dataclasses.replace(self, since_s=now_s)
        kept = tuple(
            span for span in self.spans if span.end_s > now_s - window_s
        )
        return MissingClock((*kept, Span(self.since_s, now_s)))

    def used_s(self, now_s: float, window_s: float) -> float:
        """Return for how long capacity was missing in the last window."""
        start_s = now_s - window_s
        used_s = sum(
            span.end_s - max(span.start_s, start_s)
            for span in self.spans
            if span.end_s > start_s
        )
        if self.since_s is not None:
            used_s += now_s - max(self.since_s, start_s)
        return used_s
