"""Track which services need more slots than this entry has."""

from __future__ import annotations

import collections
import dataclasses

_UNMET_WINDOW_S = 1.0
_ZONE_RETRY_INTERVAL_S = 0.25
_FOREIGN_RETRY_INTERVAL_S = 1.0
_NEVER_S = float('-inf')


@dataclasses.dataclass(slots=True)
class ServiceDemand:
    """Recent unmet demand for the slots of one service.

    ``unanswered_since_s`` holds, by lender, the time at which it was last
    asked; a lender that has granted slots since is not included.
    """

    unmet_requests: int = 0
    last_unmet_s: float = _NEVER_S
    unanswered_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def is_pressed(self, now_s: float) -> bool:
        """Whether a request found no slot a short time ago."""
        return now_s - self.last_unmet_s < _UNMET_WINDOW_S

    def unanswered_for_s(self, lender: str, now_s: float) -> float:
        """Return the time since a lender's unanswered request, or infinity."""
        return now_s - self.unanswered_since_s.get(lender, _NEVER_S)


class Demands:
    """Unmet demand by service."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._demands: collections.defaultdict[str, ServiceDemand] = (
            collections.defaultdict(ServiceDemand)
        )

    def note_unmet(self, service: str, now_s: float) -> None:
        """Count a request that found no slot."""
        demand = self._demands[service]
        demand.unmet_requests += 1
        demand.last_unmet_s = now_s

    def is_pressed(self, service: str, now_s: float) -> bool:
        """Whether a request found no slot a short time ago."""
        demand = self._demands.get(service)
        return demand is not None and demand.is_pressed(now_s)

    def take_unmet(self) -> dict[str, int]:
        """Return the unmet requests by service since the last call."""
        unmet = {
            service: demand.unmet_requests
            for service, demand in self._demands.items()
            if demand.unmet_requests
        }
        for service in unmet:
            self._demands[service].unmet_requests = 0
        return unmet

    def may_ask(self, service: str, lender: str, now_s: float) -> bool:
        """Whether a lender of this zone may be asked for slots now."""
        elapsed_s = self._demands[service].unanswered_for_s(lender, now_s)
        return elapsed_s >= _ZONE_RETRY_INTERVAL_S

    def may_ask_far(self, service: str, lender: str, now_s: float) -> bool:
        """Whether a lender of another zone may be asked for slots now."""
        elapsed_s = self._demands[service].unanswered_for_s(lender, now_s)
        return elapsed_s >= _FOREIGN_RETRY_INTERVAL_S

    def note_asked(self, service: str, lender: str, now_s: float) -> None:
        """Record that a lender was asked; it may be gone and never answer."""
        self._demands[service].unanswered_since_s[lender] = now_s

    def note_granted(self, service: str, lender: str) -> None:
        """Record that a lender granted slots."""
        self._demands[service].unanswered_since_s.pop(lender, None)
