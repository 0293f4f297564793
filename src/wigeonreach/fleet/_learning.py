"""Learn what jobs really use, as declared sizes are far from the truth."""

from __future__ import annotations

import dataclasses

from wigeonreach._room import Room
from wigeonreach.fleet._placement_model import Job

# Declared sizes were seen to be wrong by these factors.
LOWEST_RATIO = 0.2
HIGHEST_RATIO = 5.0
# Needs are raised at once and lowered slowly: a worker that is too full hurts
# several jobs, one that is a little empty hurts none.
_LOWERING_WEIGHT = 0.1
_MARGIN = 1.15
_TRUSTED_REPORTS = 3


@dataclasses.dataclass(slots=True)
class _Learned:
    processors_ratio: float = 1.0
    memory_ratio: float = 1.0
    reports: int = 0


class Learner:
    """Ratio of used to declared room, by family of jobs."""

    def __init__(self) -> None:
        """Know nothing yet."""
        self._families: dict[str, _Learned] = {}

    def expect(self, job: Job) -> Room:
        """Return what a job is expected to use.

        Until a family has enough reports, its declared size counts.
        """
        learned = self._families.get(job.family)
        if learned is None or learned.reports < _TRUSTED_REPORTS:
            return job.declared
        return job.declared.scaled(
            _clamp(learned.processors_ratio * _MARGIN),
            _clamp(learned.memory_ratio * _MARGIN),
        )

    def least(self, job: Job) -> Room:
        """Return the least that a job can be believed to use."""
        learned = self._families.get(job.family)
        if learned is None or learned.reports < _TRUSTED_REPORTS:
            return job.declared.scaled(LOWEST_RATIO, LOWEST_RATIO)
        return self.expect(job)

    def observe(self, job: Job, used: Room) -> Room:
        """Take one report in and return what this job now needs.

        Parameters
        ----------
        job
            The job as declared.
        used
            What it was reported to use.

        Returns
        -------
        Room
            The used room with a margin, no less than the family's.
        """
        learned = self._families.setdefault(job.family, _Learned())
        declared = job.declared
        learned.processors_ratio = _follow(
            learned.processors_ratio,
            _ratio(used.processors, declared.processors),
            learned.reports,
        )
        learned.memory_ratio = _follow(
            learned.memory_ratio,
            _ratio(used.memory_bytes, declared.memory_bytes),
            learned.reports,
        )
        learned.reports += 1
        expected = self.expect(job)
        seen = used.scaled(_MARGIN, _MARGIN)
        return Room(
            max(seen.processors, expected.processors),
            max(seen.memory_bytes, expected.memory_bytes),
            declared.accelerators,
        )


def _ratio(used: float, declared: float) -> float:
    return used / declared if declared else 1.0


def _follow(known: float, seen: float, reports: int) -> float:
    if not reports or seen > known:
        return seen
    return known + (seen - known) * _LOWERING_WEIGHT


def _clamp(ratio: float) -> float:
    return min(max(ratio, LOWEST_RATIO), HIGHEST_RATIO)
