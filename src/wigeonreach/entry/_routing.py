"""Choose the target for one attempt."""

from __future__ import annotations

import random
from collections.abc import Sequence

from wigeonreach.entry._membership import Member


def choose_target(
    members: Sequence[Member],
    sharers: int,
    rng: random.Random,
) -> Member | None:
    """Return the least loaded target that has a free slot for this entry.

    Parameters
    ----------
    members
        Targets that may be given new work.
    sharers
        How many entries share the slots of each target.
    rng
        Breaks ties, so that entries do not all choose alike.

    Returns
    -------
    Member or None
        The target, or None if this entry's share of every target is used.
    """
    free = [member for member in members if _free_slots(member, sharers) > 0]
    if not free:
        return None
    least = min(member.in_flight for member in free)
    return rng.choice([one for one in free if one.in_flight == least])


def _free_slots(member: Member, sharers: int) -> int:
    # Shares are rounded down: their sum must never pass the target's slots.
    return member.record.slots // sharers - member.in_flight
