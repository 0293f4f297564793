"""Handle requests of clients: operators, managers and entry processes."""

from __future__ import annotations

import asyncio
import contextlib
import math
import time

import mode
import msgspec

from wigeonreach.agreement import Agreement, ReplicaSettings
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError, StateError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.rollout._copy import TextCopy
from wigeonreach.state._feed import TextFeed
from wigeonreach.state._machine import Machine
from wigeonreach.state._machine_state import AcceptedState
from wigeonreach.state._machine_texts import as_edits
from wigeonreach.state._subscription import Subscription
from wigeonreach.text import TextReader
from wigeonreach.wire import Channel, Message
from wigeonreach.wire._command_messages import (
    Action,
    ChangeText,
    Command,
    ForgetProcess,
    RegisterProcess,
    Reply,
    RestoreText,
)
from wigeonreach.wire._rollout_messages import (
    ConfigDelta,
    ConfigNeed,
    ConfigSections,
    Follow,
    ReplicaStatus,
    ReplicaStatusRequest,
)
from wigeonreach.wire._state_messages import Answered, Ask, Submit, Submitted

_CONFIRM_INTERVAL_S = 1.0
_CONFIRM_TIMEOUT_S = 2.0
_REGISTRATION_REFRESH_S = 3600.0
_REPLY_DECODER = msgspec.msgpack.Decoder(Reply)
_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)


