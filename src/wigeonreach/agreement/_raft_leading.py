"""Replicate entries as the leader and commit what a quorum has synced."""

from __future__ import annotations

from wigeonreach.agreement import _raft_members as members
from wigeonreach.agreement import _raft_reads as reads
from wigeonreach.agreement import _raft_transfer as transfer
from wigeonreach.agreement._raft_state import LeaderState, Progress, RaftState
from wigeonreach.agreement._raft_types import (
    Accepted,
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


def start(state: RaftState) -> None:
    """Begin a term as its leader.

    Nothing of an older term is known to be committed until an entry of the
    own term is, hence the empty entry.
    """
    next_index = state.log.last_index + 1
    state.leader = state.me
    state.leading = LeaderState(
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
    """Store a command, or refuse it where another replica leads."""
    if state.leading is None:
        state.output.refused.append(event.origin)
        return
    entry = state.append(EntryKind.COMMAND, event.command)
    state.output.accepted.append(
        Accepted(event.origin, entry.index, entry.term),
    )


def on_tick(state: RaftState) -> None:
    """Send heartbeats, and step down if no quorum answers them."""
    lead = state.leading
    if lead is None:
        return
    oldest_s = state.now_s - state.settings.election_min_s
    heard = {
        member
        for member, progress in lead.progress.items()
        if progress.heard_s >= oldest_s
    }
    if not state.is_quorum(heard | {state.me}):
        step_down(state)
        return
    if state.now_s >= lead.heartbeat_due_s:
        send_to_all(state)
    members.forget_silent_learners(state)
    members.admit_caught_up(state)


def step_down(state: RaftState) -> None:
    """Follow again in the same term."""
    state.change_role(RoleEvent.QUORUM_LOST)
    state.leader = None
    state.delay_election()


def hand_over(state: RaftState) -> None:
    """Ask the voter that lacks least to lead in this replica's place."""
    lead = state.leading
    if lead is None:
        return
    oldest_s = state.now_s - state.settings.election_min_s
    heirs = [
        voter
        for voter in state.log.voters
        if voter in lead.progress and lead.progress[voter].heard_s >= oldest_s
    ]
    if not heirs:
        return
    heir = max(heirs, key=lambda voter: lead.progress[voter].match_index)
    message = LeadNow(
        sender=state.me,
        target_incarnation=heir.incarnation,
        term=state.hard.term,
    )
    state.send(heir, message)


def send_to_all(state: RaftState) -> None:
    """Send each replica what it lacks, or a heartbeat."""
    lead = state.leading
    assert lead is not None
    lead.heartbeat_due_s = state.now_s + state.settings.heartbeat_s
    for member, progress in lead.progress.items():
        send_entries(state, member, progress)


def send_new(state: RaftState) -> None:
    """Send new entries to the replicas that have room for them."""
    lead = state.leading
    if lead is None:
        return
    for member, progress in lead.progress.items():
        if _has_more(state, progress):
            send_entries(state, member, progress)


def send_entries(
    state: RaftState,
    member: MemberId,
    progress: Progress,
) -> None:
    """Send one batch from where a replica is, or a snapshot chunk."""
    lead = state.leading
    assert lead is not None
    previous_term = state.log.term_at(progress.next_index - 1)
    if previous_term is None or progress.transfer is not None:
        transfer.send_chunk(state, member, progress)
        return
    batch = () if progress.is_searching else _next_batch(state, progress)
    message = AppendEntries(
        sender=state.me,
        target_incarnation=member.incarnation,
        term=state.hard.term,
        previous_index=progress.next_index - 1,
        previous_term=previous_term,
        commit_index=state.commit_index,
        heartbeat_round=lead.heartbeat_round,
        entries=batch,
    )
    # A lost batch shows in the next heartbeat: its ``previous_index`` is
    # refused.
    progress.next_index += len(batch)
    state.send(member, message)


def on_append_reply(state: RaftState, reply: AppendReply) -> None:
    """Note how far a replica has synced."""
    state.see_term(reply.term)
    lead = state.leading
    if lead is None or reply.term < state.hard.term:
        return
    progress = lead.progress.get(reply.sender)
    if progress is None:
        return
    progress.heard_s = state.now_s
    progress.heartbeat_round = max(
        progress.heartbeat_round,
        reply.heartbeat_round,
    )
    _note_match(state, progress, reply)
    advance_commit(state)
    reads.confirm(state)
    members.note_progress(state, progress)
    members.admit_caught_up(state)
    # A refusal is followed by the next try at once.
    is_due = not reply.is_accepted or _has_more(state, progress)
    if state.leading is lead and is_due:
        send_entries(state, reply.sender, progress)


def advance_commit(state: RaftState) -> None:
    """Commit what a quorum of voters, this one perhaps among them, synced."""
    lead = state.leading
    if lead is None or not state.log.voters:
        return
    synced = sorted(
        (_synced_index(state, lead, voter) for voter in state.log.voters),
        reverse=True,
    )
    index = synced[state.quorum() - 1]
    # Entries of older terms are committed by one of the own term only.
    is_own_term = state.log.term_at(index) == state.hard.term
    if index > state.commit_index and is_own_term:
        state.commit_index = index
        reads.start_early(state)


def _synced_index(
    state: RaftState,
    lead: LeaderState,
    voter: MemberId,
) -> int:
    if voter == state.me:
        return state.synced_index
    progress = lead.progress.get(voter)
    return progress.match_index if progress else 0


def _note_match(
    state: RaftState,
    progress: Progress,
    reply: AppendReply,
) -> None:
    if reply.is_accepted:
        progress.is_searching = False
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = max(
            progress.next_index,
            progress.match_index + 1,
        )
        if progress.match_index >= progress.transfer_index:
            progress.transfer = None
        return
    progress.is_searching = True
    retry_index = min(progress.next_index - 1, reply.match_index + 1)
    progress.next_index = max(progress.match_index + 1, retry_index)


def _has_more(state: RaftState, progress: Progress) -> bool:
    if progress.transfer is not None or progress.is_searching:
        return False
    window = state.settings.window_entries
    in_flight = progress.next_index - 1 - progress.match_index
    return progress.next_index <= state.log.last_index and in_flight < window


def _next_batch(
    state: RaftState,
    progress: Progress,
) -> tuple[LogEntry, ...]:
    if not _has_more(state, progress):
        return ()
    limit_bytes = state.settings.batch_bytes
    return tuple(state.log.batch(progress.next_index, limit_bytes))
