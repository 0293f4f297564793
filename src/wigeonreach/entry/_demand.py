"""Notice which services need more slots than this entry has."""

from __future__ import annotations

import collections
import dataclasses

_PRESSURE_S = 1.0
_REFUSED_PAUSE_S = 0.25


@dataclasses.dataclass(slots=True)
class Demand:
    """What was asked of one service lately."""

    unmet: int = 0
    unmet_s: float = float('-inf')
    refused_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_pressed(self, now_s: float) -> bool:
        """Whether a request found no slot a short time ago."""
        return now_s - self.unmet_s < _PRESSURE_S

    def may_ask(self, lender: str, now_s: float) -> bool:
        """Whether a lender that had nothing may be asked again."""
        refused_s = self.refused_s.get(lender, float('-inf'))
        return now_s - refused_s >= _REFUSED_PAUSE_S


class Demands:
    """Demand by service."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._demands: collections.defaultdict[str, Demand] = (
            collections.defaultdict(Demand)
        )

    def note_unmet(self, service: str, now_s: float) -> None:
        """Count a request that found no slot."""
        demand = self._demands[service]
        demand.unmet += 1
        demand.unmet_s = now_s

    def is_pressed(self, service: str, now_s: float) -> bool:
        """Whether a request found no slot a short time ago."""
        demand = self._demands.get(service)
        return demand is not None and demand.is_pressed(now_s)

    def take_unmet(self) -> dict[str, int]:
        """Return the unmet requests by service since the last call."""
        unmet = {
            service: demand.unmet
            for service, demand in self._demands.items()
            if demand.unmet
        }
        for service in unmet:
            self._demands[service].unmet = 0
        return unmet

    def may_ask(self, service: str, lender: str, now_s: float) -> bool:
        """Whether a lender may be asked for slots of a service now."""
        return self._demands[service].may_ask(lender, now_s)

    def note_refused(self, service: str, lender: str, now_s: float) -> None:
        """Learn that a lender had no slot of a service to lend."""
        self._demands[service].refused_s[lender] = now_s
