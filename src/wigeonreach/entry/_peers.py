"""Exchange typed messages and heartbeats with the other entries."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import mode

from wigeonreach.entry._contact import PeerContacts
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.exceptions import WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire import Channel, Member, connect, serve
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._peer_messages import Goodbye, Heartbeat, PeerHello

_RETRY_S = 0.2
#: Interval of heartbeats to a peer of the same zone, in seconds.
ZONE_HEARTBEAT_S = 0.25
#: Interval of heartbeats to a peer of another zone, in seconds.
FAR_HEARTBEAT_S = 2.0
# A channel without an echo for this many heartbeat intervals is reopened.  TCP
# alone would take minutes to time out, while posted messages accumulate.
_MAX_SILENT_HEARTBEATS = 12

_MessageT = TypeVar('_MessageT', bound=WireMessage)
Handler = Callable[[PeerHello, _MessageT], None]
InitialMessages = Callable[[str], Iterable[WireMessage]]


@dataclasses.dataclass(slots=True)
class PeerLink:
    """A channel that this entry opened to a peer."""

    peer: Member
    channel: Channel
    opened_s: float
    has_synced: bool = False


class PeerExchange(mode.Service):
    """Manages the channels to all other entries.

    Each entry opens one channel to each other entry to send on, and receives
    on the channels that the others opened.  Handlers run to completion before
    the next message of the channel is read, and must not block.

    Parameters
    ----------
    settings
        Name, zone and peers of this entry.
    logger
        Log for connected and lost peers.
    """

    def __init__(self, settings: EntrySettings, logger: Logger) -> None:
        """Start without any connected peer."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self.incarnation_ns = time.time_ns()
        self.zone_names = tuple(peer.name for peer in settings.zone_peers)
        self._other_entries = tuple(
            peer for peer in settings.peers if peer.name != settings.name
        )
        self.contacts = PeerContacts(
            self.incarnation_ns,
            (peer.name for peer in self._other_entries),
            settings.contact_limit_s,
        )
        self._links: dict[str, PeerLink] = {}
        self._handlers: dict[type[WireMessage], Handler[Any]] = {}
        self._message_sources: list[InitialMessages] = []
        self._contact_listeners: list[Handler[Any]] = []
        self._restart_listeners: list[Callable[[str], None]] = []
        self._refused_listeners: list[Callable[[str, float], None]] = []
        self._connected_listeners: list[Callable[[str], None]] = []
        self._heartbeat_received = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.handle(Heartbeat, self._on_heartbeat)
        self.handle(Goodbye, self._on_goodbye)

    def handle(
        self,
        message_type: type[_MessageT],
        handler: Handler[_MessageT],
    ) -> None:
        """Set the only handler of a message type.

        Parameters
        ----------
        message_type
            Type of the messages to handle.
        handler
            Called with the sender's hello and the message.
        """
        self._handlers[message_type] = handler

    def add_initial_messages(self, source: InitialMessages) -> None:
        """Add a source of the messages to send first on each new channel.

        Parameters
        ----------
        source
            Called with a peer's name at the first heartbeat received after
            the channel was opened.  Heartbeats echo the peer's time only once
            these messages are sent.
        """
        self._message_sources.append(source)

    def on_peer_restart(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the name of each peer that restarted."""
        self._restart_listeners.append(listener)

    def on_refused(self, listener: Callable[[str, float], None]) -> None:
        """Call a listener with the name of each peer that refuses a connection.

        Unlike a timeout, this proves that no process is listening there.  The
        listener also receives the monotonic time, in seconds, at which the
        connection was attempted.
        """
        self._refused_listeners.append(listener)

    def on_connected(self, listener: Callable[[str], None]) -> None:
        """Call a listener with each peer at its first heartbeat on a channel."""
        self._connected_listeners.append(listener)

    def on_contact_change(self, listener: Handler[WireMessage]) -> None:
        """Call a listener after each heartbeat or goodbye."""
        self._contact_listeners.append(listener)

    def post(self, name: str, message: WireMessage) -> bool:
        """Queue a message to a peer without waiting.

        Returns
        -------
        bool
            False if no channel to the peer is open; True doesn't guarantee
            delivery.
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
        """Whether all peers of the zone are in contact."""
        return now_s < self.zone_contact_until_s()

    def zone_contact_until_s(self) -> float:
        """Return until when the zone is in contact without a new heartbeat."""
        return self.contacts.in_contact_until_s(self.zone_names)

    async def confirm(self, timeout_s: float) -> bool:
        """Wait until all posted messages have reached every peer of the zone.

        Parameters
        ----------
        timeout_s
            Maximum time to wait, in seconds.

        Returns
        -------
        bool
            Whether they have reached every peer in time.
        """
        posted_s = time.monotonic()
        for name in self.zone_names:
            self._send_heartbeat(name, wants_reply=True)
        try:
            async with asyncio.timeout(timeout_s):
                while not self.contacts.has_reached(self.zone_names, posted_s):
                    self._heartbeat_received.clear()
                    await self._heartbeat_received.wait()
        except TimeoutError:
            return False
        return True

    async def on_start(self) -> None:
        """Listen for peers and connect to each of them."""
        self._server = await serve(
            self._settings.listen,
            self._on_channel,
            self._log.message_unreadable,
        )
        for peer in self._other_entries:
            self.add_future(self._keep_connected(peer))

    async def on_stop(self) -> None:
        """Send a goodbye to all peers, then stop listening."""
        for name in list(self._links):
            self.post(name, Goodbye())
        if self._server is not None:
            self._server.close()

    async def _on_channel(self, channel: Channel) -> None:
        hello = await channel.receive()
        if not isinstance(hello, PeerHello):
            return
        if hello.process not in {peer.name for peer in self._other_entries}:
            return
        if self.contacts.on_hello(hello):
            for listener in self._restart_listeners:
                listener(hello.process)
        while True:
            message = await channel.receive()
            handler = self._handlers.get(type(message))
            if handler is not None:
                handler(hello, message)

    def _on_heartbeat(self, hello: PeerHello, heartbeat: Heartbeat) -> None:
        now_s = time.monotonic()
        self.contacts.on_heartbeat(hello, heartbeat, now_s)
        self._heartbeat_received.set()
        link = self._links.get(hello.process)
        if link is not None and not link.has_synced:
            self._send_initial_messages(link)
        if heartbeat.wants_reply:
            self._send_heartbeat(hello.process)
        self._notify_contact(hello, heartbeat)

    def _on_goodbye(self, hello: PeerHello, goodbye: Goodbye) -> None:
        self.contacts.on_goodbye(hello)
        self._notify_contact(hello, goodbye)

    def _notify_contact(self, hello: PeerHello, message: WireMessage) -> None:
        for listener in self._contact_listeners:
            listener(hello, message)

    def _send_initial_messages(self, link: PeerLink) -> None:
        for listener in self._connected_listeners:
            listener(link.peer.name)
        for source in self._message_sources:
            for message in source(link.peer.name):
                link.channel.post(message)
        link.has_synced = True

    def _send_heartbeat(self, name: str, *, wants_reply: bool = False) -> None:
        link = self._links.get(name)
        if link is None:
            return
        link.channel.post(
            self.contacts.build_heartbeat(
                name,
                time.monotonic(),
                has_synced=link.has_synced,
                wants_reply=wants_reply,
            ),
        )

    async def _keep_connected(self, peer: Member) -> None:
        while not self.should_stop:
            attempted_s = time.monotonic()
            try:
                await self._run_channel(peer)
            except WireError as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    self._notify_refused(peer.name, attempted_s)
                await self.sleep(_RETRY_S)

    def _notify_refused(self, name: str, attempted_s: float) -> None:
        for listener in self._refused_listeners:
            listener(name, attempted_s)

    async def _run_channel(self, peer: Member) -> None:
        channel = await connect(peer.address)
        settings = self._settings
        link = PeerLink(peer, channel, time.monotonic())
        channel.post(
            PeerHello(settings.name, settings.zone, self.incarnation_ns),
        )
        self._links[peer.name] = link
        self._log.info(LogEvent.PEER_CONNECTED, peer=peer.name)
        heartbeats = asyncio.ensure_future(self._send_heartbeats(link))
        try:
            # Peers send on their own channels, so this only waits for the close.
            await channel.receive()
        finally:
            heartbeats.cancel()
            await self._unlink(link)

    async def _unlink(self, link: PeerLink) -> None:
        self._links.pop(link.peer.name)
        self._log.warning(LogEvent.PEER_LOST, peer=link.peer.name)
        await link.channel.close()

    async def _send_heartbeats(self, link: PeerLink) -> None:
        name = link.peer.name
        is_same_zone = link.peer.zone == self._settings.zone
        interval_s = ZONE_HEARTBEAT_S if is_same_zone else FAR_HEARTBEAT_S
        while True:
            self._send_heartbeat(name)
            await asyncio.sleep(interval_s)
            last_echo_s = max(link.opened_s, self.contacts.peer(name).echoed_s)
            if (
                time.monotonic() - last_echo_s
                > interval_s * _MAX_SILENT_HEARTBEATS
            ):
                link.channel.abort()
