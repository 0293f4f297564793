"""Serve one replica of the durable state."""

from __future__ import annotations

import asyncio
import functools

import mode

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.state._journal import Journal
from wigeonreach.state._ledger import Ledger
from wigeonreach.state._settings import ReplicaSettings
from wigeonreach.wire import Channel, Member, connect, serve
from wigeonreach.wire._config_messages import (
    ApplyReply,
    ApplyText,
    ConfigAck,
    ConfigUpdate,
    ReadReply,
    ReadText,
    StatusReply,
    StatusRequest,
    Subscribe,
    SubscriberStatus,
)
from wigeonreach.wire._replica_messages import Append, AppendReply

_RETRY_S = 0.2
_REPLY_TIMEOUT_S = 5.0


class Replica(mode.Service):
    """Store changes, follow or lead, and push accepted texts.

    Parameters
    ----------
    settings
        Who this replica is.
    logger
        Where events are logged.
    """

    def __init__(self, settings: ReplicaSettings, logger: Logger) -> None:
        """Open the journal; nothing is served before ``start``."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self._journal = Journal(settings.data_folder / 'journal')
        self._ledger = Ledger(self._journal.load())
        self._synced = {settings.name: self._ledger.stored_version}
        self._changed = asyncio.Condition()
        self._writing = asyncio.Lock()
        self._subscribers: dict[str, SubscriberStatus] = {}
        self._server: asyncio.Server | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this replica decides on changes."""
        return self._settings.members[0].name == self._settings.name

    async def on_start(self) -> None:
        """Listen, and lead the others if this is the leader."""
        self._server = await serve(self._settings.listen, self._on_channel)
        if self.is_leader:
            for member in self._settings.members[1:]:
                self.add_future(self._lead(member))

    async def drain(self) -> None:
        """Do nothing: each acknowledged change is synced already."""

    async def on_stop(self) -> None:
        """Stop listening and close the journal."""
        if self._server is not None:
            self._server.close()
        self._journal.close()

    async def _on_channel(self, channel: Channel) -> None:
        while True:
            message = await channel.receive()
            match message:
                case Subscribe():
                    await self._serve_subscriber(channel, message)
                case ApplyText():
                    await channel.send(await self._apply(message))
                case Append():
                    await channel.send(await self._follow(message))
                case ReadText():
                    await channel.send(self._read())
                case StatusRequest():
                    await channel.send(self._status())

    def _read(self) -> ReadReply:
        ledger = self._ledger
        return ReadReply(ledger.committed_version, ledger.committed_text())

    def _status(self) -> StatusReply:
        return StatusReply(
            process=self._settings.name,
            zone=self._settings.zone,
            role='leader' if self.is_leader else 'follower',
            version=self._ledger.committed_version,
            subscribers=tuple(self._subscribers.values()),
        )

    async def _apply(self, change: ApplyText) -> ApplyReply:
        if not self.is_leader:
            return await self._forward(change)
        async with self._writing:
            reply = self._ledger.review(change)
            if reply is None:
                await self._store((change,))
                reply = ApplyReply(
                    ResultCode.OK,
                    '',
                    self._ledger.stored_version,
                )
        if reply.code == ResultCode.OK:
            return await self._wait_committed(reply)
        self._log.info(LogEvent.CHANGE_REFUSED, code=reply.code)
        return reply

    async def _wait_committed(self, reply: ApplyReply) -> ApplyReply:
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S), self._changed:
                await self._changed.wait_for(
                    lambda: self._ledger.committed_version >= reply.version,
                )
        except TimeoutError:
            return ApplyReply(
                ResultCode.STATE_NO_QUORUM,
                'stored here, but not yet on a quorum; resend to learn more',
                self._ledger.committed_version,
            )
        return reply

    async def _forward(self, change: ApplyText) -> ApplyReply:
        try:
            return await self._ask_leader(change)
        except WireError as error:
            return ApplyReply(ResultCode.STATE_NO_QUORUM, error.detail, 0)

    async def _ask_leader(self, change: ApplyText) -> ApplyReply:
        channel = await connect(self._settings.members[0].address)
        try:
            reply = await channel.request(change, _REPLY_TIMEOUT_S)
        finally:
            await channel.close()
        if isinstance(reply, ApplyReply):
            return reply
        raise WireError(ResultCode.WIRE_MALFORMED, type(reply).__name__)

    async def _store(self, changes: tuple[ApplyText, ...]) -> None:
        write = functools.partial(self._journal.append, changes)
        await asyncio.to_thread(write)
        self._ledger.changes.extend(changes)
        await self._note_synced(
            self._settings.name,
            self._ledger.stored_version,
        )

    async def _note_synced(self, name: str, version: int) -> None:
        self._synced[name] = version
        async with self._changed:
            if self.is_leader and self._ledger.commit(self._quorum_version()):
                self._log.info(
                    LogEvent.CHANGE_ACCEPTED,
                    version=self._ledger.committed_version,
                )
            self._changed.notify_all()

    def _quorum_version(self) -> int:
        newest_first = sorted(self._synced.values(), reverse=True)
        if len(newest_first) < self._settings.quorum:
            return 0
        return newest_first[self._settings.quorum - 1]

    async def _lead(self, member: Member) -> None:
        while not self.should_stop:
            try:
                await self._replicate(member)
            except WireError:
                await self.sleep(_RETRY_S)

    async def _replicate(self, member: Member) -> None:
        channel = await connect(member.address)
        try:
            await self._send_changes(channel, member)
        finally:
            await channel.close()

    async def _send_changes(self, channel: Channel, member: Member) -> None:
        while not self.should_stop:
            known = self._synced.get(member.name)
            append = self._append_from(known)
            reply = await channel.request(append, _REPLY_TIMEOUT_S)
            if not isinstance(reply, AppendReply):
                raise WireError(ResultCode.WIRE_MALFORMED, repr(reply))
            await self._note_synced(member.name, reply.version)
            await self._wait_moved((reply.version, append.committed_version))

    async def _wait_moved(self, sent: tuple[int, int]) -> None:
        async with self._changed:
            await self._changed.wait_for(lambda: sent != self._position())

    def _position(self) -> tuple[int, int]:
        ledger = self._ledger
        return ledger.stored_version, ledger.committed_version

    def _append_from(self, known: int | None) -> Append:
        changes = () if known is None else tuple(self._ledger.changes[known:])
        return Append(
            version=self._ledger.stored_version if known is None else known,
            committed_version=self._ledger.committed_version,
            changes=changes,
        )

    async def _follow(self, append: Append) -> AppendReply:
        async with self._writing:
            if append.version == self._ledger.stored_version:
                await self._store(append.changes)
        async with self._changed:
            if self._ledger.commit(append.committed_version):
                self._changed.notify_all()
        return AppendReply(self._settings.name, self._ledger.stored_version)

    async def _serve_subscriber(
        self,
        channel: Channel,
        subscribe: Subscribe,
    ) -> None:
        reading = asyncio.ensure_future(
            self._read_acks(channel, subscribe),
        )
        try:
            await self._push(channel, subscribe.version, reading)
        finally:
            reading.cancel()
            self._subscribers.pop(subscribe.process, None)

    async def _push(
        self,
        channel: Channel,
        version: int,
        reading: asyncio.Future[None],
    ) -> None:
        known = version
        reading.add_done_callback(lambda _: self.add_future(self._wake()))
        while not reading.done():
            read = self._read()
            if read.version > known:
                await channel.send(ConfigUpdate(read.version, read.text))
                known = read.version
            await self._wait_newer(known, reading)

    async def _wait_newer(
        self,
        version: int,
        reading: asyncio.Future[None],
    ) -> None:
        async with self._changed:
            await self._changed.wait_for(
                lambda: (
                    reading.done() or self._ledger.committed_version > version
                ),
            )

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _read_acks(self, channel: Channel, start: Subscribe) -> None:
        version = start.version
        while True:
            self._subscribers[start.process] = SubscriberStatus(
                start.process,
                start.zone,
                version,
            )
            try:
                message = await channel.receive()
            except WireError:
                return
            if isinstance(message, ConfigAck):
                version = message.version
