"""Tell another replica what became of its request."""

from __future__ import annotations

from wigeonreach.agreement._requests import (
    Done,
    NotStored,
    Readable,
    RequestOutcome,
    Unknown,
)
from wigeonreach.codes import ResultCode
from wigeonreach.wire._raft_messages import (
    MemberId,
    ProposalReply,
    RaftMessage,
    ReadIndexReply,
)


def read_outcome(message: ProposalReply | ReadIndexReply) -> RequestOutcome:
    """Return the outcome that a leader tells."""
    if isinstance(message, ProposalReply):
        if message.code == ResultCode.OK:
            return Done(message.reply)
        return Unknown()
    if message.index < 0:
        return NotStored()
    return Readable(message.index)


def write_outcome(
    header: tuple[MemberId, int, int],
    request_id: int,
    outcome: RequestOutcome,
) -> RaftMessage:
    """Return the message that tells an outcome.

    Parameters
    ----------
    header
        Sender, incarnation of the receiver, and term.
    request_id
        The receiver's number of the request.
    outcome
        What became of it.
    """
    match outcome:
        case Readable(index=index):
            return ReadIndexReply(*header, request_id, index)
        case Done(reply=reply):
            return ProposalReply(*header, request_id, ResultCode.OK, '', reply)
        case NotStored():
            return ReadIndexReply(*header, request_id, -1)
        case _:
            code = ResultCode.STATE_NO_QUORUM
            return ProposalReply(*header, request_id, code, '', b'')
