"""Elect a leader, after a pre-vote that shows that the candidate can win."""

from __future__ import annotations

from wigeonreach.agreement import _raft_leading as leading
from wigeonreach.agreement import _raft_membership as membership
from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import Role, RoleEvent
from wigeonreach.wire._raft_messages import LeadNow, VoteReply, VoteRequest


def start_pre_vote(state: RaftState) -> None:
    """Ask the other voters whether they would vote for this replica.

    A replica that was partitioned thus learns that it can't win, and does not
    depose the leader with a higher term when it comes back.
    """
    state.change_role(RoleEvent.ELECTION_DUE)
    state.leader = None
    state.reset_election_timer()
    state.votes = {state.me}
    if state.is_quorum(state.votes):
        _start_election(state)
        return
    _request_votes(state, is_trial=True)


def on_lead_now(state: RaftState, message: LeadNow) -> None:
    """Start an election at once, as the leader of this term requests.

    No pre-vote is needed: the leader itself gives up leadership, and the vote
    shows whether this log holds all committed entries.
    """
    is_current = message.term == state.hard_state.term
    if is_current and state.is_voter and state.leader_state is None:
        state.change_role(RoleEvent.ELECTION_DUE)
        state.leader = None
        _start_election(state)


def on_vote_request(state: RaftState, request: VoteRequest) -> None:
    """Vote for a candidate whose log is at least as up to date as this one."""
    if request.is_trial:
        membership.add_campaigning_learner(state, request.sender)
        _answer_pre_vote(state, request)
        return
    state.observe_term(request.term)
    is_granted = _can_grant_vote(state, request)
    if is_granted:
        state.write_hard_state(request.term, request.sender)
        state.reset_election_timer()
    _send_vote_reply(state, request, is_granted)


def on_vote_reply(state: RaftState, reply: VoteReply) -> None:
    """Count a vote."""
    if reply.is_trial and reply.is_granted:
        _count_pre_vote(state, reply)
        return
    state.observe_term(reply.term)
    is_current = reply.term == state.hard_state.term
    if reply.is_granted and is_current and state.role is Role.CANDIDATE:
        state.votes.add(reply.sender)
        _lead_if_elected(state)


def on_own_vote_synced(state: RaftState) -> None:
    """Count the replica's own vote once it is synced."""
    is_synced = all(
        pending.write.hard is None for pending in state.unsynced.values()
    )
    if state.role is Role.CANDIDATE and is_synced:
        state.votes.add(state.me)
        _lead_if_elected(state)


def _answer_pre_vote(state: RaftState, request: VoteRequest) -> None:
    silence_s = state.now_s - state.last_heard_leader_s
    has_leader = (
        state.role is Role.LEADER or silence_s < state.settings.election_min_s
    )
    is_behind = state.log.is_more_up_to_date_than(
        request.last_index, request.last_term
    )
    is_granted = (
        request.term > state.hard_state.term
        and not has_leader
        and not is_behind
    )
    _send_vote_reply(state, request, is_granted)


def _can_grant_vote(state: RaftState, request: VoteRequest) -> bool:
    is_free = state.hard_state.vote in {None, request.sender}
    is_behind = state.log.is_more_up_to_date_than(
        request.last_index, request.last_term
    )
    return request.term == state.hard_state.term and is_free and not is_behind


def _send_vote_reply(
    state: RaftState, request: VoteRequest, is_granted: bool
) -> None:
    reply = VoteReply(
        sender=state.me,
        target_incarnation=request.sender.incarnation,
        term=request.term if is_granted else state.hard_state.term,
        is_trial=request.is_trial,
        is_granted=is_granted,
    )
    state.send_synced(request.sender, reply)


def _count_pre_vote(state: RaftState, reply: VoteReply) -> None:
    is_current = reply.term == state.hard_state.term + 1
    if is_current and state.role is Role.PRE_CANDIDATE:
        state.votes.add(reply.sender)
        if state.is_quorum(state.votes):
            _start_election(state)


def _start_election(state: RaftState) -> None:
    state.change_role(RoleEvent.PRE_VOTE_WON)
    state.write_hard_state(state.hard_state.term + 1, state.me)
    state.verified_index = 0
    # The pre-vote showed that a majority has no leader, so after a split vote
    # the next election need not wait for one.  With the full timeout, an
    # election took a second longer when the disk of one replica was full.
    state.set_short_election_timer()
    state.votes = set()
    _request_votes(state, is_trial=False)


def _request_votes(state: RaftState, is_trial: bool) -> None:
    term = state.hard_state.term + 1 if is_trial else state.hard_state.term
    for voter in state.log.voters:
        if voter == state.me:
            continue
        request = VoteRequest(
            sender=state.me,
            target_incarnation=voter.incarnation,
            term=term,
            is_trial=is_trial,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
        )
        state.send_synced(voter, request)


def _lead_if_elected(state: RaftState) -> None:
    if state.is_quorum(state.votes):
        state.change_role(RoleEvent.VOTE_WON)
        leading.become_leader(state)
