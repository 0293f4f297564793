"""Found the agreement once, and count repaired replicas again.

The voters are disks, not names.  A replica whose folder is empty is a new
disk: it asks to join, the leader brings it up to date, and only then is the
lost disk taken out of the voters and, in a second entry, the new one put in.
Each step changes the voters by one, so that majorities before and after it
always share a voter.
"""

from __future__ import annotations

from wigeonreach.agreement._raft_log import encode_voters
from wigeonreach.agreement._raft_state import LeaderState, Progress, RaftState
from wigeonreach.agreement._raft_types import RoleEvent
from wigeonreach.wire._raft_messages import EntryKind, Join, MemberId

_FIRST_TERM = 1


def ask_to_join(state: RaftState) -> None:
    """Tell all others that this replica has no vote."""
    state.join_due_s = state.now_s + state.settings.join_s
    for name in sorted({*state.names, *state.contacts, *_voter_names(state)}):
        if name == state.name:
            continue
        known = state.joins.get(name)
        target = known or MemberId(name, 0)
        join = Join(
            sender=state.me,
            target_incarnation=target.incarnation,
            term=state.hard.term,
            is_blank=state.is_blank,
        )
        state.send(target, join)
    found_if_all_blank(state)


def on_join(state: RaftState, join: Join) -> None:
    """Take a replica without a vote up as a learner."""
    is_open = state.settings.voter_target > 0
    if not is_open and join.sender.name not in state.names:
        return
    state.joins[join.sender.name] = join.sender
    # A blank join counts only if it was sent after the sender heard of this
    # very disk: one from before it was lost tells nothing.
    if join.is_blank and join.target_incarnation == state.me.incarnation:
        state.blank_joins.add(join.sender)
    else:
        state.blank_joins.discard(join.sender)
    if state.leading is not None:
        _add_learner(state, state.leading, join.sender)
    found_if_all_blank(state)


def note_campaign(state: RaftState, candidate: MemberId) -> None:
    """Bring a replica up to date that lost its vote while it was silent.

    It does not know that it has none, so it asks for votes instead of asking to
    join, for ever: a frozen or cut off voter in whose place another one was put
    would be lost for good.
    """
    if state.leading is not None and state.settings.voter_target:
        _add_learner(state, state.leading, candidate)


def found_if_all_blank(state: RaftState) -> None:
    """Make all replicas voters if none of them ever took part in anything.

    Only the first of the configured names does this, so that there is one
    founding; its entry is not committed before a quorum stored it.
    """
    if not state.is_blank or state.name != state.names[0]:
        return
    others = [
        state.joins.get(name) for name in state.names if name != state.name
    ]
    blank = [member for member in others if member in state.blank_joins]
    if len(blank) < len(others):
        return
    voters = tuple(sorted((state.me, *filter(None, blank))))
    state.write_hard(_FIRST_TERM, state.me)
    state.append(EntryKind.VOTERS, encode_voters(voters))
    state.change_role(RoleEvent.BECAME_VOTER)
    state.election_due_s = state.now_s


def note_progress(state: RaftState, progress: Progress) -> None:
    """Judge whether a learner keeps up.

    The log grows meanwhile; it is caught up when it covers what had gathered
    during one round within the time of one election.
    """
    if progress.match_index < progress.goal_index:
        return
    taken_s = state.now_s - progress.goal_since_s
    progress.is_caught_up = taken_s <= state.settings.election_min_s
    progress.goal_index = state.log.last_index
    progress.goal_since_s = state.now_s


def forget_silent_learners(state: RaftState) -> None:
    """Send nothing more to replicas without a vote that are gone."""
    lead = state.leading
    if lead is None:
        return
    oldest_s = state.now_s - state.settings.forget_learner_s
    for learner in _learners(state, lead):
        if lead.progress[learner].heard_s < oldest_s:
            lead.progress.pop(learner)


def admit_caught_up(state: RaftState) -> None:
    """Change the voters by one step towards a caught up learner."""
    lead = state.leading
    if lead is None or not _may_change(state, lead):
        return
    if _drop_spare_voter(state, lead):
        return
    for learner in _learners(state, lead):
        progress = lead.progress[learner]
        is_alive = not _is_silent(state, progress)
        is_ready = progress.is_caught_up and is_alive
        if is_ready and _is_wanted(state, lead, learner):
            _admit(state, lead, learner)
            return


def _admit(state: RaftState, lead: LeaderState, learner: MemberId) -> None:
    kept = [voter for voter in state.log.voters if voter.name != learner.name]
    lost = set(state.log.voters).difference(kept)
    if not lost:
        kept.append(learner)
    for disk in lost:
        progress = lead.progress.get(disk)
        if progress is not None and not _is_silent(state, progress):
            # Two processes share a name; the one that counts goes on.
            return
        lead.progress.pop(disk, None)
    state.append(EntryKind.VOTERS, encode_voters(tuple(sorted(kept))))


def _is_wanted(
    state: RaftState,
    lead: LeaderState,
    learner: MemberId,
) -> bool:
    """Whether a learner gets a vote, where any replica may join."""
    target = state.settings.voter_target
    voters = state.log.voters
    if not target or learner.name in _voter_names(state):
        return True
    has_lost_voter = any(_is_lost(state, lead, voter) for voter in voters)
    return len(voters) < target + has_lost_voter


def _drop_spare_voter(state: RaftState, lead: LeaderState) -> bool:
    """Take a voter's vote away once another one has its place."""
    target = state.settings.voter_target
    voters = state.log.voters
    if not target or len(voters) <= target:
        return False
    others = [voter for voter in voters if voter != state.me]
    # The one that was heard of last longest ago counts least.
    dropped = min(others, key=lambda voter: _heard_s(lead, voter))
    kept = tuple(voter for voter in voters if voter != dropped)
    state.append(EntryKind.VOTERS, encode_voters(kept))
    if _is_lost(state, lead, dropped):
        lead.progress.pop(dropped, None)
    return True


def _is_lost(state: RaftState, lead: LeaderState, voter: MemberId) -> bool:
    if voter == state.me:
        return False
    silence_s = state.now_s - _heard_s(lead, voter)
    return silence_s > state.settings.replace_silent_s


def _heard_s(lead: LeaderState, voter: MemberId) -> float:
    progress = lead.progress.get(voter)
    return progress.heard_s if progress else float('-inf')


def _voter_names(state: RaftState) -> set[str]:
    return {voter.name for voter in state.log.voters}


def _is_silent(state: RaftState, progress: Progress) -> bool:
    return state.now_s - progress.heard_s > state.settings.election_min_s


def _may_change(state: RaftState, lead: LeaderState) -> bool:
    # One change at a time, and none before the leader's term has committed:
    # an older leader's unfinished change could otherwise come back.
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
        heard_s=state.now_s,
        goal_index=state.log.last_index,
        goal_since_s=state.now_s,
    )
    lead.heartbeat_due_s = state.now_s
