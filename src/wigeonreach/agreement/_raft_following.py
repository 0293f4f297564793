"""Store the entries that the leader sends."""

from __future__ import annotations

from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import RoleEvent
from wigeonreach.wire._raft_messages import (
    AppendEntries,
    AppendReply,
    MemberId,
)


def accept_leader(state: RaftState, leader: MemberId, term: int) -> bool:
    """Follow the sender of a message that only a leader sends.

    Returns
    -------
    bool
        False if the message is from an older term; the caller's reply then
        informs the sender of the newer one.
    """
    state.observe_term(term)
    if term < state.hard_state.term:
        return False
    state.change_role(RoleEvent.LEADER_HEARD)
    if state.leader != leader:
        state.leader = leader
        state.verified_index = 0
    state.last_heard_leader_s = state.now_s
    state.reset_election_timer()
    return True


def on_append(state: RaftState, message: AppendEntries) -> None:
    """Store entries if the log matches the entry before them, and reply."""
    if not accept_leader(state, message.sender, message.term):
        send_append_reply(
            state, message.sender, message.heartbeat_round, is_accepted=False
        )
        return
    if not _matches_previous_entry(state, message):
        _reject(state, message)
        return
    new_entries = state.log.store(message.entries)
    if new_entries:
        state.synced_index = min(state.synced_index, new_entries[0].index - 1)
        state.write(entries=tuple(new_entries))
        state.update_voter_role()
    end = message.previous_index + len(message.entries)
    state.verified_index = max(state.verified_index, end)
    committed_index = min(message.commit_index, state.verified_index)
    state.commit_index = max(state.commit_index, committed_index)
    send_append_reply(
        state, message.sender, message.heartbeat_round, is_accepted=True
    )


def send_append_reply(
    state: RaftState,
    leader: MemberId,
    heartbeat_round: int,
    is_accepted: bool,
) -> None:
    """Tell a leader up to which index the synced log matches its own."""
    match_index = min(state.verified_index, state.synced_index)
    state.send(
        leader,
        AppendReply(
            sender=state.me,
            target_incarnation=leader.incarnation,
            term=state.hard_state.term,
            is_accepted=is_accepted,
            match_index=match_index,
            heartbeat_round=heartbeat_round,
        ),
    )


def on_writes_synced(state: RaftState) -> None:
    """Tell the leader that entries are synced."""
    leader = state.leader
    if leader is not None and leader != state.me:
        send_append_reply(state, leader, heartbeat_round=0, is_accepted=True)


def _matches_previous_entry(state: RaftState, message: AppendEntries) -> bool:
    # Entries up to the base index are committed, so they match.
    if message.previous_index < state.log.base_index:
        return True
    known_term = state.log.term_at(message.previous_index)
    return known_term == message.previous_term


def _reject(state: RaftState, message: AppendEntries) -> None:
    hint = min(state.log.last_index, message.previous_index)
    # One rejection skips all uncommitted entries of the conflicting term.
    conflicting_term = state.log.term_at(hint)
    if message.previous_index <= state.log.last_index:
        while (
            hint > state.commit_index
            and state.log.term_at(hint) == conflicting_term
        ):
            hint -= 1
    state.send(
        message.sender,
        AppendReply(
            sender=state.me,
            target_incarnation=message.sender.incarnation,
            term=state.hard_state.term,
            is_accepted=False,
            match_index=hint,
            heartbeat_round=message.heartbeat_round,
        ),
    )
