"""Elect a leader, after a trial that shows that it could win."""

from __future__ import annotations

from wigeonreach.agreement import _raft_leading as leading
from wigeonreach.agreement import _raft_members as members
from wigeonreach.agreement._raft_state import RaftState
from wigeonreach.agreement._raft_types import Role, RoleEvent
from wigeonreach.wire._raft_messages import LeadNow, VoteReply, VoteRequest


def start_trial(state: RaftState) -> None:
    """Ask the other voters whether they would vote for this replica.

    A replica that was cut off learns so that it can't win, and does not
    depose a leader by a newer term when it comes back.
    """
    state.change_role(RoleEvent.ELECTION_DUE)
    state.leader = None
    state.delay_election()
    state.votes = {state.me}
    if state.is_quorum(state.votes):
        _start_election(state)
        return
    _request_votes(state, is_trial=True)


def on_lead_now(state: RaftState, message: LeadNow) -> None:
    """Be elected at once, as the leader of this term asks.

    No trial is needed: the leader itself gives its place away, and the vote
    shows whether this log has all that is committed.
    """
    is_current = message.term == state.hard.term
    if is_current and state.is_voter and state.leading is None:
        state.change_role(RoleEvent.ELECTION_DUE)
        state.leader = None
        _start_election(state)


def on_vote_request(state: RaftState, request: VoteRequest) -> None:
    """Give a vote to a candidate that has all that is stored here."""
    if request.is_trial:
        members.note_campaign(state, request.sender)
        _answer_trial(state, request)
        return
    state.see_term(request.term)
    is_granted = _may_vote(state, request)
    if is_granted:
        state.write_hard(request.term, request.sender)
        state.delay_election()
    _answer(state, request, is_granted)


def on_vote_reply(state: RaftState, reply: VoteReply) -> None:
    """Count a vote."""
    if reply.is_trial and reply.is_granted:
        _count_trial(state, reply)
        return
    state.see_term(reply.term)
    is_current = reply.term == state.hard.term
    if reply.is_granted and is_current and state.role is Role.CANDIDATE:
        state.votes.add(reply.sender)
        _lead_if_elected(state)


def on_own_vote_synced(state: RaftState) -> None:
    """Count the own vote once it can't be forgotten."""
    is_synced = all(
        pending.write.hard is None for pending in state.unsynced.values()
    )
    if state.role is Role.CANDIDATE and is_synced:
        state.votes.add(state.me)
        _lead_if_elected(state)


def _answer_trial(state: RaftState, request: VoteRequest) -> None:
    silence_s = state.now_s - state.heard_leader_s
    has_leader = (
        state.role is Role.LEADER or silence_s < state.settings.election_min_s
    )
    is_behind = state.log.is_newer_than(request.last_index, request.last_term)
    is_granted = (
        request.term > state.hard.term and not has_leader and not is_behind
    )
    _answer(state, request, is_granted)


def _may_vote(state: RaftState, request: VoteRequest) -> bool:
    is_free = state.hard.vote in {None, request.sender}
    is_behind = state.log.is_newer_than(request.last_index, request.last_term)
    return request.term == state.hard.term and is_free and not is_behind


def _answer(state: RaftState, request: VoteRequest, is_granted: bool) -> None:
    reply = VoteReply(
        sender=state.me,
        target_incarnation=request.sender.incarnation,
        term=request.term if is_granted else state.hard.term,
        is_trial=request.is_trial,
        is_granted=is_granted,
    )
    state.send_synced(request.sender, reply)


def _count_trial(state: RaftState, reply: VoteReply) -> None:
    is_current = reply.term == state.hard.term + 1
    if is_current and state.role is Role.PRE_CANDIDATE:
        state.votes.add(reply.sender)
        if state.is_quorum(state.votes):
            _start_election(state)


def _start_election(state: RaftState) -> None:
    state.change_role(RoleEvent.PRE_VOTE_WON)
    state.write_hard(state.hard.term + 1, state.me)
    state.verified_index = 0
    # The trial showed that nobody has a leader: if the votes are split, there is
    # nothing to wait for.  Beside a full disk that took a second more.
    state.hasten_election()
    state.votes = set()
    _request_votes(state, is_trial=False)


def _request_votes(state: RaftState, is_trial: bool) -> None:
    term = state.hard.term + 1 if is_trial else state.hard.term
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
        leading.start(state)
