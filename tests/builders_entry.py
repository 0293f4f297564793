"""Build what entries decide on."""

from __future__ import annotations

import itertools

from wigeonreach.entry._queue import Ticket

_numbers = itertools.count()


def build_ticket(
    team: str = 'clinics',
    *,
    weight: float = 1.0,
    is_urgent: bool = False,
    due_s: float = 10.0,
) -> Ticket:
    """Return a place with a number of its own."""
    return Ticket(next(_numbers), team, weight, is_urgent, due_s)
