"""Cluster membership: bootstrap the cluster, replace and add voters.

A voter is a replica together with its disk, not a name.  A replica whose data
folder is empty has a new disk: it asks to join, and the leader brings it up to
date as a learner.  Only then does one entry remove the lost disk from the
voters, and a second entry add the new one.  Each entry changes the voters by
one, so that majorities before and after it always share a voter.
"""

from __future__ import annotations

from wigeonreach.agreement._raft_log import encode_voters
from wigeonreach.agreement._raft_state import LeaderState, Progress, RaftState
from wigeonreach.agreement._raft_types import RoleEvent
from wigeonreach.wire._raft_messages import EntryKind, Join, MemberId

_FIRST_TERM = 1


def ask_to_join(state: RaftState) -> None:
    """Ask all known replicas to let this one join, as it has no vote."""
    state.join_due_s = state.now_s + state.settings.join_s
    for name in sorted(
        {*state.replica_names, *state.known_peers, *_voter_names(state)}
    ):
        if name == state.name:
            continue
        known = state.joining_members.get(name)
        target = known or MemberId(name, 0)
        join = Join(
            sender=state.me,
            target_incarnation=target.incarnation,
            term=state.hard_state.term,
            is_blank=state.is_blank,
        )
        state.send(target, join)
    bootstrap_if_all_blank(state)


def on_join(state: RaftState, join: Join) -> None:
    """Register a replica without a vote; on the leader, add it as a learner."""
    is_open = state.settings.voter_target > 0
    if not is_open and join.sender.name not in state.replica_names:
        return
    state.joining_members[join.sender.name] = join.sender
    # A blank join counts only if the sender addressed it to this disk.  One
    # that was sent before this replica lost its disk proves nothing, since
    # the cluster may have been bootstrapped with the lost disk.
    if join.is_blank and join.target_incarnation == state.me.incarnation:
        state.blank_members.add(join.sender)
    else:
        state.blank_members.discard(join.sender)
    if state.leader_state is not None:
        _add_learner(state, state.leader_state, join.sender)
    bootstrap_if_all_blank(state)


def add_campaigning_learner(state: RaftState, candidate: MemberId) -> None:
    """Add a replica that lost its vote while it was silent as a learner.

    Such a replica was frozen or partitioned while another voter replaced it.
    It does not know that it has no vote, so it keeps asking for votes instead
    of asking to join, and could otherwise never rejoin.
    """
    if state.leader_state is not None and state.settings.voter_target:
        _add_learner(state, state.leader_state, candidate)


def bootstrap_if_all_blank(state: RaftState) -> None:
    """Bootstrap the cluster if all configured replicas are blank.

    Only the replica whose name is configured first does this, so that the
    cluster is bootstrapped once.  The entry that makes all replicas voters is
    committed once a quorum has stored it.
    """
    if not state.is_blank or state.name != state.replica_names[0]:
        return
    others = [
        state.joining_members.get(name)
        for name in state.replica_names
        if name != state.name
    ]
    blank = [member for member in others if member in state.blank_members]
    if len(blank) < len(others):
        return
    voters = tuple(sorted((state.me, *filter(None, blank))))
    state.write_hard_state(_FIRST_TERM, state.me)
    state.append(EntryKind.VOTERS, encode_voters(voters))
    state.change_role(RoleEvent.BECAME_VOTER)
    state.election_due_s = state.now_s


def update_caught_up(state: RaftState, progress: Progress) -> None:
    """Check whether a learner has caught up with the log.

    The log grows in the meantime, so catching up takes rounds: in each, the
    learner replicates the entries that existed when the round began.  It has
    caught up if its last round took at most ``election_min_s``.
    """
    if progress.match_index < progress.catch_up_index:
        return
    round_s = state.now_s - progress.catch_up_started_s
    progress.is_caught_up = round_s <= state.settings.election_min_s
    progress.catch_up_index = state.log.last_index
    progress.catch_up_started_s = state.now_s


def drop_silent_learners(state: RaftState) -> None:
    """Stop replicating to learners that have been silent for too long."""
    lead = state.leader_state
    if lead is None:
        return
    oldest_s = state.now_s - state.settings.forget_learner_s
    for learner in _learners(state, lead):
        if lead.progress[learner].last_heard_s < oldest_s:
            lead.progress.pop(learner)


