"""Raft core without I/O: takes events, returns writes, messages and entries."""

from __future__ import annotations

import functools
import random
from collections.abc import Iterable, Sequence

from wigeonreach.agreement import _raft_election as election
from wigeonreach.agreement import _raft_following as following
from wigeonreach.agreement import _raft_leading as leading
from wigeonreach.agreement import _raft_membership as membership
from wigeonreach.agreement import _raft_reads as reads
from wigeonreach.agreement import _raft_snapshots as snapshots
from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import (
    Output,
    PeersDiscovered,
    Propose,
    RaftEvent,
    RaftSettings,
    Read,
    Received,
    Role,
    SnapshotTaken,
    Tick,
    TransferLeadership,
    WritesSynced,
)
from wigeonreach.agreement._storage import StoredState
from wigeonreach.wire._raft_messages import (
    AppendEntries,
    AppendReply,
    Join,
    LeadNow,
    RaftMessage,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)


class Raft:
    """Raft core of one replica.

    Parameters
    ----------
    name
        Name of this replica.
    names
        Names of all configured replicas; the first one bootstraps the
        cluster.
    stored
        State stored in the data folder.
    settings
        Timeouts and size limits.
    rng
        Source of the randomised timeouts.
    """

    def __init__(
        self,
        name: str,
        names: Sequence[str],
        stored: StoredState,
        settings: RaftSettings,
        rng: random.Random,
    ) -> None:
        """Start from the stored state; nothing is sent before a step."""
        applied_index = stored.snapshot.index if stored.snapshot else 0
        self.state = RaftState(
            replica_names=tuple(names),
            name=name,
            settings=settings,
            rng=rng,
            hard_state=stored.hard,
            log=stored.log,
            snapshot=stored.snapshot,
            commit_index=max(applied_index, stored.commit_index),
            applied_index=applied_index,
            synced_index=stored.log.last_index,
        )
        self._is_started = False

    def step(self, events: Iterable[RaftEvent], now_s: float) -> Output:
        """Process events and return their effects.

        Parameters
        ----------
        events
            Events since the last step, in order.
        now_s
            Monotonic clock in seconds.

        Returns
        -------
        Output
            The effects.  Messages may be sent at once, even before the writes
            are synced: those that depend on a write are held back until a
            later step reports it synced.
        """
        state = self.state
        state.now_s = now_s
        if not self._is_started:
            self._is_started = True
            state.update_voter_role()
            state.set_short_election_timer()
        for event in events:
            _on_event(event, state)
        _finish_step(state)
        output = state.output
        state.output = Output()
        return output


def _finish_step(state: RaftState) -> None:
    lead = state.leader_state
    if lead is not None:
        state.update_voter_role()
        leading.advance_commit(state)
        reads.complete_confirmed(state)
    if state.leader_state is not None and lead is not None:
        if state.now_s >= lead.heartbeat_due_s:
            leading.send_to_all(state)
        leading.send_new_entries(state)
    _emit_committed(state)


def _emit_committed(state: RaftState) -> None:
    if state.applied_index < state.commit_index:
        first_index = state.applied_index + 1
        state.output.committed.extend(
            state.log.between(first_index, state.commit_index),
        )
        state.applied_index = state.commit_index


@functools.singledispatch
def _on_event(event: object, state: RaftState) -> None:
    raise TypeError(type(event).__name__)


@_on_event.register
def _on_tick(event: Tick, state: RaftState) -> None:
    state.store_commit_index_if_due()
    if state.role is Role.LEADER:
        leading.on_tick(state)
    elif state.is_voter:
        if state.now_s >= state.election_due_s:
            election.start_pre_vote(state)
    elif state.now_s >= state.join_due_s:
        membership.ask_to_join(state)


@_on_event.register
def _on_writes_synced(event: WritesSynced, state: RaftState) -> None:
    state.output.messages.extend(state.release_synced(event.number))
    election.on_own_vote_synced(state)
    following.on_writes_synced(state)


@_on_event.register
def _on_transfer_leadership(
    event: TransferLeadership, state: RaftState
) -> None:
    leading.transfer_leadership(state)


@_on_event.register
def _on_peers_discovered(event: PeersDiscovered, state: RaftState) -> None:
    state.known_peers = event.names


@_on_event.register
def _on_propose(event: Propose, state: RaftState) -> None:
    leading.on_propose(state, event)


@_on_event.register
def _on_read(event: Read, state: RaftState) -> None:
    reads.on_read(state, event)


@_on_event.register
def _on_snapshot_taken(event: SnapshotTaken, state: RaftState) -> None:
    snapshots.store_snapshot(state, event.index, event.state)


@_on_event.register
def _on_received(event: Received, state: RaftState) -> None:
    message = event.message
    is_for_me = message.target_incarnation == state.me.incarnation
    is_open_join = isinstance(message, Join) and not message.target_incarnation
    if is_for_me or is_open_join:
        _on_message(message, state)


@functools.singledispatch
def _on_message(message: RaftMessage, state: RaftState) -> None:
    raise TypeError(type(message).__name__)


@_on_message.register
def _on_vote_request(message: VoteRequest, state: RaftState) -> None:
    election.on_vote_request(state, message)


@_on_message.register
def _on_vote_reply(message: VoteReply, state: RaftState) -> None:
    election.on_vote_reply(state, message)


@_on_message.register
def _on_append(message: AppendEntries, state: RaftState) -> None:
    following.on_append(state, message)


@_on_message.register
def _on_append_reply(message: AppendReply, state: RaftState) -> None:
    leading.on_append_reply(state, message)


@_on_message.register
def _on_chunk(message: SnapshotChunk, state: RaftState) -> None:
    snapshots.on_chunk(state, message)


@_on_message.register
def _on_snapshot_reply(message: SnapshotReply, state: RaftState) -> None:
    snapshots.on_snapshot_reply(state, message)


@_on_message.register
def _on_lead_now(message: LeadNow, state: RaftState) -> None:
    election.on_lead_now(state, message)


@_on_message.register
def _on_join(message: Join, state: RaftState) -> None:
    membership.on_join(state, message)
