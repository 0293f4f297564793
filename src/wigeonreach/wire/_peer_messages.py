"""Messages with which entries detect that their peers are alive."""

from __future__ import annotations

from wigeonreach.wire._base import WireMessage


class PeerHello(WireMessage, frozen=True):
    """First message on a channel between two entries."""

    process: str
    zone: str
    incarnation_ns: int


class Heartbeat(WireMessage, frozen=True):
    """Report that the sender is alive, and the last heartbeat it received.

    ``echo_s`` is the ``sent_s`` of the newest heartbeat that the sender
    received from the receiver, and ``echo_incarnation_ns`` the incarnation
    that heartbeat came from.  Both are 0 until the sender has passed on
    everything it knows.
    """

    sent_s: float
    echo_s: float
    echo_incarnation_ns: int
    wants_reply: bool = False


class Goodbye(WireMessage, frozen=True):
    """The sender accepts no more announcements and is shutting down."""
