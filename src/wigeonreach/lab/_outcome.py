"""Results of a simulated day: value for the callers, and cost."""

from __future__ import annotations

import collections
import dataclasses
import statistics

# A job that completes within this multiple of its objective is late but still
# of some use.
_LATE_RATIO = 3.0
# Worth of a late job, where 1 is that of a job on time.
_LATE_JOB_WORTH = 0.07


@dataclasses.dataclass(slots=True)
class Outcome:
    """Results of one day.

    Attributes
    ----------
    ratios
        For each kind, the durations of its jobs divided by their objectives;
        infinite for a job that did not complete.
    vm_s
        VM seconds used, by VMs with a worker.
    needed_vm_s
        VM seconds that the work itself takes on fully used VMs near its
        data: a lower bound for any scheduler.
    served_s, required_s
        Task seconds for which serving tasks were serving, and should have
        been.
    """

    ratios: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list),
    )
    vm_s: float = 0.0
    needed_vm_s: float = 0.0
    moves: int = 0
    starts: int = 0
    far_starts: int = 0
    restarts: int = 0
    served_s: float = 0.0
    required_s: float = 0.0

    def worth_of(self, kind: str) -> float:
        """Return the mean worth of the jobs of a kind, from 0 to 1."""
        return statistics.fmean(map(_worth, self.ratios[kind]))

    @property
    def worth(self) -> float:
        """Mean worth of all jobs, from 0 to 1."""
        all_ratios = [
            ratio for ratios in self.ratios.values() for ratio in ratios
        ]
        return statistics.fmean(map(_worth, all_ratios)) if all_ratios else 1.0

    @property
    def worst(self) -> float:
        """Lowest mean worth of a kind with at least 10 jobs."""
        common = [
            self.worth_of(kind)
            for kind, ratios in self.ratios.items()
            if len(ratios) >= 10
        ]
        return min(common, default=1.0)

    @property
    def served_ratio(self) -> float:
        """Share of the required time for which serving tasks were serving."""
        return self.served_s / self.required_s if self.required_s else 1.0

    @property
    def far_ratio(self) -> float:
        """Share of the starts that were on another rack than their data."""
        return self.far_starts / max(self.starts, 1)


def _worth(ratio: float) -> float:
    if ratio <= 1:
        return 1.0
    return _LATE_JOB_WORTH if ratio <= _LATE_RATIO else 0.0
