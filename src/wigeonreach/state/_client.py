"""Client of the replicated state: submits commands and reads records."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError, WireError
from wigeonreach.wire import Member, Message, connect
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._command_messages import Action, Command, Reply
from wigeonreach.wire._state_messages import (
    Answered,
    Ask,
    Question,
    ReadLease,
    Submit,
    Submitted,
)

_REPLY_TIMEOUT_S = 3.0
_RETRY_S = 0.1
_DEFAULT_GIVE_UP_S = 8.0
# Far less than the time in which so many commands are applied that the results
# since this revision are dropped (see ``Limits.result_age``).
_REVISION_MAX_AGE_S = 30.0
_Answer = TypeVar('_Answer', bound=WireMessage)
_Envelope = TypeVar('_Envelope', Submitted, Answered)
_REPLY_DECODER = msgspec.msgpack.Decoder(Reply)


class StateAccess(Protocol):
    """Access to the replicated state, for managers and operators."""

    async def submit(
        self,
        action: Action,
        command_id: str | None = None,
    ) -> Reply:
        """Execute an action once; the reply's code tells if it was refused."""

    async def read(
        self,
        question: Question,
        answer_type: type[_Answer],
        *,
        is_local: bool = False,
    ) -> _Answer:
        """Read records, after a quorum round unless ``is_local``."""


class StateClient:
    """Client of the replicas; resends a command until its reply is known.

    Parameters
    ----------
    author
        Name under which commands are recorded.
    replicas
        Replicas to contact, tried in this order.
    now_s
        Clock that stamps commands, Unix time in seconds.
    give_up_s
        Total time in seconds after which a request fails.
    """

    def __init__(
        self,
        author: str,
        replicas: Sequence[Member],
        now_s: Callable[[], float] = time.time,
        give_up_s: float = _DEFAULT_GIVE_UP_S,
    ) -> None:
        """Create a client; connections are opened for each request."""
        self._author = author
        self._replicas = tuple(replicas)
        self._now_s = now_s
        self._give_up_s = give_up_s
        self._revision = 0
        self._revision_read_s = float('-inf')

    async def submit(
        self,
        action: Action,
        command_id: str | None = None,
    ) -> Reply:
        """Execute an action once.

        Parameters
        ----------
        action
            The action.
        command_id
            Id of the command; pass the id of an earlier command to resend
            it.  A new id is generated if it is left out.

        Returns
        -------
        Reply
            The outcome; its code tells whether the action was refused.

        Raises
        ------
        StateError
            If no replica replied in time; the action may or may not have
            been executed.
        """
        await self._refresh_revision()
        command = Command(
            command_id=command_id or uuid.uuid4().hex,
            seen_revision=self._revision,
            author=self._author,
            at_s=self._now_s(),
            action=action,
        )
        return await self.send(command)

    async def send(self, command: Command) -> Reply:
        """Send an unchanged command repeatedly until its reply arrives.

        Raises
        ------
        StateError
            If no replica replied in time; the command may or may not have
            been executed.
        """
        submit = Submit(msgspec.msgpack.encode(command))
        submitted = await self._request_until_answered(submit, Submitted)
        reply = _REPLY_DECODER.decode(submitted.reply)
        self._note_revision(reply.revision)
        return reply

    async def read(
        self,
        question: Question,
        answer_type: type[_Answer],
        *,
        is_local: bool = False,
    ) -> _Answer:
        """Read records.

        Parameters
        ----------
        question
            The records to read.
        answer_type
            Type of the answer.
        is_local
            Whether a replica may answer without confirming with a quorum
            that its state is current.

        Returns
        -------
        WireMessage
            The answer.

        Raises
        ------
        StateError
            If no replica answered in time.
        """
        answered = await self._request_until_answered(
            Ask(question, is_local), Answered
        )
        self._note_revision(answered.revision)
        if isinstance(answered.answer, answer_type):
            return answered.answer
        raise StateError(ResultCode.WIRE_MALFORMED, repr(answered.answer))

    async def _refresh_revision(self) -> None:
        age_s = self._now_s() - self._revision_read_s
        if age_s > _REVISION_MAX_AGE_S:
            # The cheapest question; only the revision in its answer is used.
            question = Ask(ReadLease(''))
            answered = await self._request_until_answered(question, Answered)
            self._note_revision(answered.revision)

    def _note_revision(self, revision: int) -> None:
        self._revision = max(self._revision, revision)
        self._revision_read_s = self._now_s()

    async def _request_until_answered(
        self,
        message: WireMessage,
        reply_type: type[_Envelope],
    ) -> _Envelope:
        deadline_s = time.monotonic() + self._give_up_s
        reason = 'no replica is known'
        while time.monotonic() < deadline_s:
            for replica in self._replicas:
                try:
                    return await _request_once(replica, message, reply_type)
                except (StateError, WireError) as error:
                    reason = f'{replica.name}: {error.detail}'
            await asyncio.sleep(_RETRY_S)
        raise StateError(ResultCode.STATE_NO_QUORUM, reason)


async def _request_once(
    replica: Member,
    message: WireMessage,
    reply_type: type[_Envelope],
) -> _Envelope:
    channel = await connect(replica.address)
    try:
        reply: Message = await channel.request(message, _REPLY_TIMEOUT_S)
    finally:
        await channel.close()
    if not isinstance(reply, reply_type):
        raise WireError(ResultCode.WIRE_MALFORMED, type(reply).__name__)
    if reply.code:
        raise StateError(ResultCode(reply.code), reply.detail)
    return reply
