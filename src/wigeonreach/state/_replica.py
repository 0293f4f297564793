"""Serve one replica of the durable state."""

from __future__ import annotations

import asyncio
import functools

import mode

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError, WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.state._front import Front
from wigeonreach.state._journal import Journal
from wigeonreach.state._machine import Machine
from wigeonreach.state._settings import ReplicaSettings
from wigeonreach.wire import Channel, Member, connect, serve
from wigeonreach.wire._replica_messages import Append, AppendReply
from wigeonreach.wire._state_messages import Submit, Submitted

_RETRY_S = 0.2
_REPLY_TIMEOUT_S = 5.0


class Replica(mode.Service):
    """Store commands, follow or lead, and let the front serve everybody else.

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
        self._commands = self._journal.load()
        self._committed = 0
        self._replies: dict[int, bytes] = {}
        self._synced = {settings.name: len(self._commands)}
        self._changed = asyncio.Condition()
        self._writing = asyncio.Lock()
        self._machine = Machine()
        self._front = Front(settings, self, self._machine, logger)
        self._server: asyncio.Server | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this replica decides on changes."""
        return self._settings.members[0].name == self._settings.name

    @property
    def applied_index(self) -> int:
        """Index of the last command that was applied here."""
        return self._committed

    async def propose(self, command: bytes) -> bytes:
        """Replicate a command and return the reply of the state machine.

        Raises
        ------
        StateError
            If no quorum confirmed in time; it may still be applied.
        """
        if not self.is_leader:
            return await self._forward(command)
        async with self._writing:
            await self._store((command,))
            index = len(self._commands)
        await self._wait_committed(index)
        return self._replies.pop(index)

    async def read_barrier(self) -> None:
        """Wait until what is stored here is applied."""
        await self._wait_committed(len(self._commands))

    async def wait_applied(self, known_index: int) -> int:
        """Wait until more than ``known_index`` is applied; return how far."""
        async with self._changed:
            await self._changed.wait_for(
                lambda: self._committed > known_index,
            )
        return self._committed

    async def on_start(self) -> None:
        """Listen, and lead the others if this is the leader."""
        await self.add_runtime_dependency(self._front)
        self._server = await serve(self._settings.listen, self._on_channel)
        if self.is_leader:
            await self._note_synced(self._settings.name, len(self._commands))
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
            if isinstance(message, Append):
                await channel.send(await self._follow(message))
            else:
                await self._front.handle(channel, message)

    async def _wait_committed(self, index: int) -> None:
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S), self._changed:
                await self._changed.wait_for(
                    lambda: self._committed >= index,
                )
        except TimeoutError:
            raise StateError(
                ResultCode.STATE_NO_QUORUM,
                'stored here, but not yet on a quorum; resend to learn more',
            ) from None

    async def _forward(self, command: bytes) -> bytes:
        try:
            reply = await self._ask_leader(Submit(command))
        except WireError as error:
            raise StateError(
                ResultCode.STATE_NO_QUORUM,
                error.detail,
            ) from error
        if reply.code:
            raise StateError(ResultCode(reply.code), reply.detail)
        return reply.reply

    async def _ask_leader(self, submit: Submit) -> Submitted:
        channel = await connect(self._settings.members[0].address)
        try:
            reply = await channel.request(submit, _REPLY_TIMEOUT_S)
        finally:
            await channel.close()
        if isinstance(reply, Submitted):
            return reply
        raise WireError(ResultCode.WIRE_MALFORMED, type(reply).__name__)

    def _commit(self, index: int) -> bool:
        reachable = min(index, len(self._commands))
        if reachable <= self._committed:
            return False
        for number in range(self._committed, reachable):
            command = self._commands[number]
            reply = self._machine.apply(number + 1, command)
            self._replies[number + 1] = reply
        self._committed = reachable
        return True

    async def _store(self, commands: tuple[bytes, ...]) -> None:
        write = functools.partial(self._journal.append, commands)
        await asyncio.to_thread(write)
        self._commands.extend(commands)
        await self._note_synced(self._settings.name, len(self._commands))

    async def _note_synced(self, name: str, version: int) -> None:
        self._synced[name] = version
        async with self._changed:
            if self.is_leader and self._commit(self._quorum_version()):
                self._log.info(
                    LogEvent.CHANGE_ACCEPTED,
                    version=self._committed,
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
        return len(self._commands), self._committed

    def _append_from(self, known: int | None) -> Append:
        changes = () if known is None else tuple(self._commands[known:])
        return Append(
            version=len(self._commands) if known is None else known,
            committed_version=self._committed,
            changes=changes,
        )

    async def _follow(self, append: Append) -> AppendReply:
        async with self._writing:
            if append.version == len(self._commands):
                await self._store(append.changes)
        async with self._changed:
            if self._commit(append.committed_version):
                self._changed.notify_all()
        return AppendReply(self._settings.name, len(self._commands))
