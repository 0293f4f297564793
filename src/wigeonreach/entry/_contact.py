"""Track which peers are in contact, based on echoed heartbeat times."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from wigeonreach.wire._peer_messages import Heartbeat, PeerHello

#: Age of the newest echo, in seconds, at which a peer is out of contact.
CONTACT_LIMIT_S = 1.0


@dataclasses.dataclass(slots=True)
class PeerContact:
    """Heartbeat state of one peer.

    ``peer_sent_s`` is the newest timestamp received of the peer's clock, and
    ``heard_s`` the local time of its last heartbeat.

    ``echoed_s`` is the newest timestamp of this process's own clock that the
    peer echoed.  Channels deliver in order, so everything that the peer knew
    at that time has arrived here, and everything sent to the peer before that
    time has arrived there.
    """

    name: str
    incarnation_ns: int = 0
    peer_sent_s: float = 0
    heard_s: float = float('-inf')
    echoed_s: float = float('-inf')
    has_left: bool = False


class PeerContacts:
    """Heartbeat state of all peers of one entry.

    Parameters
    ----------
    incarnation_ns
        Incarnation of this entry.
    names
        Names of all configured peers.
    limit_s
        Age of the newest echo, in seconds, at which contact is lost.
    """

    def __init__(
        self,
        incarnation_ns: int,
        names: Iterable[str],
        limit_s: float = CONTACT_LIMIT_S,
    ) -> None:
        """Start with every peer out of contact."""
        self._incarnation_ns = incarnation_ns
        self._limit_s = limit_s
        self._peers = {name: PeerContact(name) for name in names}

    def peer(self, name: str) -> PeerContact:
        """Return the heartbeat state of one peer.

        Raises
        ------
        KeyError
            If no peer with this name is configured.
        """
        return self._peers[name]

    def on_hello(self, hello: PeerHello) -> bool:
        """Handle the first message on a channel that a peer opened.

        Parameters
        ----------
        hello
            Identity of the peer that opened the channel.

        Returns
        -------
        bool
            Whether the peer restarted and so lost its in-memory state.
        """
        peer = self._peers[hello.process]
        if hello.incarnation_ns <= peer.incarnation_ns:
            return False
        was_known = peer.incarnation_ns > 0
        self._peers[hello.process] = PeerContact(
            hello.process,
            hello.incarnation_ns,
        )
        return was_known

    def on_heartbeat(
        self,
        hello: PeerHello,
        heartbeat: Heartbeat,
        now_s: float,
    ) -> None:
        """Handle a heartbeat; one from an older incarnation is ignored."""
        peer = self._peers[hello.process]
        if hello.incarnation_ns != peer.incarnation_ns:
            return
        peer.heard_s = now_s
        peer.peer_sent_s = max(peer.peer_sent_s, heartbeat.sent_s)
        if heartbeat.echo_incarnation_ns == self._incarnation_ns:
            peer.echoed_s = max(peer.echoed_s, heartbeat.echo_s)

    def on_goodbye(self, hello: PeerHello) -> None:
        """Record that a peer is shutting down and needs no more updates."""
        peer = self._peers[hello.process]
        if hello.incarnation_ns == peer.incarnation_ns:
            peer.has_left = True

    def build_heartbeat(
        self,
        name: str,
        now_s: float,
        *,
        has_synced: bool,
        wants_reply: bool = False,
    ) -> Heartbeat:
        """Return the heartbeat to send to a peer now.

        Parameters
        ----------
        name
            Name of the peer.
        now_s
            Monotonic time of this process, in seconds.
        has_synced
            Whether the initial messages were already sent on this channel.
        wants_reply
            Whether the peer should reply immediately.
        """
        peer = self._peers[name]
        if not has_synced:
            return Heartbeat(now_s, 0, 0, wants_reply)
        return Heartbeat(
            now_s,
            peer.peer_sent_s,
            peer.incarnation_ns,
            wants_reply,
        )

    def is_in_contact(self, name: str, now_s: float) -> bool:
        """Whether everything the peer knew ``limit_s`` ago is known here."""
        return now_s - self._peers[name].echoed_s < self._limit_s

    def in_contact_until_s(self, names: Iterable[str]) -> float:
        """Return until when every peer that has not left is in contact."""
        return min(
            (
                self._peers[name].echoed_s + self._limit_s
                for name in names
                if not self._peers[name].has_left
            ),
            default=float('inf'),
        )

    def has_reached(self, names: Iterable[str], posted_s: float) -> bool:
        """Whether messages posted at ``posted_s`` have reached all the peers."""
        return all(
            self._peers[name].has_left or self._peers[name].echoed_s > posted_s
            for name in names
        )
