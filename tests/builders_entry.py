"""Builders of requests for tests of entries."""

from __future__ import annotations

import itertools
import time

from tests.builders import SAMPLE_TEXT
from wigeonreach.entry._queue import Ticket
from wigeonreach.entry._request import CallerRequest
from wigeonreach.text import parse_fleet_text

_ticket_numbers = itertools.count()


def build_ticket(
    team: str = 'clinics',
    *,
    weight: float = 1.0,
    is_urgent: bool = False,
    due_s: float = 10.0,
) -> Ticket:
    """Return a queue entry with a unique number."""
    return Ticket(next(_ticket_numbers), team, weight, is_urgent, due_s)


def build_request(
    method: str,
    due_s: float | None = None,
) -> CallerRequest:
    """Return a request to ``records`` of the sample configuration."""
    text = parse_fleet_text(SAMPLE_TEXT)
    return CallerRequest(
        service=text.services['records'],
        method=method,
        path='/work',
        headers={},
        body=b'work',
        team='',
        is_urgent=False,
        key='',
        due_s=time.monotonic() + 60 if due_s is None else due_s,
    )
