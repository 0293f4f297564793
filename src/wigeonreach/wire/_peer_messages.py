"""Messages by which entries stay in contact."""

from __future__ import annotations

from wigeonreach.wire._base import WireMessage


class PeerHello(WireMessage, frozen=True):
    """First message on a channel between two entries."""

    process: str
    zone: str
    incarnation_ns: int


class Heartbeat(WireMessage, frozen=True):
    """Say that the sender runs, and which heartbeat it heard last.

    ``echo_s`` is the ``sent_s`` of the receiver's own newest heartbeat that
    the sender had heard, and ``echo_incarnation_ns`` the incarnation that
    heartbeat came from.  Both are 0 until the sender has passed on everything
    it knows.
    """

    sent_s: float
    echo_s: float
    echo_incarnation_ns: int
    wants_reply: bool = False


class Goodbye(WireMessage, frozen=True):
    """The sender takes no more announcements and ends."""
