"""Convert outcomes of requests to messages between replicas and back."""

from __future__ import annotations

from wigeonreach.agreement._pending_requests import (
    Applied,
    NotStored,
    OutcomeUnknown,
    ReadIndex,
    RequestOutcome,
)
from wigeonreach.codes import ResultCode
from wigeonreach.wire._raft_messages import (
    MemberId,
    ProposalReply,
    RaftMessage,
    ReadIndexReply,
)


def decode_outcome(message: ProposalReply | ReadIndexReply) -> RequestOutcome:
    """Return the outcome that a leader's reply carries."""
    if isinstance(message, ProposalReply):
        if message.code == ResultCode.OK:
            return Applied(message.reply)
        return OutcomeUnknown()
    if message.index < 0:
        return NotStored()
    return ReadIndex(message.index)


def encode_outcome(
    header: tuple[MemberId, int, int],
    request_id: int,
    outcome: RequestOutcome,
) -> RaftMessage:
    """Return the message that carries an outcome.

    Parameters
    ----------
    header
        Sender, incarnation of the receiver, and term.
    request_id
        Number of the request, assigned by the receiver.
    outcome
        Outcome of the request.
    """
    match outcome:
        case ReadIndex(index=index):
            return ReadIndexReply(*header, request_id, index)
        case Applied(reply=reply):
            return ProposalReply(*header, request_id, ResultCode.OK, '', reply)
        case NotStored():
            return ReadIndexReply(*header, request_id, -1)
        case _:
            code = ResultCode.STATE_NO_QUORUM
            return ProposalReply(*header, request_id, code, '', b'')
