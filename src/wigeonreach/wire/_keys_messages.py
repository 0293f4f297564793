"""Messages by which a request with a key reaches the owner of the key."""

from __future__ import annotations

from wigeonreach.wire._base import WireMessage


class HeaderField(WireMessage, frozen=True):
    """One header of a request."""

    name: str
    text: str


class ForwardRequest(WireMessage, frozen=True):
    """Ask the owner of a key to answer a request; ``left_s`` is its time."""

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
    """How the request ended; ``status`` is 0 if there is no answer."""

    call_id: str
    outcome: str
    code: int
    detail: str
    status: int = 0
    content_type: str | None = None
    content_encoding: str | None = None
    body: bytes = b''
