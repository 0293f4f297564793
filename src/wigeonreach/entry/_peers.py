"""Share announcements with the other entries of the zone."""

from __future__ import annotations

import asyncio
import time

import mode

from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.exceptions import WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.wire import Channel, Member, connect, serve
from wigeonreach.wire._target_messages import (
    PeerHello,
    TargetRecord,
    TargetState,
    Targets,
)

_RETRY_S = 0.2


class PeerExchange(mode.Service):
    """Send what this entry learned to each peer, and merge what they send.

    Parameters
    ----------
    settings
        Who this entry is and who its peers are.
    membership
        Table that is kept up to date.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        settings: EntrySettings,
        membership: Membership,
        logger: Logger,
    ) -> None:
        """Start with no peer connected."""
        super().__init__()
        self._settings = settings
        self._membership = membership
        self._log = logger
        self._incarnation_ns = time.time_ns()
        self._outgoing: dict[str, Channel] = {}
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Listen for peers and connect to each of them."""
        self._server = await serve(self._settings.listen, self._on_channel)
        for peer in self._settings.zone_peers:
            self.add_future(self._keep_connected(peer))

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def learn(self, record: TargetRecord) -> None:
        """Merge what a target announced here and tell every peer."""
        self.merge(record)
        for channel in self._outgoing.values():
            channel.post(Targets((record,)))

    def merge(self, record: TargetRecord) -> None:
        """Merge one record and log what it changed."""
        merged = self._membership.merge(record, time.monotonic())
        if merged is Merge.JOINED and record.state is TargetState.SERVING:
            self._log.info(LogEvent.TARGET_JOINED, target=record.target_id)
        elif merged is Merge.LEFT:
            self._log.info(LogEvent.TARGET_LEAVING, target=record.target_id)

    async def _on_channel(self, channel: Channel) -> None:
        while True:
            message = await channel.receive()
            if isinstance(message, Targets):
                for record in message.records:
                    self.merge(record)

    async def _keep_connected(self, peer: Member) -> None:
        while not self.should_stop:
            try:
                await self._talk(peer)
            except WireError:
                await self.sleep(_RETRY_S)

    async def _talk(self, peer: Member) -> None:
        channel = await connect(peer.address)
        try:
            await self._introduce(channel)
            self._outgoing[peer.name] = channel
            self._log.info(LogEvent.PEER_CONNECTED, peer=peer.name)
            # Peers send on channels of their own: this only waits for the end.
            await channel.receive()
        finally:
            self._outgoing.pop(peer.name, None)
            await channel.close()

    async def _introduce(self, channel: Channel) -> None:
        settings = self._settings
        channel.post(
            PeerHello(settings.name, settings.zone, self._incarnation_ns),
        )
        await channel.send(Targets(self._membership.records(time.monotonic())))
