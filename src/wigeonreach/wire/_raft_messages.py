"""Messages of the Raft protocol between replicas."""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from wigeonreach.wire._base import WireMessage


class MemberId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identity of a replica together with its data folder.

    The incarnation is drawn at random when a data folder is created.  A
    replica that lost its disk returns under the same name with another
    incarnation, so that it isn't mistaken for the one that had voted and
    stored entries.
    """

    name: str
    incarnation: int


class EntryKind(enum.IntEnum):
    """Kind of a log entry."""

    COMMAND = 0
    EMPTY = 1
    VOTERS = 2


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    command: bytes


class RaftMessage(WireMessage, frozen=True):
    """Base of the messages between replicas.

    ``target_incarnation`` is the incarnation that the message is addressed
    to; a replica drops messages addressed to an incarnation other than its
    own, except a ``Join`` addressed to 0.
    """

    sender: MemberId
    target_incarnation: int
    term: int


class LinkProbe(WireMessage, frozen=True):
    """Check that a replica still reads from this connection."""


class LinkEcho(WireMessage, frozen=True):
    """Reply to a ``LinkProbe``, sent on the connection that it arrived on."""


class VoteRequest(RaftMessage, frozen=True):
    """Request a vote, or a pre-vote if ``is_trial`` is set."""

    is_trial: bool
    last_index: int
    last_term: int


class VoteReply(RaftMessage, frozen=True):
    """Grant or refuse a vote; if granted, ``term`` is that of the request."""

    is_trial: bool
    is_granted: bool


class AppendEntries(RaftMessage, frozen=True):
    """Replicate the entries after ``previous_index``; empty as a heartbeat."""

    previous_index: int
    previous_term: int
    commit_index: int
    heartbeat_round: int
    entries: tuple[LogEntry, ...]


class AppendReply(RaftMessage, frozen=True):
    """Report up to where the sender's synced log matches the leader's.

    If the entries were rejected, ``match_index`` is the last index at which
    the logs may still match; the leader retries from there.
    """

    is_accepted: bool
    match_index: int
    heartbeat_round: int


class SnapshotChunk(RaftMessage, frozen=True):
    """A part of an encoded snapshot."""

    index: int
    offset_bytes: int
    total_bytes: int
    checksum: int
    payload: bytes


class SnapshotReply(RaftMessage, frozen=True):
    """Request the snapshot chunk at an offset."""

    index: int
    offset_bytes: int


class Join(RaftMessage, frozen=True):
    """Request of a non-voting replica to become a voter.

    ``target_incarnation`` is the newest known incarnation of the receiver, or
    0.  ``is_blank`` is set if the sender never took part in the cluster.
    """

    is_blank: bool


class LeadNow(RaftMessage, frozen=True):
    """Ask a replica to start an election at once (leadership transfer).

    Sent by a leader that is shutting down.
    """


class ReadRequest(RaftMessage, frozen=True):
    """Ask the leader for the read index of a linearizable read."""

    request_id: int


class ReadIndexReply(RaftMessage, frozen=True):
    """Return the index that must be applied before the read is answered.

    ``index`` is negative if the request was refused.  The reply to a refused
    ``Proposal`` is such a message, too.
    """

    request_id: int
    index: int


class Proposal(RaftMessage, frozen=True):
    """Ask the leader to replicate a command."""

    request_id: int
    command: bytes


class ProposalReply(RaftMessage, frozen=True):
    """The state machine's reply; ``code`` isn't 0 if the outcome is unknown."""

    request_id: int
    code: int
    detail: str
    reply: bytes


AnyRaftMessage: TypeAlias = (
    AppendEntries
    | AppendReply
    | Join
    | LeadNow
    | LinkEcho
    | LinkProbe
    | Proposal
    | ProposalReply
    | ReadIndexReply
    | ReadRequest
    | SnapshotChunk
    | SnapshotReply
    | VoteReply
    | VoteRequest
)