class RequestHandler(mode.Service):
    """Handles commands and reads, and pushes new versions to followers.

    Parameters
    ----------
    settings
        Name and zone of this replica.
    agreement
        The replicated log.
    machine
        The state that the log's commands are applied to.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        settings: ReplicaSettings,
        agreement: Agreement,
        machine: Machine,
        logger: Logger,
    ) -> None:
        """Start without subscriptions."""
        super().__init__()
        self._settings = settings
        self._agreement = agreement
        self._machine = machine
        self._log = logger
        self._feed = TextFeed()
        self._reader = TextReader()
        self._read_lock = asyncio.Lock()
        self._version_changed = asyncio.Condition()
        self._last_confirmed_s = -math.inf
        self._subscriptions: list[Subscription] = []

    async def handle(self, channel: Channel, message: Message) -> bool:
        """Handle a message of a client.

        Parameters
        ----------
        channel
            Connection that it arrived on and that the reply is sent on.
        message
            The message.

        Returns
        -------
        bool
            Whether the message is one that clients send.
        """
        match message:
            case Submit():
                await channel.send(await self._submit(message))
            case Ask():
                await channel.send(await self._answer(message))
            case Follow():
                await self._serve_follower(channel, message)
            case ReplicaStatusRequest():
                await channel.send(self._status())
            case _:
                return False
        return True

    def newest(self) -> TextCopy:
        """Return the newest version that is applied here."""
        return self._feed.newest(self._machine.state)

    def delta_from(self, version: int, checksum: int) -> ConfigDelta | None:
        """Return the delta from a version to the newest, if there is one."""
        return self._feed.delta_from(self._machine.state, version, checksum)

    def missing_sections(self, need: ConfigNeed) -> ConfigSections:
        """Return the sections that a follower lacks."""
        return self._feed.missing_sections(self._machine.state, need)

    def confirmed_age_s(self) -> float:
        """Return seconds since a quorum confirmed; -1 if it never did."""
        if self._last_confirmed_s == -math.inf:
            return -1
        return time.monotonic() - self._last_confirmed_s

    async def wait_newer(self, version: int, timeout_s: float) -> None:
        """Wait for a newer version, at most ``timeout_s`` seconds."""
        accepted = self._machine.state.accepted
        if accepted.version > version:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s), self._version_changed:
                await self._version_changed.wait()

    def forget_process(self, process: str) -> None:
        """Unregister a process that has ended and will not come back."""
        self.add_future(self._propose_ignoring_reply(ForgetProcess(process)))

    @mode.Service.task
    async def _confirm(self) -> None:
        while not self.should_stop:
            started_s = time.monotonic()
            with contextlib.suppress(StateError, TimeoutError):
                async with asyncio.timeout(_CONFIRM_TIMEOUT_S):
                    await self._agreement.read_barrier()
                # Everything accepted before the read barrier started is
                # applied here, so the start is the time that counts.
                self._last_confirmed_s = started_s
            await self.sleep(_CONFIRM_INTERVAL_S)

    @mode.Service.task
    async def _watch(self) -> None:
        applied = 0
        version = 0
        while not self.should_stop:
            applied = await self._agreement.wait_applied(applied)
            if self._machine.state.accepted.version != version:
                version = self._machine.state.accepted.version
                async with self._version_changed:
                    self._version_changed.notify_all()

    async def _submit(self, submit: Submit) -> Submitted:
        try:
            command = _COMMAND_DECODER.decode(submit.command)
        except msgspec.MsgspecError as error:
            return Submitted(ResultCode.WIRE_MALFORMED, str(error), b'')
        reply = self._machine.known_reply(command)
        if reply is None:
            reply = await self._refuse_invalid_text(command)
        if reply is not None:
            return Submitted(ResultCode.OK, '', msgspec.msgpack.encode(reply))
        return await self._propose(command)

    async def _propose(self, command: Command) -> Submitted:
        # Commands advance the clock of the replicated state.  A sender whose
        # clock is ahead would otherwise expire all leases.
        stamped = msgspec.structs.replace(
            command,
            at_s=min(command.at_s, time.time()),
            action=await self._as_smaller_action(command.action),
        )
        try:
            reply = await self._agreement.propose(
                msgspec.msgpack.encode(stamped),
            )
        except StateError as error:
            return Submitted(error.code, error.detail, b'')
        self._log_change(command, _REPLY_DECODER.decode(reply))
        return Submitted(ResultCode.OK, '', reply)

    async def _as_smaller_action(self, action: Action) -> Action:
        if not isinstance(action, ChangeText):
            return action
        accepted = self._machine.state.accepted
        # In a thread, since comparing large texts takes milliseconds.  A
        # change accepted in the meantime causes a conflict, as it would for
        # the original command.
        base = AcceptedState(accepted.version, accepted.text)
        return await asyncio.to_thread(as_edits, action, base)

    def _log_change(self, command: Command, reply: Reply) -> None:
        if not isinstance(command.action, (ChangeText, RestoreText)):
            return
        event = LogEvent.CHANGE_REFUSED
        if reply.code == ResultCode.OK:
            event = LogEvent.CHANGE_ACCEPTED
        self._log.info(
            event,
            code=reply.code,
            version=reply.version,
            author=command.author,
            change_id=command.command_id,
        )

    async def _refuse_invalid_text(self, command: Command) -> Reply | None:
        """Return the refusal of an invalid text, or None if it is valid."""
        if not isinstance(command.action, ChangeText):
            return None
        try:
            await self._validate_text(command.action.text)
        except FleetTextError as error:
            self._log.info(LogEvent.CHANGE_REFUSED, code=error.code)
            return Reply(
                error.code,
                error.detail,
                self._machine.state.revision,
                self._machine.state.accepted.version,
            )
        return None

    async def _validate_text(self, text: str) -> None:
        # In a thread, so that a large text does not delay heartbeats; one at
        # a time, because the reader reuses parts of the previous text.
        async with self._read_lock:
            await asyncio.to_thread(self._reader.read, text)

    async def _answer(self, ask: Ask) -> Answered:
        if not ask.is_local:
            try:
                await self._agreement.read_barrier()
            except StateError as error:
                return Answered(error.code, error.detail, 0)
        return Answered(
            ResultCode.OK,
            '',
            self._machine.state.revision,
            self._machine.query(ask.question),
        )

    async def _serve_follower(self, channel: Channel, follow: Follow) -> None:
        subscription = Subscription(channel, follow, self)
        self._subscriptions.append(subscription)
        self._register(follow)
        try:
            await subscription.run()
        finally:
            self._subscriptions.remove(subscription)

    def _register(self, follow: Follow) -> None:
        record = self._machine.state.processes.get(follow.process)
        oldest_s = time.time() - _REGISTRATION_REFRESH_S
        if record is None or record.registered_s < oldest_s:
            action = RegisterProcess(follow.process, follow.zone)
            self.add_future(self._propose_ignoring_reply(action))

    async def _propose_ignoring_reply(self, action: Action) -> None:
        command = Command(
            command_id='',
            seen_revision=self._machine.state.revision,
            author=self._settings.name,
            at_s=time.time(),
            action=action,
        )
        await self._propose(command)

    def _status(self) -> ReplicaStatus:
        by_name = {
            subscription.status.process: subscription.status
            for subscription in self._subscriptions
        }
        return ReplicaStatus(
            process=self._settings.name,
            zone=self._settings.zone,
            role='leader' if self._agreement.is_leader else 'follower',
            version=self._machine.state.accepted.version,
            confirmed_age_s=self.confirmed_age_s(),
            followers=tuple(by_name.values()),
            registered=tuple(sorted(self._machine.state.processes)),
        )
