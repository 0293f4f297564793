"""Route proposals and reads to the leader, and their outcomes back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonreach.agreement._outcomes import decode_outcome, encode_outcome
from wigeonreach.agreement._pending_requests import (
    Applied,
    NotStored,
    OutcomeUnknown,
    PendingRequests,
    ReadIndex,
    RequestOutcome,
)
from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import (
    Output,
    Propose,
    RaftEvent,
    Read,
    RequestOrigin,
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

_OutcomeTypes = tuple[type[RequestOutcome], ...]
_RETRIED_PROPOSAL_OUTCOMES: _OutcomeTypes = (NotStored,)
_RETRIED_READ_OUTCOMES: _OutcomeTypes = (NotStored, OutcomeUnknown)
_RETRY_S = 0.05
_REPLY_TIMEOUT_S = 2.5
_MAX_PENDING_PROPOSALS = 4096


class RequestRouter:
    """Routes requests of this replica and, on the leader, of other replicas.

    Parameters
    ----------
    state
        Raft state of this replica; it is only read.
    post_event
        Queues an event for the Raft core.
    post_message
        Sends a message to the replica with a name.
    """

    def __init__(
        self,
        state: RaftState,
        post_event: Callable[[RaftEvent], None],
        post_message: Callable[[str, RaftMessage], None],
    ) -> None:
        """Start without pending requests."""
        self._state = state
        self._post_event = post_event
        self._post_message = post_message
        self._pending = PendingRequests()

    async def propose(self, command: bytes) -> RequestOutcome:
        """Propose a command and wait until it is applied.

        Retried only if it was certainly not stored, so that it is not applied
        twice.
        """
        return await self._request(
            lambda number: self._send_proposal(number, command),
            _RETRIED_PROPOSAL_OUTCOMES,
        )

    async def read(self) -> RequestOutcome:
        """Get the index that must be applied before a read.

        Reads change nothing, so they are retried whatever the outcome.
        """
        return await self._request(self._send_read, _RETRIED_READ_OUTCOMES)

    def receive(self, message: RaftMessage) -> bool:
        """Handle a request or a reply; return False for other messages."""
        is_for_me = message.target_incarnation == self._state.me.incarnation
        match message:
            case Proposal() | ReadRequest():
                if is_for_me:
                    self._receive_request(message)
            case ProposalReply() | ReadIndexReply():
                if is_for_me:
                    outcome = decode_outcome(message)
                    self._pending.resolve(message.request_id, outcome)
            case _:
                return False
        return True

    def handle_output(self, output: Output) -> None:
        """Track accepted proposals; answer refused requests and ready reads."""
        for accepted in output.accepted:
            self._pending.track_proposal(accepted)
        for origin in output.refused:
            self._reply(origin, NotStored())
        for read in output.reads:
            self._reply(read.origin, ReadIndex(read.index))

    def handle_applied(self, entry: LogEntry, reply: bytes) -> None:
        """Answer the proposer of an applied entry, if it is known here."""
        origin = self._pending.pop_proposal(entry.index, entry.term)
        if origin is not None:
            self._reply(origin, Applied(reply))

    def handle_leader_change(self) -> None:
        """End all pending requests, as the former leader may never answer."""
        self._pending.resolve_all(OutcomeUnknown())
        for origin in self._pending.pop_all_proposals():
            self._reply(origin, OutcomeUnknown())

    async def _request(
        self,
        send: Callable[[int], None],
        retried: _OutcomeTypes,
    ) -> RequestOutcome:
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                return await self._send_until_final(send, retried)
        except TimeoutError:
            return OutcomeUnknown()

    async def _send_until_final(
        self,
        send: Callable[[int], None],
        retried: _OutcomeTypes,
    ) -> RequestOutcome:
        while True:
            outcome = await self._send_once(send)
            if not isinstance(outcome, retried):
                return outcome
            await asyncio.sleep(_RETRY_S)

    async def _send_once(self, send: Callable[[int], None]) -> RequestOutcome:
        is_full = self._pending.proposal_count >= _MAX_PENDING_PROPOSALS
        if self._state.leader is None or is_full:
            return NotStored()
        number, future = self._pending.create()
        send(number)
        return await future

    def _send_proposal(self, number: int, command: bytes) -> None:
        self._send_to_leader(
            Propose(RequestOrigin(self._state.me, number), command),
            Proposal(*self._header(), number, command),
        )

    def _send_read(self, number: int) -> None:
        self._send_to_leader(
            Read(RequestOrigin(self._state.me, number)),
            ReadRequest(*self._header(), number),
        )

    def _send_to_leader(self, event: RaftEvent, message: RaftMessage) -> None:
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
        return state.me, receiver.incarnation, state.hard_state.term

    def _receive_request(self, message: Proposal | ReadRequest) -> None:
        origin = RequestOrigin(message.sender, message.request_id)
        if isinstance(message, ReadRequest):
            self._post_event(Read(origin))
        elif self._pending.proposal_count < _MAX_PENDING_PROPOSALS:
            self._post_event(Propose(origin, message.command))
        else:
            self._reply(origin, NotStored())

    def _reply(self, origin: RequestOrigin, outcome: RequestOutcome) -> None:
        if origin.member == self._state.me:
            self._pending.resolve(origin.request_id, outcome)
            return
        header = self._header(origin.member)
        message = encode_outcome(header, origin.request_id, outcome)
        self._post_message(origin.member.name, message)
