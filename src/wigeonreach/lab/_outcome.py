"""Sum up what a day brought its callers, and at what cost."""

from __future__ import annotations

import collections
import dataclasses
import statistics

# A job that ends within this many times its objective is late, not useless.
_LATE_RATIO = 3.0
# What a late job is still worth.
_LATE_JOB_WORTH = 0.07


@dataclasses.dataclass(slots=True)
class Outcome:
    """One day.

    Attributes
    ----------
    ratios
        For each kind, the time of its jobs over their objectives; infinite if
        they did not end.
    vm_s
        Seconds of VMs in pools.
    needed_vm_s
        What the work alone takes, on full VMs near its data: no scheduler
        needs less.
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
        """Return the part of their full use that jobs of a kind brought."""
        return statistics.fmean(map(_worth, self.ratios[kind]))

    @property
    def worth(self) -> float:
        """The part of their full use that all jobs brought."""
        every = [ratio for ratios in self.ratios.values() for ratio in ratios]
        return statistics.fmean(map(_worth, every)) if every else 1.0

    @property
    def worst(self) -> float:
        """Worth of the worst kind that is not rare."""
        common = [
            self.worth_of(kind)
            for kind, ratios in self.ratios.items()
            if len(ratios) >= 10
        ]
        return min(common, default=1.0)

    @property
    def served_ratio(self) -> float:
        """Part of the time that serving tasks were at work."""
        return self.served_s / self.required_s if self.required_s else 1.0

    @property
    def far_ratio(self) -> float:
        """Part of the starts that were away from their data."""
        return self.far_starts / max(self.starts, 1)


def _worth(ratio: float) -> float:
    if ratio <= 1:
        return 1.0
    return _LATE_JOB_WORTH if ratio <= _LATE_RATIO else 0.0
