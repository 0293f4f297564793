"""Settings of an entry."""

from __future__ import annotations

import dataclasses

from wigeonreach.entry._contact import CONTACT_LIMIT_S
from wigeonreach.wire import Address, Member


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Identity, addresses, peers and limits of an entry."""

    name: str
    zone: str
    http: Address
    listen: Address
    peers: tuple[Member, ...]
    replicas: tuple[Member, ...]
    max_body_bytes: int
    max_deadline_s: float
    readiness_notice_s: float = 1.0
    contact_limit_s: float = CONTACT_LIMIT_S
    head_timeout_s: float = 15.0
    key_lifetime_s: float = 300.0
    max_keys: int = 100_000
    max_key_answer_bytes: int = 16 * 1024 * 1024

    @property
    def zone_peers(self) -> tuple[Member, ...]:
        """The other entries of this entry's zone."""
        return tuple(
            peer
            for peer in self.peers
            if peer.zone == self.zone and peer.name != self.name
        )

    @property
    def foreign_peers(self) -> tuple[Member, ...]:
        """The entries of other zones."""
        return tuple(peer for peer in self.peers if peer.zone != self.zone)

    @property
    def replicas_nearest_first(self) -> tuple[Member, ...]:
        """The replicas, with those of this entry's zone first."""
        return tuple(
            sorted(self.replicas, key=lambda peer: peer.zone != self.zone),
        )
