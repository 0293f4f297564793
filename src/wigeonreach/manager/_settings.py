"""Settings of a manager."""

from __future__ import annotations

import dataclasses

from wigeonreach.fleet import WaveSettings
from wigeonreach.wire import Address, Member


@dataclasses.dataclass(frozen=True, slots=True)
class ManagerSettings:
    """Who a manager is, whom it asks and how fast it acts.

    Attributes
    ----------
    lease_s
        How long the right to decide lasts without being renewed; after a
        manager's sudden end another one goes on within about this time.
    poll_s
        How often platform and waves are looked at.
    """

    name: str
    zone: str
    http: Address
    replicas: tuple[Member, ...]
    platform_url: str
    lease_s: float
    poll_s: float
    waves: WaveSettings

    @property
    def replicas_nearest_first(self) -> tuple[Member, ...]:
        """The replicas, those of this manager's zone first."""
        return tuple(
            sorted(self.replicas, key=lambda peer: peer.zone != self.zone),
        )
