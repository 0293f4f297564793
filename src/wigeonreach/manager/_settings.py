"""Settings of a manager."""

from __future__ import annotations

import dataclasses

from wigeonreach.fleet import WaveSettings
from wigeonreach.wire import Address, Member


@dataclasses.dataclass(frozen=True, slots=True)
class ManagerSettings:
    """Identity, peers and intervals of a manager.

    Attributes
    ----------
    lease_s
        How long the lease lasts without a renewal; after a manager crashes,
        another one takes over within about this time.
    poll_s
        Interval at which the platform and the waves are polled.
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
