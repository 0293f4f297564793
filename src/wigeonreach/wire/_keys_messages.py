"""Messages that forward a request with an idempotency key to its owner."""

from __future__ import annotations

from wigeonreach.wire._base import WireMessage


class HeaderField(WireMessage, frozen=True):
    """A header of a request."""

    name: str
    text: str


class ForwardRequest(WireMessage, frozen=True):
    """Forward a request to the owner of its idempotency key.

    ``left_s`` is the time left until the request's deadline, in seconds.
    """

    call_id: str
    key: str
    service: str
    method: str
    path: str
    headers: tuple[HeaderField, ...]
    body: bytes
    team: str
    weight: float
    is_urgent: bool
    left_s: float


class ForwardReply(WireMessage, frozen=True):
    """Outcome of a forwarded request; ``status`` is 0 if it has no response."""

    call_id: str
    outcome: str
    code: int
    detail: str
    status: int = 0
    content_type: str | None = None
    content_encoding: str | None = None
    body: bytes = b''
