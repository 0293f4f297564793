"""Learn how much work each service is asked for.

Answers demand that comes by turns: a queue asks for several times its mean
for some seconds and for a twentieth in between, and its jobs are of use only
for a few seconds.  How many jobs come is therefore learned within a second.
Jobs are of unlike size, a tenth of them many times as large as the others: how
much work one brings is a mean of many, so that a single large job is not taken
for a peak.
"""

from __future__ import annotations

import dataclasses
import math

# Jobs come several a second at a peak, so this sees a few of them, and a turn
# of some seconds is known before a quarter of it has passed.
_LEARN_S = 0.8
# Of the newest job in the mean; the mean covers about this many jobs.
_JOBS_IN_MEAN = 30


@dataclasses.dataclass(slots=True)
class ServiceDemand:
    """What one service is asked for.

    Attributes
    ----------
    jobs_per_s
        Jobs that arrive, as of the newest one.
    work_s
        Work of one job, as a mean; in seconds of a VM.
    """

    jobs_per_s: float = 0.0
    work_s: float = 0.0
    _seen: int = 0
    _updated_s: float = 0.0

    def note(self, work_s: float, now_s: float) -> None:
        """Take a job that was just accepted, with its work."""
        self._decay(now_s)
        self.jobs_per_s += 1 / _LEARN_S
        self._seen = min(self._seen + 1, _JOBS_IN_MEAN)
        self.work_s += (work_s - self.work_s) / self._seen

    def rate_at(self, now_s: float) -> float:
        """Return the work that arrives a second, as of now."""
        self._decay(now_s)
        return self.jobs_per_s * self.work_s

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._updated_s
        self.jobs_per_s *= math.exp(-passed_s / _LEARN_S)
        self._updated_s = now_s
