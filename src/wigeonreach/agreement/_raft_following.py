"""Store what the leader sends."""

from __future__ import annotations

from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import RoleEvent
from wigeonreach.wire._raft_messages import (
    AppendEntries,
    AppendReply,
    MemberId,
)


def hear_leader(state: RaftState, leader: MemberId, term: int) -> bool:
    """Follow the sender of a leader's message.

    Returns
    -------
    bool
        False if its term is over; it is told so by the reply.
    """
    state.see_term(term)
    if term < state.hard.term:
        return False
    state.change_role(RoleEvent.LEADER_HEARD)
    if state.leader != leader:
        state.leader = leader
        state.verified_index = 0
    state.heard_leader_s = state.now_s
    state.delay_election()
    return True


def on_append(state: RaftState, message: AppendEntries) -> None:
    """Store entries that follow what is here, and tell what is synced."""
    if not hear_leader(state, message.sender, message.term):
        reply(state, message.sender, message.heartbeat_round, is_accepted=False)
        return
    if not _follows(state, message):
        _refuse(state, message)
        return
    fresh = state.log.store(message.entries)
    if fresh:
        state.synced_index = min(state.synced_index, fresh[0].index - 1)
        state.write(entries=tuple(fresh))
        state.follow_voters()
    end = message.previous_index + len(message.entries)
    state.verified_index = max(state.verified_index, end)
    reachable = min(message.commit_index, state.verified_index)
    state.commit_index = max(state.commit_index, reachable)
    reply(state, message.sender, message.heartbeat_round, is_accepted=True)


def reply(
    state: RaftState,
    leader: MemberId,
    heartbeat_round: int,
    is_accepted: bool,
) -> None:
    """Tell a leader how far the synced log agrees with its own."""
    match_index = min(state.verified_index, state.synced_index)
    state.send(
        leader,
        AppendReply(
            sender=state.me,
            target_incarnation=leader.incarnation,
            term=state.hard.term,
            is_accepted=is_accepted,
            match_index=match_index,
            heartbeat_round=heartbeat_round,
        ),
    )


def on_synced(state: RaftState) -> None:
    """Tell the leader once what it sent is synced."""
    leader = state.leader
    if leader is not None and leader != state.me:
        reply(state, leader, heartbeat_round=0, is_accepted=True)


def _follows(state: RaftState, message: AppendEntries) -> bool:
    # Entries up to the base are committed, so they agree.
    if message.previous_index < state.log.base_index:
        return True
    known_term = state.log.term_at(message.previous_index)
    return known_term == message.previous_term


def _refuse(state: RaftState, message: AppendEntries) -> None:
    hint = min(state.log.last_index, message.previous_index)
    # One refusal skips a whole term of entries that the leader lacks.
    wrong_term = state.log.term_at(hint)
    if message.previous_index <= state.log.last_index:
        while (
            hint > state.commit_index and state.log.term_at(hint) == wrong_term
        ):
            hint -= 1
    state.send(
        message.sender,
        AppendReply(
            sender=state.me,
            target_incarnation=message.sender.incarnation,
            term=state.hard.term,
            is_accepted=False,
            match_index=hint,
            heartbeat_round=message.heartbeat_round,
        ),
    )
