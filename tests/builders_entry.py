"""Build what entries decide on."""

from __future__ import annotations

import itertools
import time

from tests.builders import SAMPLE_TEXT
from wigeonreach.entry._queue import Ticket
from wigeonreach.entry._request import CallerRequest
from wigeonreach.text import parse_fleet_text

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


def build_request(
    method: str,
    due_s: float | None = None,
) -> CallerRequest:
    """Return a request to the service ``records`` of the sample text."""
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
