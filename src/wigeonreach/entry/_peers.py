"""Carry typed messages and heartbeats between this entry and its peers."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import mode

from wigeonreach.entry._contact import Contacts
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.exceptions import WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire import Channel, Member, connect, serve
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._peer_messages import Goodbye, Heartbeat, PeerHello

_RETRY_S = 0.2
#: Time between heartbeats to a peer of the own zone, in seconds.
ZONE_HEARTBEAT_S = 0.25
#: Time between heartbeats to a peer of another zone, in seconds.
FAR_HEARTBEAT_S = 2.0
# A channel on which nothing arrived for this many heartbeats is opened anew:
# TCP alone would wait for minutes, and what is posted would pile up.
_SILENT_BEATS = 12

_Sent = TypeVar('_Sent', bound=WireMessage)
Handler = Callable[[PeerHello, _Sent], None]
Sync = Callable[[str], Iterable[WireMessage]]


@dataclasses.dataclass(slots=True)
class PeerLink:
    """The channel that this entry opened to one peer."""

    peer: Member
    channel: Channel
    opened_s: float
    has_synced: bool = False


class PeerExchange(mode.Service):
    """Own the channels to all other entries.

    Each entry opens one channel to each other and sends on it; it receives
    on those that the others opened.  Handlers run to their end before the
    next message of the channel is read, and must not wait.

    Parameters
    ----------
    settings
        Who this entry is and who its peers are.
    logger
        Where events are logged.
    """

    def __init__(self, settings: EntrySettings, logger: Logger) -> None:
        """Start with no peer connected."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self.incarnation_ns = time.time_ns()
        self.zone_names = tuple(peer.name for peer in settings.zone_peers)
        self._others = tuple(
            peer for peer in settings.peers if peer.name != settings.name
        )
        self.contacts = Contacts(
            self.incarnation_ns,
            (peer.name for peer in self._others),
            settings.contact_limit_s,
        )
        self._links: dict[str, PeerLink] = {}
        self._handlers: dict[type[WireMessage], Handler[Any]] = {}
        self._syncs: list[Sync] = []
        self._on_contact: list[Handler[Any]] = []
        self._on_restart: list[Callable[[str], None]] = []
        self._on_refused: list[Callable[[str, float], None]] = []
        self._on_heard: list[Callable[[str], None]] = []
        self._heard = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.handle(Heartbeat, self._on_heartbeat)
        self.handle(Goodbye, self._on_goodbye)

    def handle(
        self,
        message_type: type[_Sent],
        handler: Handler[_Sent],
    ) -> None:
        """Set the one handler of a message type.

        Parameters
        ----------
        message_type
            Which messages.
        handler
            Called with the sender's hello and the message.
        """
        self._handlers[message_type] = handler

    def sync_with(self, sync: Sync) -> None:
        """Add messages to send first on each new channel.

        Parameters
        ----------
        sync
            Called with a peer's name once the peer was heard on a new
            channel; heartbeats confirm contact only after these messages.
        """
        self._syncs.append(sync)

    def on_peer_restart(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the name of each peer that was restarted."""
        self._on_restart.append(listener)

    def on_refused(self, listener: Callable[[str, float], None]) -> None:
        """Call a listener with each peer that refused a connection.

        Unlike silence, this proves that no process listens there.  The
        listener also gets the monotonic time at which the connection was
        tried.
        """
        self._on_refused.append(listener)

    def on_heard(self, listener: Callable[[str], None]) -> None:
        """Call a listener with each peer heard on a new channel."""
        self._on_heard.append(listener)

    def after_heartbeat(self, listener: Handler[WireMessage]) -> None:
        """Call a listener after each message that changes contact."""
        self._on_contact.append(listener)

    def post(self, name: str, message: WireMessage) -> bool:
        """Queue a message to one peer without waiting.

        Returns
        -------
        bool
            False if no channel to the peer is open; True is no promise that
            the message arrives.
        """
        link = self._links.get(name)
        if link is None:
            return False
        link.channel.post(message)
        return True

    def post_to_zone(self, message: WireMessage) -> None:
        """Queue a message to each peer of this entry's zone."""
        for name in self.zone_names:
            self.post(name, message)

    def is_zone_in_contact(self, now_s: float) -> bool:
        """Whether all that the zone's entries learned is known here."""
        return now_s < self.zone_contact_until_s()

    def zone_contact_until_s(self) -> float:
        """Until when the zone is in contact if no heartbeat comes."""
        return self.contacts.covered_until_s(self.zone_names)

    async def confirm(self, timeout_s: float) -> bool:
        """Wait until all that was posted has reached every zone peer.

        Parameters
        ----------
        timeout_s
            How long to wait at most, in seconds.

        Returns
        -------
        bool
            Whether every peer of the zone has it.
        """
        posted_s = time.monotonic()
        for name in self.zone_names:
            self._beat(name, wants_reply=True)
        try:
            async with asyncio.timeout(timeout_s):
                while not self.contacts.has_reached(self.zone_names, posted_s):
                    self._heard.clear()
                    await self._heard.wait()
        except TimeoutError:
            return False
        return True

    async def on_start(self) -> None:
        """Listen for peers and connect to each of them."""
        self._server = await serve(self._settings.listen, self._on_channel)
        for peer in self._others:
            self.add_future(self._keep_connected(peer))

    async def on_stop(self) -> None:
        """Tell the peers, then stop listening."""
        for name in list(self._links):
            self.post(name, Goodbye())
        if self._server is not None:
            self._server.close()

    async def _on_channel(self, channel: Channel) -> None:
        hello = await channel.receive()
        if not isinstance(hello, PeerHello):
            return
        if hello.process not in {peer.name for peer in self._others}:
            return
        if self.contacts.greet(hello):
            for listener in self._on_restart:
                listener(hello.process)
        while True:
            message = await channel.receive()
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(hello, message)

    def _on_heartbeat(self, hello: PeerHello, heartbeat: Heartbeat) -> None:
        now_s = time.monotonic()
        self.contacts.hear(hello, heartbeat, now_s)
        self._heard.set()
        link = self._links.get(hello.process)
        if link is not None and not link.has_synced:
            self._sync(link)
        if heartbeat.wants_reply:
            self._beat(hello.process)
        self._tell_contact(hello, heartbeat)

    def _on_goodbye(self, hello: PeerHello, goodbye: Goodbye) -> None:
        self.contacts.leave(hello)
        self._tell_contact(hello, goodbye)

    def _tell_contact(self, hello: PeerHello, message: WireMessage) -> None:
        for listener in self._on_contact:
            listener(hello, message)

    def _sync(self, link: PeerLink) -> None:
        for listener in self._on_heard:
            listener(link.peer.name)
        for sync in self._syncs:
            for message in sync(link.peer.name):
                link.channel.post(message)
        link.has_synced = True

    def _beat(self, name: str, *, wants_reply: bool = False) -> None:
        link = self._links.get(name)
        if link is None:
            return
        link.channel.post(
            self.contacts.heartbeat(
                name,
                time.monotonic(),
                has_synced=link.has_synced,
                wants_reply=wants_reply,
            ),
        )

    async def _keep_connected(self, peer: Member) -> None:
        while not self.should_stop:
            began_s = time.monotonic()
            try:
                await self._talk(peer)
            except WireError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    self._tell_refused(peer.name, began_s)
                await self.sleep(_RETRY_S)

    def _tell_refused(self, name: str, began_s: float) -> None:
        for listener in self._on_refused:
            listener(name, began_s)

    async def _talk(self, peer: Member) -> None:
        channel = await connect(peer.address)
        settings = self._settings
        link = PeerLink(peer, channel, time.monotonic())
        channel.post(
            PeerHello(settings.name, settings.zone, self.incarnation_ns),
        )
        self._links[peer.name] = link
        self._log.info(LogEvent.PEER_CONNECTED, peer=peer.name)
        beating = asyncio.ensure_future(self._keep_beating(link))
        try:
            # Peers send on channels of their own: this only waits for the end.
            await channel.receive()
        finally:
            beating.cancel()
            await self._unlink(link)

    async def _unlink(self, link: PeerLink) -> None:
        self._links.pop(link.peer.name)
        self._log.warning(LogEvent.PEER_LOST, peer=link.peer.name)
        await link.channel.close()

    async def _keep_beating(self, link: PeerLink) -> None:
        name = link.peer.name
        is_near = link.peer.zone == self._settings.zone
        interval_s = ZONE_HEARTBEAT_S if is_near else FAR_HEARTBEAT_S
        while True:
            self._beat(name)
            await asyncio.sleep(interval_s)
            alive_s = max(link.opened_s, self.contacts.peer(name).echoed_s)
            if time.monotonic() - alive_s > interval_s * _SILENT_BEATS:
                link.channel.abort()
