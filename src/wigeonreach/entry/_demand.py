"""Notice which services need more slots than this entry has."""

from __future__ import annotations

import collections
import dataclasses

_PRESSURE_S = 1.0
_NEAR_PAUSE_S = 0.25
_FAR_PAUSE_S = 1.0
_NEVER_S = float('-inf')


@dataclasses.dataclass(slots=True)
class Demand:
    """What was asked of one service lately.

    ``in_vain_s`` tells by lender when it was asked and has lent nothing since.
    """

    unmet: int = 0
    unmet_s: float = _NEVER_S
    in_vain_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_pressed(self, now_s: float) -> bool:
        """Whether a request found no slot a short time ago."""
        return now_s - self.unmet_s < _PRESSURE_S

    def in_vain_for_s(self, lender: str, now_s: float) -> float:
        """Return how long ago a lender was asked that lent nothing since."""
        return now_s - self.in_vain_s.get(lender, _NEVER_S)


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
        """Whether a lender of this zone may be asked for slots now."""
        asked_s = self._demands[service].in_vain_for_s(lender, now_s)
        return asked_s >= _NEAR_PAUSE_S

    def may_ask_far(self, service: str, lender: str, now_s: float) -> bool:
        """Whether a lender of another zone may be asked for slots now."""
        asked_s = self._demands[service].in_vain_for_s(lender, now_s)
        return asked_s >= _FAR_PAUSE_S

    def note_asked(self, service: str, lender: str, now_s: float) -> None:
        """Learn that a lender was asked; it may be gone and never answer."""
        self._demands[service].in_vain_s[lender] = now_s

    def note_granted(self, service: str, lender: str) -> None:
        """Learn that a lender lent something."""
        self._demands[service].in_vain_s.pop(lender, None)
