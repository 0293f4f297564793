"""Linearizable reads: confirm leadership with a quorum before answering."""

from __future__ import annotations

from wigeonreach.agreement._raft_state import PendingRead, RaftState
from wigeonreach.agreement._raft_types import Read, ReadReady, RequestOrigin


def on_read(state: RaftState, event: Read) -> None:
    """Start a read, or refuse it if not the leader."""
    lead = state.leader_state
    if lead is None:
        state.output.refused.append(event.origin)
    elif state.commit_index < lead.first_index:
        # Until an entry of this term is committed, the leader does not know
        # which entries of older terms are.
        lead.deferred_reads.append(event.origin)
    else:
        _start_read(state, event.origin)


def start_deferred(state: RaftState) -> None:
    """Start the reads deferred until the first commit of the term."""
    lead = state.leader_state
    if lead is None or state.commit_index < lead.first_index:
        return
    waiting = lead.deferred_reads
    lead.deferred_reads = []
    for origin in waiting:
        _start_read(state, origin)


def complete_confirmed(state: RaftState) -> None:
    """Answer the reads that heartbeat replies of a quorum confirmed."""
    lead = state.leader_state
    if lead is None:
        return
    unconfirmed: list[PendingRead] = []
    for read in lead.pending_reads:
        agreeing = {
            member
            for member, progress in lead.progress.items()
            if progress.heartbeat_round >= read.heartbeat_round
        }
        if state.is_quorum(agreeing | {state.me}):
            state.output.reads.append(ReadReady(read.origin, read.index))
        else:
            unconfirmed.append(read)
    lead.pending_reads = unconfirmed


def _start_read(state: RaftState, origin: RequestOrigin) -> None:
    lead = state.leader_state
    assert lead is not None
    lead.heartbeat_round += 1
    # The new round is sent with the heartbeats at the end of this step.
    lead.heartbeat_due_s = state.now_s
    lead.pending_reads.append(
        PendingRead(origin, state.commit_index, lead.heartbeat_round),
    )
