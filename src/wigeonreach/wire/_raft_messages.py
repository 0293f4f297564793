"""Messages by which the replicas agree."""

from __future__ import annotations

import enum
from typing import TypeAlias

import msgspec

from wigeonreach.wire._base import WireMessage


class MemberId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One replica with one disk.

    The incarnation is drawn when a data folder is created.  A replica that
    lost its disk comes back under its name with another incarnation, and
    nobody takes it for the one that voted and stored before.
    """

    name: str
    incarnation: int


class EntryKind(enum.IntEnum):
    """What an entry of the log is for."""

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

    ``target_incarnation`` is the disk that the sender means; a replica drops
    what was meant for a disk that it no longer has.
    """

    sender: MemberId
    target_incarnation: int
    term: int


class LinkProbe(WireMessage, frozen=True):
    """Ask a replica whether it still hears this connection."""


class LinkEcho(WireMessage, frozen=True):
    """Answer a probe on the connection on which it came."""


class VoteRequest(RaftMessage, frozen=True):
    """Ask for a vote, or whether one would be given (``is_trial``)."""

    is_trial: bool
    last_index: int
    last_term: int


class VoteReply(RaftMessage, frozen=True):
    """Give or refuse a vote; ``term`` is the request's if it is given."""

    is_trial: bool
    is_granted: bool


class AppendEntries(RaftMessage, frozen=True):
    """Entries that follow ``previous_index``; none in a heartbeat."""

    previous_index: int
    previous_term: int
    commit_index: int
    heartbeat_round: int
    entries: tuple[LogEntry, ...]


class AppendReply(RaftMessage, frozen=True):
    """How far the sender's synced log agrees with the leader's.

    If it does not accept, ``match_index`` is where the leader may try next.
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
    """Ask for the chunk at an offset."""

    index: int
    offset_bytes: int


class Join(RaftMessage, frozen=True):
    """A replica without a vote asks to be counted again.

    ``target_incarnation`` is the last one heard of, or 0.
    """

    is_blank: bool


class LeadNow(RaftMessage, frozen=True):
    """A leader that ends asks a replica to be elected at once."""


class ReadRequest(RaftMessage, frozen=True):
    """Ask the leader how far a read must have applied."""

    request_id: int


class ReadIndexReply(RaftMessage, frozen=True):
    """A read that asked may be answered once this index is applied."""

    request_id: int
    index: int


class Proposal(RaftMessage, frozen=True):
    """Ask the leader to replicate a command."""

    request_id: int
    command: bytes


class ProposalReply(RaftMessage, frozen=True):
    """The state machine's reply, or that the outcome is not known."""

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
