"""Hold what one replica knows of the agreement."""

from __future__ import annotations

import dataclasses
import random

import msgspec

from wigeonreach.agreement._raft_log import RaftLog
from wigeonreach.agreement._raft_types import (
    HardState,
    JournalBase,
    Origin,
    Outgoing,
    Output,
    RaftSettings,
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

_MARK_S = 1.0
_VOTING_ROLES = frozenset(Role) - {Role.LEARNER}


@dataclasses.dataclass(slots=True)
class Progress:
    """What a leader knows of another replica, by its synced log.

    ``transfer`` is the snapshot under way to it, if one is.  A learner is
    caught up once it reached ``goal_index``, the end of the log when the
    present round of catching up began, quickly enough.  While ``is_searching``
    it is not known where the two logs part, and no entries are sent: each
    would be refused, and move ``next_index`` up again.
    """

    next_index: int
    heard_s: float
    match_index: int = 0
    heartbeat_round: int = 0
    transfer: bytes | None = None
    transfer_index: int = 0
    sent_offset_bytes: int = 0
    goal_index: int = 0
    goal_since_s: float = 0.0
    is_caught_up: bool = False
    is_searching: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits until a quorum confirmed the leader."""

    origin: Origin
    index: int
    heartbeat_round: int


@dataclasses.dataclass(slots=True)
class Incoming:
    """A snapshot of which some chunks arrived."""

    index: int
    term: int
    chunks: bytearray = dataclasses.field(default_factory=bytearray)


@dataclasses.dataclass(slots=True)
class Unsynced:
    """A write under way and the messages that wait for it."""

    write: Write
    waiting: list[Outgoing] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class LeaderState:
    """What only a leader needs; drawn up anew in each of its terms."""

    first_index: int
    progress: dict[MemberId, Progress]
    heartbeat_due_s: float = 0.0
    heartbeat_round: int = 0
    early_reads: list[Origin] = dataclasses.field(default_factory=list)
    reads: list[PendingRead] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class RaftState:
    """One replica's view; ``output`` gathers the effects of a step."""

    names: tuple[str, ...]
    name: str
    settings: RaftSettings
    rng: random.Random
    hard: HardState
    log: RaftLog
    snapshot: Snapshot | None = None
    now_s: float = 0.0
    role: Role = Role.LEARNER
    leader: MemberId | None = None
    commit_index: int = 0
    applied_index: int = 0
    synced_index: int = 0
    verified_index: int = 0
    heard_leader_s: float = float('-inf')
    election_due_s: float = 0.0
    join_due_s: float = 0.0
    votes: set[MemberId] = dataclasses.field(default_factory=set)
    leading: LeaderState | None = None
    incoming: Incoming | None = None
    joins: dict[str, MemberId] = dataclasses.field(default_factory=dict)
    blank_joins: set[MemberId] = dataclasses.field(default_factory=set)
    contacts: tuple[str, ...] = ()
    unsynced: dict[int, Unsynced] = dataclasses.field(default_factory=dict)
    last_write: int = 0
    marked_index: int = 0
    mark_due_s: float = 0.0
    output: Output = dataclasses.field(default_factory=Output)

    @property
    def me(self) -> MemberId:
        """This replica with its disk."""
        return MemberId(self.name, self.hard.incarnation)

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts."""
        return self.me in self.log.voters

    @property
    def is_blank(self) -> bool:
        """Whether this replica never took part."""
        is_new = self.hard.may_found and self.hard.term == 0
        return is_new and self.log.last_index == 0

    def quorum(self) -> int:
        """Return how many voters make a majority."""
        return len(self.log.voters) // 2 + 1

    def is_quorum(self, members: set[MemberId]) -> bool:
        """Whether these include a majority of the voters."""
        agreeing = members.intersection(self.log.voters)
        return bool(self.log.voters) and len(agreeing) >= self.quorum()

    def change_role(self, event: RoleEvent) -> bool:
        """Follow the chart; tell whether the role changed."""
        step = load_chart('replica').step(self.role.value, event.value)
        if step is None:
            return False
        self.role = Role(step)
        if self.role is not Role.LEADER:
            self.leading = None
        return True

    def follow_voters(self) -> None:
        """Take up or lay down the vote, as the newest voters say."""
        if self.is_voter and self.role not in _VOTING_ROLES:
            self.change_role(RoleEvent.BECAME_VOTER)
            self.delay_election()
        elif not self.is_voter and self.role in _VOTING_ROLES:
            self.change_role(RoleEvent.LOST_VOTE)

    def delay_election(self) -> None:
        """Draw the time of the next election."""
        spread = 1 + self.rng.random()
        self.election_due_s = self.now_s + spread * self.settings.election_min_s

    def hasten_election(self) -> None:
        """Draw the time of an election where nobody may have a leader.

        That is after a start, and after votes that were split.  A leader that
        lives is heard well before; without one, nobody has to be waited for.
        The trial shows whether the others see it so too.
        """
        spread = self.settings.heartbeat_s * 2 + self.rng.random() * (
            self.settings.election_min_s - self.settings.heartbeat_s
        )
        self.election_due_s = self.now_s + spread

    def send(self, target: MemberId, message: RaftMessage) -> None:
        """Send a message at once."""
        self.output.messages.append(Outgoing(target.name, message))

    def send_synced(self, target: MemberId, message: RaftMessage) -> None:
        """Send a message once everything written so far is synced."""
        outgoing = Outgoing(target.name, message)
        if self.unsynced:
            self.unsynced[self.last_write].waiting.append(outgoing)
        else:
            self.output.messages.append(outgoing)

    def write(
        self,
        hard: HardState | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> None:
        """Hand something to the disk."""
        self.last_write += 1
        self.marked_index = self.commit_index
        self.mark_due_s = self.now_s + _MARK_S
        write = Write(
            number=self.last_write,
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
        self.unsynced[write.number] = Unsynced(write)
        self.output.writes.append(write)

    def append(self, kind: EntryKind, command: bytes) -> LogEntry:
        """Put an entry of the own term at the end of the log."""
        index = self.log.last_index + 1
        entry = LogEntry(index, self.hard.term, kind, command)
        self.log.store((entry,))
        self.write(entries=(entry,))
        return entry

    def note_synced(self, number: int) -> list[Outgoing]:
        """Learn that writes up to a number are synced.

        Returns
        -------
        list of Outgoing
            The messages that waited for them.
        """
        released: list[Outgoing] = []
        done = [key for key in self.unsynced if key <= number]
        for key in done:
            synced = self.unsynced.pop(key)
            released.extend(synced.waiting)
            self._note_written(synced.write)
        # A write under way may replace what an earlier one stored.
        for later in self.unsynced.values():
            if later.write.entries:
                replaced = later.write.entries[0].index
                self.synced_index = min(self.synced_index, replaced - 1)
        return released

    def mark_commit(self) -> None:
        """Store now and then how far the log is committed.

        A replica that restarts alone can then apply this much without a
        leader.
        """
        is_due = self.now_s >= self.mark_due_s and not self.unsynced
        if is_due and self.commit_index > self.marked_index:
            self.write()

    def _note_written(self, write: Write) -> None:
        if self.log.term_at(write.last_index) == write.last_term:
            self.synced_index = max(self.synced_index, write.last_index)

    def write_hard(self, term: int, vote: MemberId | None) -> None:
        """Remember a term and a vote."""
        self.hard = msgspec.structs.replace(self.hard, term=term, vote=vote)
        self.write(hard=self.hard)

    def see_term(self, term: int) -> None:
        """Fall back to following if a term is newer than the own one."""
        if term > self.hard.term:
            self.write_hard(term, None)
            self.verified_index = 0
            self.leader = None
            if self.change_role(RoleEvent.NEWER_TERM):
                self.delay_election()
