"""Tell when a heartbeat was sent, by the clock of its worker."""

from __future__ import annotations

import dataclasses

_MS_PER_S = 1000
# Clocks of workers are off by so much, as the platform's pages say.
_DRIFT_RATIO = 0.02


@dataclasses.dataclass(slots=True)
class HeartbeatAge:
    """How late the heartbeats of one incarnation of a worker are.

    The quickest heartbeat until now counts as not late at all, as nothing is
    known of the two clocks but that both go on.
    """

    _least_s: float = float('inf')
    _heard_s: float = 0.0

    def sent_s(self, clock_ms: int | None, heard_s: float) -> float:
        """Take a heartbeat; return when it was sent, on the clock here.

        Parameters
        ----------
        clock_ms
            What the worker's steady clock said then; None if it isn't told.
        heard_s
            When the heartbeat came.
        """
        if clock_ms is None:
            return heard_s
        behind_s = heard_s - clock_ms / _MS_PER_S
        # A slow clock falls behind without any heartbeat being late.
        drifted_s = self._least_s + _DRIFT_RATIO * (heard_s - self._heard_s)
        self._least_s = min(behind_s, drifted_s)
        self._heard_s = heard_s
        return heard_s - (behind_s - self._least_s)
