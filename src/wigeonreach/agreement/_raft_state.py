"""Raft state of one replica, and the operations that several roles share."""

from __future__ import annotations

import dataclasses
import random

import msgspec

from wigeonreach.agreement._raft_log import RaftLog
from wigeonreach.agreement._raft_types import (
    HardState,
    JournalBase,
    OutgoingMessage,
    Output,
    RaftSettings,
    RequestOrigin,
    Role,
    RoleEvent,
    Snapshot,
    Write,
)
from wigeonreach.charts import load_chart
from wigeonreach.wire._raft_messages import (
    EntryKind,
    LogEntry,
    MemberId,
    RaftMessage,
)

_COMMIT_RECORD_INTERVAL_S = 1.0
_VOTING_ROLES = frozenset(Role) - {Role.LEARNER}


@dataclasses.dataclass(slots=True)
class Progress:
    """A leader's view of the synced log of another replica.

    ``encoded_snapshot`` is the snapshot that is being sent to it, if any.
    ``catch_up_index`` is the end of the log when the learner's current
    catch-up round began; the learner has caught up if its last complete round
    took at most ``election_min_s``.  While ``is_probing``, the last index at
    which both logs match is not known, and messages carry no entries: each
    batch would be rejected, and would move ``next_index`` up again.
    """

    next_index: int
    last_heard_s: float
    match_index: int = 0
    heartbeat_round: int = 0
    encoded_snapshot: bytes | None = None
    snapshot_index: int = 0
    sent_offset_bytes: int = 0
    catch_up_index: int = 0
    catch_up_started_s: float = 0.0
    is_caught_up: bool = False
    is_probing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a quorum confirms the leader."""

    origin: RequestOrigin
    index: int
    heartbeat_round: int


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    index: int
    term: int
    chunks: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True)
class UnsyncedWrite:
    """A write that is not synced yet, and the messages that wait for it."""

    write: Write
    waiting: list[OutgoingMessage] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class LeaderState:
    """State that only a leader has; created anew for each term it leads.

    ``first_index`` is the index of the first entry of the term.
    """

    first_index: int
    progress: dict[MemberId, Progress]
    heartbeat_due_s: float = 0.0
    heartbeat_round: int = 0
    deferred_reads: list[RequestOrigin] = dataclasses.field(
        default_factory=list
    )
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class RaftState:
    """Raft state of one replica.

    The log is known to match that of the current leader up to
    ``verified_index``, and to be synced to disk up to ``synced_index``.
    ``output`` collects the effects of the current step.
    """

    replica_names: tuple[str, ...]
    name: str
    settings: RaftSettings
    rng: random.Random
    hard_state: HardState
    log: RaftLog
    snapshot: Snapshot | None = None
    now_s: float = 0.0
    role: Role = Role.LEARNER
    leader: MemberId | None = None
    commit_index: int = 0
    applied_index: int = 0
    synced_index: int = 0
    verified_index: int = 0
    last_heard_leader_s: float = float('-inf')
    election_due_s: float = 0.0
    join_due_s: float = 0.0
    votes: set[MemberId] = dataclasses.field(default_factory=set)
    leader_state: LeaderState | None = None
    incoming_snapshot: IncomingSnapshot | None = None
    joining_members: dict[str, MemberId] = dataclasses.field(
        default_factory=dict
    )
    blank_members: set[MemberId] = dataclasses.field(default_factory=set)
    known_peers: tuple[str, ...] = ()
    unsynced: dict[int, UnsyncedWrite] = dataclasses.field(default_factory=dict)
    last_write_number: int = 0
    stored_commit_index: int = 0
    commit_record_due_s: float = 0.0
    output: Output = dataclasses.field(default_factory=Output)

    @property
    def me(self) -> MemberId:
        """Id of this replica, which includes that of its disk."""
        return MemberId(self.name, self.hard_state.incarnation)

    @property
    def is_voter(self) -> bool:
        """Whether this replica has a vote."""
        return self.me in self.log.voters

    @property
    def is_blank(self) -> bool:
        """Whether this replica has never been part of a cluster."""
        is_new = self.hard_state.may_found and self.hard_state.term == 0
        return is_new and self.log.last_index == 0

    def quorum_size(self) -> int:
        """Return the number of voters that make a majority."""
        return len(self.log.voters) // 2 + 1

    def is_quorum(self, members: set[MemberId]) -> bool:
        """Whether these members include a majority of the voters."""
        agreeing = members.intersection(self.log.voters)
        return bool(self.log.voters) and len(agreeing) >= self.quorum_size()

    def change_role(self, event: RoleEvent) -> bool:
        """Apply an event to the role's state chart.

        Returns
        -------
        bool
            False if the event has no effect in the current role.
        """
        new_role = load_chart('replica').step(self.role.value, event.value)
        if new_role is None:
            return False
        self.role = Role(new_role)
        if self.role is not Role.LEADER:
            self.leader_state = None
        return True

    def update_voter_role(self) -> None:
        """Become a voter or a learner, according to the newest voters."""
        if self.is_voter and self.role not in _VOTING_ROLES:
            self.change_role(RoleEvent.BECAME_VOTER)
            self.reset_election_timer()
        elif not self.is_voter and self.role in _VOTING_ROLES:
            self.change_role(RoleEvent.LOST_VOTE)

    def reset_election_timer(self) -> None:
        """Restart the election timer with a random timeout."""
        spread = 1 + self.rng.random()
        self.election_due_s = self.now_s + spread * self.settings.election_min_s

    def set_short_election_timer(self) -> None:
        """Restart the election timer with a shorter random timeout.

        Used when there may be no leader: after a start, and when an election
        begins, in case the vote is split.  A live leader is heard well before
        this timeout; without one there is no reason to wait longer.  The
        pre-vote shows whether the other voters have a leader.
        """
        spread = self.settings.heartbeat_s * 2 + self.rng.random() * (
            self.settings.election_min_s - self.settings.heartbeat_s
        )
        self.election_due_s = self.now_s + spread

    def send(self, target: MemberId, message: RaftMessage) -> None:
        """Send a message at once."""
        self.output.messages.append(OutgoingMessage(target.name, message))

    def send_synced(self, target: MemberId, message: RaftMessage) -> None:
        """Send a message once everything written so far is synced."""
        outgoing = OutgoingMessage(target.name, message)
        if self.unsynced:
            self.unsynced[self.last_write_number].waiting.append(outgoing)
        else:
            self.output.messages.append(outgoing)

    def write(
        self,
        hard: HardState | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Issue a write of the given parts and the current commit index."""
        self.last_write_number += 1
        self.stored_commit_index = self.commit_index
        self.commit_record_due_s = self.now_s + _COMMIT_RECORD_INTERVAL_S
        write = Write(
            number=self.last_write_number,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            commit_index=self.commit_index,
            hard=hard,
            entries=entries,
            snapshot=snapshot,
        )
        if snapshot is not None:
            write = msgspec.structs.replace(
                write,
                journal_base=JournalBase(
                    self.log.base_index,
                    self.log.base_term,
                    self.log.base_voters,
                ),
                journal=tuple(self.log.entries),
            )
        self.unsynced[write.number] = UnsyncedWrite(write)
        self.output.writes.append(write)

    def append(self, kind: EntryKind, command: bytes) -> LogEntry:
        """Append an entry of the current term to the log and store it."""
        index = self.log.last_index + 1
        entry = LogEntry(index, self.hard_state.term, kind, command)
        self.log.store((entry,))
        self.write(entries=(entry,))
        return entry

    def release_synced(self, number: int) -> list[OutgoingMessage]:
        """Mark writes up to a number as synced.

        Returns
        -------
        list of OutgoingMessage
            The messages that waited for these writes.
        """
        released: list[OutgoingMessage] = []
        done = [key for key in self.unsynced if key <= number]
        for key in done:
            synced = self.unsynced.pop(key)
            released.extend(synced.waiting)
            self._advance_synced_index(synced.write)
        # A later, unsynced write may replace entries that are now synced.
        for later in self.unsynced.values():
            if later.write.entries:
                replaced = later.write.entries[0].index
                self.synced_index = min(self.synced_index, replaced - 1)
        return released

    def store_commit_index_if_due(self) -> None:
        """Store the commit index if it grew and a write is due.

        A replica that restarts without a leader can then apply the log up to
        this index.
        """
        is_due = self.now_s >= self.commit_record_due_s and not self.unsynced
        if is_due and self.commit_index > self.stored_commit_index:
            self.write()

    def _advance_synced_index(self, write: Write) -> None:
        if self.log.term_at(write.last_index) == write.last_term:
            self.synced_index = max(self.synced_index, write.last_index)

    def write_hard_state(self, term: int, vote: MemberId | None) -> None:
        """Set the term and the vote, and store them."""
        self.hard_state = msgspec.structs.replace(
            self.hard_state, term=term, vote=vote
        )
        self.write(hard=self.hard_state)

    def observe_term(self, term: int) -> None:
        """Adopt a term if it is newer, and then stop leading or campaigning."""
        if term > self.hard_state.term:
            self.write_hard_state(term, None)
            self.verified_index = 0
            self.leader = None
            if self.change_role(RoleEvent.NEWER_TERM):
                self.reset_election_timer()
