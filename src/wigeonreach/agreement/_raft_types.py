"""Define what goes into and comes out of the agreement."""

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
    """Roles of a replica; the transitions are ``charts/replica.yaml``."""

    LEARNER = 'learner'
    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class RoleEvent(enum.StrEnum):
    """What changes a role."""

    BECAME_VOTER = 'became_voter'
    LOST_VOTE = 'lost_vote'
    LEADER_HEARD = 'leader_heard'
    NEWER_TERM = 'newer_term'
    ELECTION_DUE = 'election_due'
    PRE_VOTE_WON = 'pre_vote_won'
    VOTE_WON = 'vote_won'
    QUORUM_LOST = 'quorum_lost'


class HardState(msgspec.Struct, frozen=True):
    """What a replica must remember before it answers."""

    incarnation: int
    may_found: bool = True
    term: int = 0
    vote: MemberId | None = None


class Snapshot(msgspec.Struct, frozen=True):
    """The state machine's state after an index, and who votes then."""

    index: int
    term: int
    voters: tuple[MemberId, ...]
    state: bytes


class JournalBase(msgspec.Struct, frozen=True):
    """Where a journal begins, and who votes there."""

    index: int = 0
    term: int = 0
    voters: tuple[MemberId, ...] = ()


class RaftSettings(msgspec.Struct, frozen=True):
    """Times and sizes of the agreement.

    A voter that hears of no leader campaigns after ``election_min_s`` to
    twice as long; a leader that hears of no quorum for ``election_min_s``
    steps down.

    With a ``voter_target`` the membership is open: any replica may join, and
    the leader makes voters of those that are caught up until there are so
    many, or in place of a voter that was silent for ``replace_silent_s``.
    Without one, the configured replicas are the voters.  A replica without a
    vote that was silent for ``forget_learner_s`` is sent nothing more before
    it asks to join again.
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
    """What must be synced, in the order in which writes were issued.

    ``journal`` replaces the whole journal behind ``journal_base``; it comes
    with ``snapshot``.
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


class Outgoing(msgspec.Struct, frozen=True):
    """A message and the name of the replica it goes to."""

    target: str
    message: RaftMessage


class Origin(msgspec.Struct, frozen=True):
    """Who waits for a proposal or a read."""

    member: MemberId
    request_id: int


class Accepted(msgspec.Struct, frozen=True):
    """A proposal stands in the leader's log, not committed yet."""

    origin: Origin
    index: int
    term: int


class ReadReady(msgspec.Struct, frozen=True):
    """A read may be answered once ``index`` is applied."""

    origin: Origin
    index: int


@dataclasses.dataclass(slots=True)
class Output:
    """Effects of one step, in the order in which they are carried out."""

    writes: list[Write] = dataclasses.field(default_factory=list)
    messages: list[Outgoing] = dataclasses.field(default_factory=list)
    restored: Snapshot | None = None
    committed: list[LogEntry] = dataclasses.field(default_factory=list)
    accepted: list[Accepted] = dataclasses.field(default_factory=list)
    refused: list[Origin] = dataclasses.field(default_factory=list)
    reads: list[ReadReady] = dataclasses.field(default_factory=list)


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class Received(msgspec.Struct, frozen=True):
    """A message of another replica arrived."""

    message: RaftMessage


class DiskDone(msgspec.Struct, frozen=True):
    """All writes up to this number are synced."""

    number: int


class PeersKnown(msgspec.Struct, frozen=True):
    """Other replicas were heard of; a replica without a vote asks them."""

    names: tuple[str, ...]


class HandOver(msgspec.Struct, frozen=True):
    """This replica ends soon and should not lead any more."""


class Propose(msgspec.Struct, frozen=True):
    """Somebody wants a command replicated."""

    origin: Origin
    command: bytes


class Read(msgspec.Struct, frozen=True):
    """Somebody wants to read what was acknowledged so far."""

    origin: Origin


class SnapshotTaken(msgspec.Struct, frozen=True):
    """The state machine's state after an applied index."""

    index: int
    state: bytes


RaftEvent = (
    Tick
    | Received
    | DiskDone
    | HandOver
    | PeersKnown
    | Propose
    | Read
    | SnapshotTaken
)
