"""Confirm that this leader still leads before a read is answered."""

from __future__ import annotations

from wigeonreach.agreement._raft_state import PendingRead, RaftState
from wigeonreach.agreement._raft_types import Origin, Read, ReadReady


def on_read(state: RaftState, event: Read) -> None:
    """Begin a read, or refuse it where another replica leads."""
    lead = state.leading
    if lead is None:
        state.output.refused.append(event.origin)
    elif state.commit_index < lead.first_index:
        # What older terms committed is not known yet.
        lead.early_reads.append(event.origin)
    else:
        _begin(state, event.origin)


def start_early(state: RaftState) -> None:
    """Begin the reads that waited for the first commit of the term."""
    lead = state.leading
    if lead is None or state.commit_index < lead.first_index:
        return
    waiting = lead.early_reads
    lead.early_reads = []
    for origin in waiting:
        _begin(state, origin)


def confirm(state: RaftState) -> None:
    """Answer the reads that a quorum's heartbeats confirmed."""
    lead = state.leading
    if lead is None:
        return
    unconfirmed: list[PendingRead] = []
    for read in lead.reads:
        agreeing = {
            member
            for member, progress in lead.progress.items()
            if progress.heartbeat_round >= read.heartbeat_round
        }
        if state.is_quorum(agreeing | {state.me}):
            state.output.reads.append(ReadReady(read.origin, read.index))
        else:
            unconfirmed.append(read)
    lead.reads = unconfirmed


def _begin(state: RaftState, origin: Origin) -> None:
    lead = state.leading
    assert lead is not None
    lead.heartbeat_round += 1
    # The round goes out with the heartbeat that the step ends with.
    lead.heartbeat_due_s = state.now_s
    lead.reads.append(
        PendingRead(origin, state.commit_index, lead.heartbeat_round),
    )
