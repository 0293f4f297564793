"""Replicate entries as the leader, and commit what a quorum has synced."""

from __future__ import annotations

from wigeonreach.agreement import _raft_membership as membership
from wigeonreach.agreement import _raft_reads as reads
from wigeonreach.agreement import _raft_snapshots as snapshots
from wigeonreach.agreement._raft_state import LeaderState, Progress, RaftState
from wigeonreach.agreement._raft_types import (
    AppendedProposal,
    Propose,
    RoleEvent,
)
from wigeonreach.wire._raft_messages import (
    AppendEntries,
    AppendReply,
    EntryKind,
    LeadNow,
    LogEntry,
    MemberId,
)


def become_leader(state: RaftState) -> None:
    """Begin a term as its leader.

    The empty entry is needed because entries of older terms are known to be
    committed only once an entry of the current term is.
    """
    next_index = state.log.last_index + 1
    state.leader = state.me
    state.leader_state = LeaderState(
        first_index=next_index,
        progress={
            voter: Progress(next_index, state.now_s)
            for voter in state.log.voters
            if voter != state.me
        },
    )
    state.append(EntryKind.EMPTY, b'')
    send_to_all(state)


def on_propose(state: RaftState, event: Propose) -> None:
    """Append a command to the log, or refuse it if not the leader."""
    if state.leader_state is None:
        state.output.refused.append(event.origin)
        return
    entry = state.append(EntryKind.COMMAND, event.command)
    state.output.accepted.append(
        AppendedProposal(event.origin, entry.index, entry.term),
    )


def on_tick(state: RaftState) -> None:
    """Send heartbeats, and step down if no quorum answers them.

    Also removes silent learners and promotes learners that caught up.
    """
    lead = state.leader_state
    if lead is None:
        return
    oldest_s = state.now_s - state.settings.election_min_s
    heard = {
        member
        for member, progress in lead.progress.items()
        if progress.last_heard_s >= oldest_s
    }
    if not state.is_quorum(heard | {state.me}):
        step_down(state)
        return
    if state.now_s >= lead.heartbeat_due_s:
        send_to_all(state)
    membership.drop_silent_learners(state)
    membership.promote_caught_up(state)


def step_down(state: RaftState) -> None:
    """Become a follower in the same term."""
    state.change_role(RoleEvent.QUORUM_LOST)
    state.leader = None
    state.reset_election_timer()


def transfer_leadership(state: RaftState) -> None:
    """Ask the most up-to-date live voter to take over leadership."""
    lead = state.leader_state
    if lead is None:
        return
    oldest_s = state.now_s - state.settings.election_min_s
    live_voters = [
        voter
        for voter in state.log.voters
        if voter in lead.progress
        and lead.progress[voter].last_heard_s >= oldest_s
    ]
    if not live_voters:
        return
    successor = max(
        live_voters, key=lambda voter: lead.progress[voter].match_index
    )
    message = LeadNow(
        sender=state.me,
        target_incarnation=successor.incarnation,
        term=state.hard_state.term,
    )
    state.send(successor, message)


def send_to_all(state: RaftState) -> None:
    """Send each replica the entries that it lacks, or a heartbeat."""
    lead = state.leader_state
    assert lead is not None
    lead.heartbeat_due_s = state.now_s + state.settings.heartbeat_s
    for member, progress in lead.progress.items():
        send_entries(state, member, progress)


def send_new_entries(state: RaftState) -> None:
    """Send new entries to each replica, within its flow control window."""
    lead = state.leader_state
    if lead is None:
        return
    for member, progress in lead.progress.items():
        if _can_send_entries(state, progress):
            send_entries(state, member, progress)


def send_entries(
    state: RaftState,
    member: MemberId,
    progress: Progress,
) -> None:
    """Send a replica its next batch of entries, or a snapshot chunk."""
    lead = state.leader_state
    assert lead is not None
    previous_term = state.log.term_at(progress.next_index - 1)
    if previous_term is None or progress.encoded_snapshot is not None:
        snapshots.send_chunk(state, member, progress)
        return
    batch = () if progress.is_probing else _next_batch(state, progress)
    message = AppendEntries(
        sender=state.me,
        target_incarnation=member.incarnation,
        term=state.hard_state.term,
        previous_index=progress.next_index - 1,
        previous_term=previous_term,
        commit_index=state.commit_index,
        heartbeat_round=lead.heartbeat_round,
        entries=batch,
    )
    # A lost batch is detected with the next heartbeat, as the replica rejects
    # its ``previous_index``.
    progress.next_index += len(batch)
    state.send(member, message)


def on_append_reply(state: RaftState, reply: AppendReply) -> None:
    """Update the progress of a replica and commit what a quorum has synced."""
    state.observe_term(reply.term)
    lead = state.leader_state
    if lead is None or reply.term < state.hard_state.term:
        return
    progress = lead.progress.get(reply.sender)
    if progress is None:
        return
    progress.last_heard_s = state.now_s
    progress.heartbeat_round = max(
        progress.heartbeat_round,
        reply.heartbeat_round,
    )
    _update_match_index(state, progress, reply)
    advance_commit(state)
    reads.complete_confirmed(state)
    membership.update_caught_up(state, progress)
    membership.promote_caught_up(state)
    # After a rejection the next index is tried at once.
    is_due = not reply.is_accepted or _can_send_entries(state, progress)
    if state.leader_state is lead and is_due:
        send_entries(state, reply.sender, progress)


def advance_commit(state: RaftState) -> None:
    """Commit entries that a quorum of voters has synced.

    This replica counts only if it is a voter itself.
    """
    lead = state.leader_state
    if lead is None or not state.log.voters:
        return
    synced = sorted(
        (_voter_synced_index(state, lead, voter) for voter in state.log.voters),
        reverse=True,
    )
    index = synced[state.quorum_size() - 1]
    # Entries of older terms are committed only with one of this term.
    is_own_term = state.log.term_at(index) == state.hard_state.term
    if index > state.commit_index and is_own_term:
        state.commit_index = index
        reads.start_deferred(state)


def _voter_synced_index(
    state: RaftState,
    lead: LeaderState,
    voter: MemberId,
) -> int:
    if voter == state.me:
        return state.synced_index
    progress = lead.progress.get(voter)
    return progress.match_index if progress else 0


def _update_match_index(
    state: RaftState,
    progress: Progress,
    reply: AppendReply,
) -> None:
    if reply.is_accepted:
        progress.is_probing = False
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index,
            progress.match_index + 1,
        )
        if progress.match_index >= progress.snapshot_index:
            progress.encoded_snapshot = None
        return
    progress.is_probing = True
    retry_index = min(progress.next_index - 1, reply.match_index + 1)
    progress.next_index = max(progress.match_index + 1, retry_index)


def _can_send_entries(state: RaftState, progress: Progress) -> bool:
    if progress.encoded_snapshot is not None or progress.is_probing:
        return False
    window = state.settings.window_entries
    in_flight = progress.next_index - 1 - progress.match_index
    return progress.next_index <= state.log.last_index and in_flight < window


def _next_batch(
    state: RaftState,
    progress: Progress,
) -> tuple[LogEntry, ...]:
    if not _can_send_entries(state, progress):
        return ()
    limit_bytes = state.settings.batch_bytes
    return tuple(state.log.batch(progress.next_index, limit_bytes))
