"""Decide whether everything that a peer learned has reached this entry."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from wigeonreach.wire._peer_messages import Heartbeat, PeerHello

#: Contact with a peer is lost when its newest echo is this old, in seconds.
CONTACT_LIMIT_S = 1.0


@dataclasses.dataclass(slots=True)
class PeerContact:
    """What was heard of one peer.

    ``echoed_s`` is the newest time of this process' own clock that the peer
    repeated.  A channel keeps order, so that everything which the peer had
    learned by then has arrived here, and everything sent to the peer before
    then has arrived there.
    """

    name: str
    incarnation_ns: int = 0
    their_sent_s: float = 0
    heard_s: float = float('-inf')
    echoed_s: float = float('-inf')
    has_left: bool = False


class Contacts:
    """Contact of one entry with each of its peers.

    Parameters
    ----------
    incarnation_ns
        Incarnation of this entry.
    names
        Names of all peers.
    limit_s
        Age of the newest echo, in seconds, at which contact is lost.
    """

    def __init__(
        self,
        incarnation_ns: int,
        names: Iterable[str],
        limit_s: float = CONTACT_LIMIT_S,
    ) -> None:
        """Start out of contact with every peer."""
        self._incarnation_ns = incarnation_ns
        self._limit_s = limit_s
        self._peers = {name: PeerContact(name) for name in names}

    def peer(self, name: str) -> PeerContact:
        """Return what was heard of one peer.

        Raises
        ------
        KeyError
            If the settings name no such peer.
        """
        return self._peers[name]

    def greet(self, hello: PeerHello) -> bool:
        """Take the first message of a channel that a peer opened.

        Parameters
        ----------
        hello
            Who opened the channel.

        Returns
        -------
        bool
            Whether the peer was restarted, and so forgot what it had learned.
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

    def hear(
        self,
        hello: PeerHello,
        heartbeat: Heartbeat,
        now_s: float,
    ) -> None:
        """Take a heartbeat; a late one of an older channel changes nothing."""
        peer = self._peers[hello.process]
        if hello.incarnation_ns != peer.incarnation_ns:
            return
        peer.heard_s = now_s
        peer.their_sent_s = max(peer.their_sent_s, heartbeat.sent_s)
        if heartbeat.echo_incarnation_ns == self._incarnation_ns:
            peer.echoed_s = max(peer.echoed_s, heartbeat.echo_s)

    def leave(self, hello: PeerHello) -> None:
        """Note that a peer ends: nothing will be told to it any more."""
        peer = self._peers[hello.process]
        if hello.incarnation_ns == peer.incarnation_ns:
            peer.has_left = True

    def heartbeat(
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
            The peer.
        now_s
            Monotonic time of this process, in seconds.
        has_synced
            Whether everything known here was sent on this channel before.
        wants_reply
            Whether the peer shall answer at once.
        """
        peer = self._peers[name]
        if not has_synced:
            return Heartbeat(now_s, 0, 0, wants_reply)
        return Heartbeat(
            now_s,
            peer.their_sent_s,
            peer.incarnation_ns,
            wants_reply,
        )

    def is_in_contact(self, name: str, now_s: float) -> bool:
        """Whether what a peer learned until ``limit_s`` ago is known here."""
        return now_s - self._peers[name].echoed_s < self._limit_s

    def covered_until_s(self, names: Iterable[str]) -> float:
        """Return until when each of the peers is in contact or has ended."""
        return min(
            (
                self._peers[name].echoed_s + self._limit_s
                for name in names
                if not self._peers[name].has_left
            ),
            default=float('inf'),
        )

    def has_reached(self, names: Iterable[str], posted_s: float) -> bool:
        """Whether what was posted at a time has arrived at all the peers."""
        return all(
            self._peers[name].has_left or self._peers[name].echoed_s > posted_s
            for name in names
        )
