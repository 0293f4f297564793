"""Estimate the rate at which work arrives for each service.

Demand comes in bursts: for some seconds a queue asks for several times its
mean, in between for a twentieth of it, and its jobs are useful only for a few
seconds.  The arrival rate is therefore estimated within a second.  Job sizes
vary, with a tenth of the jobs many times as large as the others, so the work
per job is averaged over many jobs: a single large job is not taken for a peak.
"""

from __future__ import annotations

import dataclasses
import math

# Time constant of the decaying arrival rate.  Several jobs a second arrive
# during a peak, so this time covers a few of them, and a burst of some seconds
# is recognized before a quarter of it has passed.
_RATE_TIME_CONSTANT_S = 0.8
# Number of jobs that the moving average of the work per job covers.
_JOBS_IN_MEAN = 30


@dataclasses.dataclass(slots=True)
class ServiceDemand:
    """Demand for one service.

    Attributes
    ----------
    jobs_per_s
        Arrival rate as of the last update.
    mean_work_s
        Mean work of one job, in VM seconds.
    """

    jobs_per_s: float = 0.0
    mean_work_s: float = 0.0
    _jobs_seen: int = 0
    _updated_s: float = 0.0

    def note(self, work_s: float, now_s: float) -> None:
        """Record a job that was just accepted, with its work in VM seconds."""
        self._decay(now_s)
        self.jobs_per_s += 1 / _RATE_TIME_CONSTANT_S
        self._jobs_seen = min(self._jobs_seen + 1, _JOBS_IN_MEAN)
        self.mean_work_s += (work_s - self.mean_work_s) / self._jobs_seen

    def rate_at(self, now_s: float) -> float:
        """Return the work in VM seconds that arrives per second."""
        self._decay(now_s)
        return self.jobs_per_s * self.mean_work_s

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._updated_s
        self.jobs_per_s *= math.exp(-elapsed_s / _RATE_TIME_CONSTANT_S)
        self._updated_s = now_s
