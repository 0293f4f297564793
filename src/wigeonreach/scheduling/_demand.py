"""Learn how much work each service is asked for.

Answers demand that comes by turns: a queue asks for several times its mean
for some seconds and for a twentieth in between, and its jobs are of use only
for a few seconds.  Rates are therefore learned within a second.
"""

from __future__ import annotations

import dataclasses
import math

# Jobs come several a second at a peak, so this sees a few of them, and a turn
# of some seconds is known before a quarter of it has passed.
_LEARN_S = 0.8


@dataclasses.dataclass(slots=True)
class ServiceDemand:
    """What one service is asked for.

    Attributes
    ----------
    rate
        Processor seconds that arrive a second.
    """

    rate: float = 0.0
    _updated_s: float = 0.0

    def note(self, work_s: float, now_s: float) -> None:
        """Take work that was just accepted, in processor seconds."""
        self._decay(now_s)
        self.rate += work_s / _LEARN_S

    def rate_at(self, now_s: float) -> float:
        """Return the rate as of now."""
        self._decay(now_s)
        return self.rate

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._updated_s
        self.rate *= math.exp(-passed_s / _LEARN_S)
        self._updated_s = now_s
