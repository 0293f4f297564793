"""Divide the slots of each target among the entries of its zone."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Final

import xxhash

from wigeonreach.wire._base import WireMessage

LEASE_S: Final = 1.0
"""Duration of a loan unless it is renewed, as counted by the borrower."""

WORK_GRACE_S: Final = 0.5
"""How long a target may keep working on a request past its deadline."""

_MIN_LENDING_SHARE: Final = 2
_RESERVE_DIVISOR: Final = 4
_FOREIGN_DIVISOR: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Sharer:
    """Identity of this entry among those that share slots of targets.

    ``started_s`` is monotonic time in seconds; ``incarnation_ns`` increases
    with each start of the process.
    """

    name: str
    zone: str
    incarnation_ns: int
    started_s: float
    zone_peers: tuple[str, ...]
    foreign_peers: tuple[str, ...]

    @property
    def zone_names(self) -> tuple[str, ...]:
        """Names of all entries of the zone, this one included."""
        return (self.name, *self.zone_peers)

    @property
    def entries(self) -> int:
        """Number of entries in all zones."""
        return 1 + len(self.zone_peers) + len(self.foreign_peers)


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A message to send to another entry."""

    peer: str
    message: WireMessage


def permanent_share(
    slots: int,
    names: Sequence[str],
    name: str,
    target_id: str,
) -> int:
    """Return how many of a target's slots permanently belong to an entry.

    Parameters
    ----------
    slots
        Number of slots of the target.
    names
        Names of all entries configured for the target's zone.
    name
        Name of the entry; it must be one of ``names``.
    target_id
        Identifier of the target.  If the slots don't divide evenly, its hash
        decides which entries get the remainder.

    Returns
    -------
    int
        The share; the shares of all entries add up to ``slots``.
    """
    count = len(names)
    offset = xxhash.xxh32_intdigest(target_id.encode())
    rank = (sorted(names).index(name) + offset) % count
    whole, remainder = divmod(slots, count)
    return whole + (rank < remainder)


def reserved_slots(share: int) -> int:
    """Return how many slots of a share are never lent.

    They let an entry serve its first requests without borrowing, even while
    it is partitioned from its peers.
    """
    if share < _MIN_LENDING_SHARE:
        return share
    return -(-share // _RESERVE_DIVISOR)


def foreign_loan_limit(share: int) -> int:
    """Return how many slots of a share may be lent to other zones at once."""
    return share // _FOREIGN_DIVISOR
