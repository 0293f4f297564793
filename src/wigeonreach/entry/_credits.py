"""Divide the slots of a target among the entries of its zone."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence
from typing import Final

import xxhash

from wigeonreach.wire._base import WireMessage

LEASE_S: Final = 1.0
"""How long a loan lasts unless it is renewed, counted by the borrower."""

WORK_GRACE_S: Final = 0.5
"""How long a target may go on with a request whose deadline passed."""

_SMALLEST_LENDING_SHARE: Final = 2
_RESERVE_DIVISOR: Final = 4
_FOREIGN_DIVISOR: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Sharer:
    """This entry among those that share the slots of targets.

    ``started_s`` is monotonic time; ``incarnation_ns`` tells one start from
    the next.
    """

    name: str
    zone: str
    incarnation_ns: int
    started_s: float
    zone_peers: tuple[str, ...]
    foreign_peers: tuple[str, ...]

    @property
    def zone_names(self) -> tuple[str, ...]:
        """All entries of the zone."""
        return (self.name, *self.zone_peers)

    @property
    def entries(self) -> int:
        """How many entries there are in all zones."""
        return 1 + len(self.zone_peers) + len(self.foreign_peers)


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """One message to send to another entry."""

    peer: str
    message: WireMessage


def home_share(
    slots: int,
    names: Sequence[str],
    name: str,
    target_id: str,
) -> int:
    """Return how many of a target's slots one entry has for good.

    Parameters
    ----------
    slots
        How many the target has.
    names
        Names of all entries that the settings give for the target's zone.
    name
        The entry asked about; it must be among them.
    target_id
        The target; who gets one slot more when the division leaves a rest
        differs from target to target.

    Returns
    -------
    int
        The share; the shares of all entries add up to ``slots``.
    """
    count = len(names)
    offset = xxhash.xxh32_intdigest(target_id.encode())
    rank = (sorted(names).index(name) + offset) % count
    whole, rest = divmod(slots, count)
    return whole + (rank < rest)


def reserve_of(share: int) -> int:
    """Return how many slots of a share are never lent.

    With them an entry serves its first callers without asking anyone, also
    when it is cut off from its peers.
    """
    if share < _SMALLEST_LENDING_SHARE:
        return share
    return -(-share // _RESERVE_DIVISOR)


def foreign_cap(share: int) -> int:
    """Return how many slots of a share other zones may hold at once."""
    return share // _FOREIGN_DIVISOR