def promote_caught_up(state: RaftState) -> None:
    """Remove a surplus voter, or take a step to make a learner a voter.

    Only a learner that caught up becomes a voter.  If a voter has the same
    name, the first step removes it and a later one adds the learner.  Nothing
    is changed while an earlier change is not committed.
    """
    lead = state.leader_state
    if lead is None or not _can_change_voters(state, lead):
        return
    if _remove_surplus_voter(state, lead):
        return
    for learner in _learners(state, lead):
        progress = lead.progress[learner]
        is_alive = not _is_silent(state, progress)
        is_ready = progress.is_caught_up and is_alive
        if is_ready and _may_become_voter(state, lead, learner):
            _promote(state, lead, learner)
            return


def _promote(state: RaftState, lead: LeaderState, learner: MemberId) -> None:
    kept = [voter for voter in state.log.voters if voter.name != learner.name]
    lost_voters = set(state.log.voters).difference(kept)
    if not lost_voters:
        kept.append(learner)
    for voter in lost_voters:
        progress = lead.progress.get(voter)
        if progress is not None and not _is_silent(state, progress):
            # Two live processes share a name; the current voter stays.
            return
        lead.progress.pop(voter, None)
    state.append(EntryKind.VOTERS, encode_voters(tuple(sorted(kept))))


def _may_become_voter(
    state: RaftState,
    lead: LeaderState,
    learner: MemberId,
) -> bool:
    """Whether a learner may vote, given the wanted number of voters."""
    target = state.settings.voter_target
    voters = state.log.voters
    if not target or learner.name in _voter_names(state):
        return True
    has_replaceable_voter = any(
        _is_replaceable(state, lead, voter) for voter in voters
    )
    return len(voters) < target + has_replaceable_voter


def _remove_surplus_voter(state: RaftState, lead: LeaderState) -> bool:
    """Remove the voter that was silent the longest, if there are too many."""
    target = state.settings.voter_target
    voters = state.log.voters
    if not target or len(voters) <= target:
        return False
    others = [voter for voter in voters if voter != state.me]
    # The voter whose last message is the oldest.
    dropped = min(others, key=lambda voter: _last_heard_s(lead, voter))
    kept = tuple(voter for voter in voters if voter != dropped)
    state.append(EntryKind.VOTERS, encode_voters(kept))
    if _is_replaceable(state, lead, dropped):
        lead.progress.pop(dropped, None)
    return True


def _is_replaceable(
    state: RaftState, lead: LeaderState, voter: MemberId
) -> bool:
    if voter == state.me:
        return False
    silence_s = state.now_s - _last_heard_s(lead, voter)
    return silence_s > state.settings.replace_silent_s


def _last_heard_s(lead: LeaderState, voter: MemberId) -> float:
    progress = lead.progress.get(voter)
    return progress.last_heard_s if progress else float('-inf')


def _voter_names(state: RaftState) -> set[str]:
    return {voter.name for voter in state.log.voters}


def _is_silent(state: RaftState, progress: Progress) -> bool:
    return state.now_s - progress.last_heard_s > state.settings.election_min_s


def _can_change_voters(state: RaftState, lead: LeaderState) -> bool:
    # One change at a time, and none before an entry of the leader's term is
    # committed: an uncommitted change of an earlier leader could otherwise
    # come into effect again.
    is_settled = state.log.voters_index <= state.commit_index
    return is_settled and state.commit_index >= lead.first_index


def _learners(state: RaftState, lead: LeaderState) -> list[MemberId]:
    return sorted(set(lead.progress).difference(state.log.voters))


def _add_learner(
    state: RaftState,
    lead: LeaderState,
    member: MemberId,
) -> None:
    if member in lead.progress or member in state.log.voters:
        return
    for learner in _learners(state, lead):
        if learner.name == member.name:
            lead.progress.pop(learner)
    lead.progress[member] = Progress(
        next_index=state.log.last_index + 1,
        last_heard_s=state.now_s,
        catch_up_index=state.log.last_index,
        catch_up_started_s=state.now_s,
    )
    lead.heartbeat_due_s = state.now_s
