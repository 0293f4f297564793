"""Detect that this process was suspended and may read delayed messages."""

from __future__ import annotations

import dataclasses

#: A longer time between two ticks, in seconds, counts as a pause.
MIN_PAUSE_S = 0.5
#: How long after a pause, in seconds, a message may be one received during it.
BACKLOG_S = 1.0


@dataclasses.dataclass(slots=True)
class PauseWatch:
    """Determine the earliest time at which a message read now may have arrived.

    After a pause the kernel still buffers messages that arrived during it,
    and a reader can't tell them from messages that arrive now.
    """

    last_tick_s: float
    pause_began_s: float = 0
    backlog_until_s: float = float('-inf')

    def tick(self, now_s: float) -> None:
        """Record that the process is running; called several times a second."""
        if now_s - self.last_tick_s > MIN_PAUSE_S:
            self.pause_began_s = self.last_tick_s
            self.backlog_until_s = now_s + BACKLOG_S
        self.last_tick_s = now_s

    def arrived_s(self, now_s: float) -> float:
        """Return the earliest arrival time of a message that is read now."""
        self.tick(now_s)
        return self.pause_began_s if now_s < self.backlog_until_s else now_s
