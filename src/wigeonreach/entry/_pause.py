"""Notice that this process was stopped, so that what waited is not new."""

from __future__ import annotations

import dataclasses

#: Longest time between two ticks, in seconds, that is no pause.
PAUSE_S = 0.5
#: How long after a pause, in seconds, what arrives may have waited.
SETTLE_S = 1.0


@dataclasses.dataclass(slots=True)
class PauseWatch:
    """Tell when something that is read now can have arrived at the earliest.

    After a pause the kernel still holds what arrived meanwhile, and a reader
    can't tell it from what arrives now.
    """

    ticked_s: float
    paused_s: float = 0
    settled_s: float = float('-inf')

    def tick(self, now_s: float) -> None:
        """Note that the process runs; called a few times a second."""
        if now_s - self.ticked_s > PAUSE_S:
            self.paused_s = self.ticked_s
            self.settled_s = now_s + SETTLE_S
        self.ticked_s = now_s

    def arrived_s(self, now_s: float) -> float:
        """Return the earliest time at which something read now arrived."""
        self.tick(now_s)
        return self.paused_s if now_s < self.settled_s else now_s
