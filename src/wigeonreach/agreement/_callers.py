"""Pass requests to the leader, wherever they come from, and answers back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonreach.agreement._outcomes import read_outcome, write_outcome
from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import (
    Origin,
    Output,
    Propose,
    RaftEvent,
    Read,
)
from wigeonreach.agreement._requests import (
    Done,
    NotStored,
    Readable,
    RequestOutcome,
    Requests,
    Unknown,
)
from wigeonreach.wire._raft_messages import (
    LogEntry,
    MemberId,
    Proposal,
    ProposalReply,
    RaftMessage,
    ReadIndexReply,
    ReadRequest,
)

_Outcomes = tuple[type[RequestOutcome], ...]
_NOT_STORED: _Outcomes = (NotStored,)
_NOT_KNOWN: _Outcomes = (NotStored, Unknown)
_RETRY_S = 0.05
_REPLY_TIMEOUT_S = 2.5
_MAX_STORED = 4096


class Callers:
    """Whoever waits for a proposal or a read, here or on other replicas.

    Parameters
    ----------
    state
        What this replica knows of the agreement; it is only read.
    post_event
        Hands an event to the agreement.
    post_message
        Sends a message to the replica of a name.
    """

    def __init__(
        self,
        state: RaftState,
        post_event: Callable[[RaftEvent], None],
        post_message: Callable[[str, RaftMessage], None],
    ) -> None:
        """Begin with nobody waiting."""
        self._state = state
        self._post_event = post_event
        self._post_message = post_message
        self._requests = Requests()

    async def propose(self, command: bytes) -> RequestOutcome:
        """Have a command stored, and wait until it is applied."""
        return await self._request(
            lambda number: self._ask_to_store(number, command),
            _NOT_STORED,
        )

    async def read(self) -> RequestOutcome:
        """Learn how far a read must be.

        It may be asked again, whatever became of the first one.
        """
        return await self._request(self._ask_to_read, _NOT_KNOWN)

    def receive(self, message: RaftMessage) -> bool:
        """Take a message that is for callers; tell whether it was one."""
        is_for_me = message.target_incarnation == self._state.me.incarnation
        match message:
            case Proposal() | ReadRequest():
                if is_for_me:
                    self._receive_request(message)
            case ProposalReply() | ReadIndexReply():
                if is_for_me:
                    outcome = read_outcome(message)
                    self._requests.settle(message.request_id, outcome)
            case _:
                return False
        return True

    def note_output(self, output: Output) -> None:
        """Take in what a step of the agreement tells about requests."""
        for accepted in output.accepted:
            self._requests.note_stored(accepted)
        for origin in output.refused:
            self._answer(origin, NotStored())
        for read in output.reads:
            self._answer(read.origin, Readable(read.index))

    def note_applied(self, entry: LogEntry, reply: bytes) -> None:
        """Answer whoever proposed an entry, if that is known here."""
        origin = self._requests.take_applied(entry.index, entry.term)
        if origin is not None:
            self._answer(origin, Done(reply))

    def note_other_leader(self) -> None:
        """Tell all that wait that the former leader's answer is lost."""
        self._requests.settle_all(Unknown())
        for origin in self._requests.take_all_stored():
            self._answer(origin, Unknown())

    async def _request(
        self,
        ask: Callable[[int], None],
        retried: _Outcomes,
    ) -> RequestOutcome:
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                return await self._ask_until(ask, retried)
        except TimeoutError:
            return Unknown()

    async def _ask_until(
        self,
        ask: Callable[[int], None],
        retried: _Outcomes,
    ) -> RequestOutcome:
        while True:
            outcome = await self._ask_once(ask)
            if not isinstance(outcome, retried):
                return outcome
            await asyncio.sleep(_RETRY_S)

    async def _ask_once(self, ask: Callable[[int], None]) -> RequestOutcome:
        is_full = self._requests.stored_count >= _MAX_STORED
        if self._state.leader is None or is_full:
            return NotStored()
        number, future = self._requests.open()
        ask(number)
        return await future

    def _ask_to_store(self, number: int, command: bytes) -> None:
        self._to_leader(
            Propose(Origin(self._state.me, number), command),
            Proposal(*self._header(), number, command),
        )

    def _ask_to_read(self, number: int) -> None:
        self._to_leader(
            Read(Origin(self._state.me, number)),
            ReadRequest(*self._header(), number),
        )

    def _to_leader(self, event: RaftEvent, message: RaftMessage) -> None:
        leader = self._state.leader
        assert leader is not None
        if leader == self._state.me:
            self._post_event(event)
        else:
            self._post_message(leader.name, message)

    def _header(
        self,
        target: MemberId | None = None,
    ) -> tuple[MemberId, int, int]:
        state = self._state
        receiver = target or state.leader or state.me
        return state.me, receiver.incarnation, state.hard.term

    def _receive_request(self, message: Proposal | ReadRequest) -> None:
        origin = Origin(message.sender, message.request_id)
        if isinstance(message, ReadRequest):
            self._post_event(Read(origin))
        elif self._requests.stored_count < _MAX_STORED:
            self._post_event(Propose(origin, message.command))
        else:
            self._answer(origin, NotStored())

    def _answer(self, origin: Origin, outcome: RequestOutcome) -> None:
        if origin.member == self._state.me:
            self._requests.settle(origin.request_id, outcome)
            return
        header = self._header(origin.member)
        message = write_outcome(header, origin.request_id, outcome)
        self._post_message(origin.member.name, message)
