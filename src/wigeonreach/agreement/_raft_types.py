"""Events, effects, records and settings of the Raft core."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from wigeonreach.wire._raft_messages import (
    LogEntry,
    MemberId,
    RaftMessage,
)


class Role(enum.StrEnum):
    """Roles of a replica; ``charts/replica.yaml`` defines the transitions."""

    LEARNER = 'learner'
    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class RoleEvent(enum.StrEnum):
    """Events that may change the role."""

    BECAME_VOTER = 'became_voter'
    LOST_VOTE = 'lost_vote'
    LEADER_HEARD = 'leader_heard'
    NEWER_TERM = 'newer_term'
    ELECTION_DUE = 'election_due'
    PRE_VOTE_WON = 'pre_vote_won'
    VOTE_WON = 'vote_won'
    QUORUM_LOST = 'quorum_lost'


class HardState(msgspec.Struct, frozen=True):
    """State that must be synced before a vote is requested or granted.

    ``incarnation`` identifies the disk.  ``may_found`` is False if the
    replica must not bootstrap a cluster, as its disk may replace a lost one.
    """

    incarnation: int
    may_found: bool = True
    term: int = 0
    vote: MemberId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """State machine after the entry at ``index``, and the voters then."""

    index: int
    term: int
    voters: tuple[MemberId, ...]
    state: bytes


class JournalBase(msgspec.Struct, frozen=True):
    """The entry before the first one of a journal, and the voters then."""

    index: int = 0
    term: int = 0
    voters: tuple[MemberId, ...] = ()


class RaftSettings(msgspec.Struct, frozen=True):
    """Timeouts and size limits of Raft.

    A voter that hears from no leader starts an election after a random time
    between ``election_min_s`` and twice that; a leader that hears from no
    quorum for ``election_min_s`` steps down.

    With a ``voter_target`` the membership is open: any replica may join, and
    the leader promotes learners that caught up until there are that many
    voters, or to replace a voter that was silent for ``replace_silent_s``.
    With 0, the configured replicas are the voters.  Replication to a learner
    that was silent for ``forget_learner_s`` stops until it asks to join again.
    """

    heartbeat_s: float = 0.15
    election_min_s: float = 0.75
    join_s: float = 0.25
    batch_bytes: int = 256 * 1024
    window_entries: int = 4096
    chunk_bytes: int = 128 * 1024
    trailing_entries: int = 1024
    voter_target: int = 0
    replace_silent_s: float = 2.5
    forget_learner_s: float = 8.0


class Write(msgspec.Struct, frozen=True):
    """A write to disk; writes are synced in the order of their numbers.

    ``last_index`` and ``last_term`` describe the last entry of the log when
    the write was issued.  A write with a ``snapshot`` also replaces the whole
    journal, with ``journal_base`` and the entries of ``journal``.
    """

    number: int
    last_index: int
    last_term: int
    commit_index: int = 0
    hard: HardState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    journal_base: JournalBase = JournalBase()
    journal: tuple[LogEntry, ...] = ()


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A message and the name of the replica to send it to."""

    target: str
    message: RaftMessage


class RequestOrigin(msgspec.Struct, frozen=True):
    """The replica that made a request, and its number for the request."""

    member: MemberId
    request_id: int


class AppendedProposal(msgspec.Struct, frozen=True):
    """A proposal that is in the leader's log, but not committed yet."""

    origin: RequestOrigin
    index: int
    term: int


class ReadReady(msgspec.Struct, frozen=True):
    """A read may be answered once ``index`` is applied."""

    origin: RequestOrigin
    index: int


@dataclasses.dataclass(slots=True)
class Output:
    """Effects of one step of the Raft core.

    ``restored`` is a snapshot received from the leader; the entries of
    ``committed`` are applied after it.
    """

    writes: list[Write] = dataclasses.field(default_factory=list)
    messages: list[OutgoingMessage] = dataclasses.field(default_factory=list)
    restored: Snapshot | None = None
    committed: list[LogEntry] = dataclasses.field(default_factory=list)
    accepted: list[AppendedProposal] = dataclasses.field(default_factory=list)
    refused: list[RequestOrigin] = dataclasses.field(default_factory=list)
    reads: list[ReadReady] = dataclasses.field(default_factory=list)


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class Received(msgspec.Struct, frozen=True):
    """A message from another replica arrived."""

    message: RaftMessage


class WritesSynced(msgspec.Struct, frozen=True):
    """All writes up to a number are synced."""

    number: int


class PeersDiscovered(msgspec.Struct, frozen=True):
    """Other replicas were discovered; one without a vote asks them to join."""

    names: tuple[str, ...]


class TransferLeadership(msgspec.Struct, frozen=True):
    """This replica will stop soon and should not stay the leader."""


class Propose(msgspec.Struct, frozen=True):
    """A client requests that a command is replicated."""

    origin: RequestOrigin
    command: bytes


class Read(msgspec.Struct, frozen=True):
    """A client requests to read everything acknowledged so far."""

    origin: RequestOrigin


class SnapshotTaken(msgspec.Struct, frozen=True):
    """The state machine took a snapshot after an applied index."""

    index: int
    state: bytes


RaftEvent = (
    Tick
    | Received
    | WritesSynced
    | TransferLeadership
    | PeersDiscovered
    | Propose
    | Read
    | SnapshotTaken
)
