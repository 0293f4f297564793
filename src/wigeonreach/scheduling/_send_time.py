"""Estimate when a heartbeat was sent, from the clock of its worker."""

from __future__ import annotations

import dataclasses

_MS_PER_S = 1000
# Greatest drift of a worker's clock, by the platform's documentation.
_MAX_DRIFT_RATIO = 0.02


@dataclasses.dataclass(slots=True)
class SendTimeEstimator:
    """Estimates the send times of one incarnation's heartbeats.

    The offset between the two clocks is unknown, so the fastest heartbeat so
    far counts as having arrived without any delay.
    """

    _min_offset_s: float = float('inf')
    _last_heard_s: float = 0.0

    def estimate_s(self, clock_ms: int | None, heard_s: float) -> float:
        """Record a heartbeat and return its send time on the local clock.

        Parameters
        ----------
        clock_ms
            The worker's monotonic clock when it was sent; None if not reported.
        heard_s
            When the heartbeat arrived.
        """
        if clock_ms is None:
            return heard_s
        behind_s = heard_s - clock_ms / _MS_PER_S
        # If the worker's clock is slow, the offset grows although no heartbeat
        # is late.  The smallest offset may therefore grow by the drift.
        drifted_s = self._min_offset_s + _MAX_DRIFT_RATIO * (
            heard_s - self._last_heard_s
        )
        self._min_offset_s = min(behind_s, drifted_s)
        self._last_heard_s = heard_s
        return heard_s - (behind_s - self._min_offset_s)
