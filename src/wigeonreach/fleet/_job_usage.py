"""Estimate the actual resource usage of jobs from reported usage."""

from __future__ import annotations

import dataclasses

from wigeonreach._resources import Resources
from wigeonreach.fleet._placement_model import Job

# Observed range of the ratio of used to declared resources; limits estimates.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
# Estimates rise immediately and fall slowly: an overcommitted worker slows
# several jobs down, while a slightly underused one harms none.
_DECREASE_WEIGHT = 0.1
_MARGIN = 1.15
_MIN_REPORTS = 3


@dataclasses.dataclass(slots=True)
class _FamilyUsage:
    processors_ratio: float = 1.0
    memory_ratio: float = 1.0
    reports: int = 0


class UsageEstimator:
    """Ratios of used to declared resources, by family of jobs.

    Teams often declare sizes far from the actual usage, so that placement
    relies on reported usage instead.
    """

    def __init__(self) -> None:
        """Start without any reports."""
        self._families: dict[str, _FamilyUsage] = {}

    def estimate(self, job: Job) -> Resources:
        """Return the resources that a job is expected to use.

        The declared size is used until the family has enough reports.
        """
        usage = self._families.get(job.family)
        if usage is None or usage.reports < _MIN_REPORTS:
            return job.declared
        return job.declared.scaled(
            _clamp(usage.processors_ratio * _MARGIN),
            _clamp(usage.memory_ratio * _MARGIN),
        )

    def min_estimate(self, job: Job) -> Resources:
        """Return the lowest plausible resource usage of a job."""
        usage = self._families.get(job.family)
        if usage is None or usage.reports < _MIN_REPORTS:
            return job.declared.scaled(MIN_RATIO, MIN_RATIO)
        return self.estimate(job)

    def observe(self, job: Job, used: Resources) -> Resources:
        """Update the ratios of a job's family and return what the job needs.

        Parameters
        ----------
        job
            The job as declared.
        used
            Its reported resource usage.

        Returns
        -------
        Resources
            The used resources plus a margin, at least the family's estimate.
        """
        usage = self._families.setdefault(job.family, _FamilyUsage())
        declared = job.declared
        usage.processors_ratio = _smooth(
            usage.processors_ratio,
            _ratio(used.processors, declared.processors),
            usage.reports,
        )
        usage.memory_ratio = _smooth(
            usage.memory_ratio,
            _ratio(used.memory_bytes, declared.memory_bytes),
            usage.reports,
        )
        usage.reports += 1
        expected = self.estimate(job)
        observed = used.scaled(_MARGIN, _MARGIN)
        return Resources(
            max(observed.processors, expected.processors),
            max(observed.memory_bytes, expected.memory_bytes),
            declared.accelerators,
        )


def _ratio(used: float, declared: float) -> float:
    return used / declared if declared else 1.0


def _smooth(current: float, observed: float, reports: int) -> float:
    if not reports or observed > current:
        return observed
    return current + (observed - current) * _DECREASE_WEIGHT


def _clamp(ratio: float) -> float:
    return min(max(ratio, MIN_RATIO), MAX_RATIO)
