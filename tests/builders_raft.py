"""Simulate Raft replicas on fake disks and an unreliable network."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

import msgspec

from tests.builders_disk import CrashedError, FakeDisk
from wigeonreach.agreement._raft import Raft
from wigeonreach.agreement._raft_log import RaftLog, encode_voters
from wigeonreach.agreement._raft_types import (
    HardState,
    OutgoingMessage,
    Output,
    Propose,
    RaftEvent,
    RaftSettings,
    Read,
    Received,
    RequestOrigin,
    Role,
    SnapshotTaken,
    Tick,
    Write,
    WritesSynced,
)
from wigeonreach.agreement._storage import Storage, StoredState
from wigeonreach.wire._raft_messages import EntryKind, LogEntry, MemberId

NAMES = ('a', 'b', 'c')
_SETTINGS = RaftSettings(
    batch_bytes=64,
    window_entries=8,
    chunk_bytes=48,
    trailing_entries=2,
)
_MAX_IN_FLIGHT = 300
_COMMANDS = msgspec.msgpack.Decoder(list[bytes])


class SafetyViolationError(AssertionError):
    """A safety property of Raft was violated."""


@dataclasses.dataclass(slots=True)
class Node:
    """One replica; ``raft`` is None while its process is down."""

    name: str
    disk: FakeDisk
    storage: Storage
    raft: Raft | None = None
    writes: list[Write] = dataclasses.field(default_factory=list)
    commands: list[bytes] = dataclasses.field(default_factory=list)
    applied_index: int = 0
    proposed: dict[int, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict,
    )

    def load(self) -> StoredState:
        """Load the stored state at the start of the process."""
        return self.storage.load()


class Simulation:
    """Three replicas on a simulated network, any part of which may fail.

    Every step checks the safety properties: replicas commit the same entries
    in order, a term has one leader, and reads see acknowledged commands.

    Parameters
    ----------
    seed
        Seed of all random choices of the replicas and disks.
    node_type
        Type of the replicas; used to inject variants with a known bug.
    """

    def __init__(self, seed: int, node_type: type[Node] = Node) -> None:
        """Start three replicas with empty disks."""
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.in_flight: list[OutgoingMessage] = []
        self.committed: dict[int, LogEntry] = {}
        self.acknowledged: dict[int, bytes] = {}
        self.leaders: dict[int, MemberId] = {}
        self.reads: dict[int, int] = {}
        self.completed_reads = 0
        self._last_request_id = 0
        self.nodes = {
            name: self._create_node(name, node_type) for name in NAMES
        }
        for node in self.nodes.values():
            self.start(node)

    def add_replicas(self, names: Iterable[str]) -> None:
        """Add replicas, and restart all with the longer list of names."""
        for name in names:
            self.nodes[name] = self._create_node(name, Node)
        for node in self.nodes.values():
            self.crash(node)
        for restarted in self.nodes.values():
            self.start(restarted)

    def start(self, node: Node) -> None:
        """Start a replica's process, unless it is running."""
        if node.raft is not None:
            return
        stored = node.load()
        node.raft = Raft(
            node.name,
            tuple(self.nodes),
            stored,
            _SETTINGS,
            random.Random(self.rng.getrandbits(32)),
        )
        node.writes = []
        node.proposed = {}
        node.commands = []
        node.applied_index = 0
        if stored.snapshot is not None:
            node.commands = _COMMANDS.decode(stored.snapshot.state)
            node.applied_index = stored.snapshot.index
        self.step(node, Tick())

    def crash(self, node: Node) -> None:
        """Kill a process; a part of the unsynced changes is lost."""
        node.raft = None
        node.disk.crash(self.rng)

    def can_lose_a_disk(self) -> bool:
        """Whether all replicas are voters that run on their voting disk."""
        voters = self.committed_voters()
        present = {
            node.raft.state.me for node in self.nodes.values() if node.raft
        }
        return len(voters) == len(self.nodes) and present.issuperset(voters)

    def lose_disk(self, node: Node) -> None:
        """Kill a process and erase its disk."""
        node.raft = None
        node.disk.wipe()

    def tick(self, node: Node, passed_s: float) -> None:
        """Advance the clock, and send a tick to one replica."""
        self.now_s += passed_s
        self.step(node, Tick())

    def deliver(self, chosen: int, is_kept: bool = False) -> None:
        """Deliver one message in flight; if kept, it is delivered again."""
        if not self.in_flight:
            return
        place = chosen % len(self.in_flight)
        outgoing = self.in_flight[place]
        if not is_kept:
            self.in_flight.pop(place)
        self.step(self.nodes[outgoing.target], Received(outgoing.message))

    def lose_messages(self, share: float) -> None:
        """Lose a random share of the messages in flight."""
        self.in_flight = [
            outgoing
            for outgoing in self.in_flight
            if self.rng.random() >= share
        ]

    def write(self, node: Node, crash_after: int | None = None) -> None:
        """Carry out a replica's pending writes, possibly until a crash."""
        if node.raft is None or not node.writes:
            return
        node.disk.operations_left = crash_after
        try:
            node.storage.write(node.writes)
        except CrashedError:
            self.crash(node)
            return
        node.disk.operations_left = None
        number = node.writes[-1].number
        node.writes = []
        self.step(node, WritesSynced(number))

    def leader_or(self, node: Node) -> Node:
        """Return a leader, or the given replica if there is none."""
        leading = (
            other
            for other in self.nodes.values()
            if other.raft is not None and other.raft.state.role is Role.LEADER
        )
        return next(leading, node)

    def propose(self, node: Node) -> None:
        """Propose a new command to a replica."""
        self._last_request_id += 1
        command = f'change-{self._last_request_id}'.encode()
        if node.raft is not None:
            origin = RequestOrigin(node.raft.state.me, self._last_request_id)
            self.step(node, Propose(origin, command), command)

    def read(self, node: Node) -> None:
        """Start a read on a replica."""
        self._last_request_id += 1
        if node.raft is not None:
            self.reads[self._last_request_id] = max(
                self.acknowledged, default=0
            )
            self.step(
                node,
                Read(RequestOrigin(node.raft.state.me, self._last_request_id)),
            )

    def snapshot(self, node: Node) -> None:
        """Take a snapshot on a replica, which compacts its log."""
        if node.raft is not None and node.applied_index:
            state = msgspec.msgpack.encode(node.commands)
            self.step(node, SnapshotTaken(node.applied_index, state))

    def settle(self, rounds: int) -> None:
        """Run without failures for some rounds."""
        for _ in range(rounds):
            for node in self.nodes.values():
                self.tick(node, 0.02)
                self.write(node)
            for _ in tuple(self.in_flight):
                self.deliver(0)

    def step(
        self,
        node: Node,
        event: RaftEvent,
        command: bytes = b'',
    ) -> None:
        """Pass an event to a replica, and check its effects."""
        if node.raft is None:
            return
        output = node.raft.step((event,), self.now_s)
        node.writes.extend(output.writes)
        self.in_flight.extend(output.messages)
        self.in_flight = self.in_flight[-_MAX_IN_FLIGHT:]
        for accepted in output.accepted:
            node.proposed[accepted.index] = (accepted.term, command)
        self._apply(node, output)
        for read in output.reads:
            self._check_read(read.origin.request_id, read.index)
        self._check_leader(node)

    def check_converged(self) -> None:
        """Check that all replicas converge once failures stop.

        Every replica must have applied all committed entries, among them
        every acknowledged command.
        """
        for node in self.nodes.values():
            self.start(node)
        self.settle(400)
        last_index = max(self.committed)
        for node in self.nodes.values():
            _check(
                node.applied_index == last_index,
                f'{node.name} is at {node.applied_index} of {last_index}',
            )
        kept = set(self.nodes['a'].commands)
        lost = set(self.acknowledged.values()).difference(kept)
        _check(not lost, f'lost: {lost}')

    def _create_node(self, name: str, node_type: type[Node]) -> Node:
        disk = FakeDisk()
        rng = random.Random(self.rng.getrandbits(32))
        return node_type(name, disk, Storage(disk, rng))

    def _apply(self, node: Node, output: Output) -> None:
        if output.restored is not None:
            _check(
                output.restored.index >= node.applied_index,
                f'{node.name} went back to {output.restored.index}',
            )
            node.commands = _COMMANDS.decode(output.restored.state)
            node.applied_index = output.restored.index
            self._check_restored(node)
        for entry in output.committed:
            self._apply_entry(node, entry)

    def _apply_entry(self, node: Node, entry: LogEntry) -> None:
        _check(
            entry.index == node.applied_index + 1,
            f'{node.name} skips to {entry.index}',
        )
        known = self.committed.setdefault(entry.index, entry)
        _check(known == entry, f'{node.name}: {entry} is not {known}')
        node.applied_index = entry.index
        if entry.kind is EntryKind.COMMAND:
            node.commands.append(entry.command)
        term, command = node.proposed.pop(entry.index, (0, b''))
        if term == entry.term:
            self.acknowledged[entry.index] = command

    def _check_restored(self, node: Node) -> None:
        expected = [
            entry.command
            for index, entry in sorted(self.committed.items())
            if index <= node.applied_index and entry.kind is EntryKind.COMMAND
        ]
        _check(node.commands == expected, f'{node.name} restored another')

    def _check_read(self, request_id: int, index: int) -> None:
        self.completed_reads += 1
        _check(index >= self.reads[request_id], 'a read missed a change')

    def _check_leader(self, node: Node) -> None:
        assert node.raft is not None
        state = node.raft.state
        if state.role is not Role.LEADER:
            return
        known = self.leaders.setdefault(state.hard_state.term, state.me)
        _check(
            known == state.me,
            f'{known} and {state.me} lead term {state.hard_state.term}',
        )
        for index, command in self.acknowledged.items():
            self._check_leader_has(node, index, command)

    def _check_leader_has(self, node: Node, index: int, command: bytes) -> None:
        assert node.raft is not None
        state = node.raft.state
        # Only a leader of the same or a later term must hold the entry.
        entry = self.committed[index]
        log = state.log
        if entry.term > state.hard_state.term or index <= log.base_index:
            return
        _check(
            log.term_at(index) == entry.term,
            f'leader {state.me} of {state.hard_state.term} lacks {command!r}',
        )

    def committed_voters(self) -> tuple[MemberId, ...]:
        changes = [
            entry
            for _, entry in sorted(self.committed.items())
            if entry.kind is EntryKind.VOTERS
        ]
        if not changes:
            return ()
        return msgspec.msgpack.decode(
            changes[-1].command,
            type=tuple[MemberId, ...],
        )


def _check(is_kept: bool, promise: str) -> None:
    if not is_kept:
        raise SafetyViolationError(promise)


def build_stored_state(
    name: str, terms: Iterable[tuple[int, int]]
) -> StoredState:
    """Return a stored state with a log of commands, none of them committed.

    The first entry makes all replicas voters, with incarnation 1.

    Parameters
    ----------
    name
        Name of the replica.
    terms
        Pairs of a term and the number of commands in it.
    """
    voters = tuple(MemberId(voter, 1) for voter in NAMES)
    entries = [LogEntry(1, 1, EntryKind.VOTERS, encode_voters(voters))]
    for term, count in terms:
        entries.extend(
            LogEntry(len(entries) + 1 + place, term, EntryKind.COMMAND, b'x')
            for place in range(count)
        )
    last_term = entries[-1].term
    return StoredState(
        HardState(incarnation=1, may_found=False, term=last_term),
        None,
        RaftLog(entries=entries),
        1,
    )
