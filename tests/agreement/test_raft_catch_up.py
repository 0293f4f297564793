"""Bring a replica up to date whose log ends in entries of a lost leader."""

from __future__ import annotations

import random
from collections.abc import Sequence

import testtools
from testtools import matchers

from tests.builders_raft import stored_log
from wigeonreach.agreement._raft import Raft
from wigeonreach.agreement._raft_log import encode_voters
from wigeonreach.agreement._raft_types import (
    WritesSynced,
    TransferLeadership,
    OutgoingMessage,
    RaftEvent,
    RaftSettings,
    Received,
    Role,
    Tick,
)
from wigeonreach.agreement._storage import StoredState
from wigeonreach.wire._raft_messages import (
    AppendEntries,
    EntryKind,
    Join,
    LogEntry,
    MemberId,
    VoteReply,
    VoteRequest,
)

_SHARED = 760
_CONFLICTING = 24
_MISSED = 1500
_STEP_S = 0.2
_STEPS = 60
_SETTINGS = RaftSettings()
_OPEN = RaftSettings(voter_target=3)


class _Pair:
    """Two of three replicas, with a network that takes one step of time."""

    def __init__(
        self,
        settings: RaftSettings = _SETTINGS,
        lasting_voters: Sequence[str] = (),
    ) -> None:
        behind = stored_log('a', ((2, _SHARED), (3, _CONFLICTING)))
        ahead = stored_log('b', ((2, _SHARED), (4, _MISSED)))
        if lasting_voters:
            _change_voters(ahead, lasting_voters)
        self.rafts = {
            name: Raft(
                name,
                ('a', 'b', 'c'),
                stored,
                settings,
                random.Random(1),
            )
            for name, stored in (('a', behind), ('b', ahead))
        }
        self.in_flight: list[OutgoingMessage] = []
        self.sent_entries = 0

    def step(self, now_s: float) -> None:
        """Deliver what is under way; a tick comes before each delivery."""
        arriving = self.in_flight
        self.in_flight = []
        for name, raft in self.rafts.items():
            events = [
                Received(outgoing.message)
                for outgoing in arriving
                if outgoing.target == name
            ]
            self._run(raft, now_s, events)

    def tell(self, name: str, event: RaftEvent, now_s: float) -> None:
        """Let something happen to one replica."""
        self._run(self.rafts[name], now_s, [event])

    def _run(
        self,
        raft: Raft,
        now_s: float,
        events: Sequence[RaftEvent],
    ) -> None:
        for batch in ((Tick(),), events):
            output = raft.step(batch, now_s)
            self.in_flight.extend(output.messages)
            while output.writes:
                done = WritesSynced(output.writes[-1].number)
                output = raft.step((done,), now_s)
                self.in_flight.extend(output.messages)
        self.sent_entries = sum(
            len(outgoing.message.entries)
            for outgoing in self.in_flight
            if isinstance(outgoing.message, AppendEntries)
        )


def _change_voters(stored: StoredState, names: Sequence[str]) -> None:
    """Let a log end with an entry that changes the voters."""
    last_index = stored.log.last_index
    voters = tuple(MemberId(name, 1) for name in names)
    entry = LogEntry(
        last_index + 1,
        stored.log.last_term,
        EntryKind.VOTERS,
        encode_voters(voters),
    )
    stored.log.store((entry,))


class TestCatchUp(testtools.TestCase):
    """A leader and a replica that led before, while it was cut off."""

    def test_conflicting_end_is_replaced(self) -> None:
        """Heartbeats between the refusals don't undo what they taught."""
        pair = _Pair()
        most_entries = 0
        for number in range(_STEPS):
            pair.step(number * _STEP_S)
            most_entries = max(most_entries, pair.sent_entries)
        leader = pair.rafts['b'].state
        self.assertThat(leader.role, matchers.Equals(Role.LEADER))
        self.assertThat(
            pair.rafts['a'].state.log.last_index,
            matchers.Equals(leader.log.last_index),
        )
        self.assertThat(leader.commit_index, matchers.GreaterThan(_SHARED))


class TestHandOver(testtools.TestCase):
    """A leader that is told to end."""

    def test_other_replica_leads_at_once(self) -> None:
        """It takes messages only, and no election timeout."""
        pair = _Pair()
        for number in range(_STEPS):
            pair.step(number * _STEP_S)
        began_s = _STEPS * _STEP_S
        pair.tell('b', TransferLeadership(), began_s)
        for late in range(6):
            pair.step(began_s + late * 0.01)
        roles = {name: raft.state.role for name, raft in pair.rafts.items()}
        self.assertThat(
            roles,
            matchers.Equals({'a': Role.LEADER, 'b': Role.FOLLOWER}),
        )


class TestSilentLearner(testtools.TestCase):
    """A replica without a vote that is gone, and may come back."""

    def test_leader_stops_sending_to_it(self) -> None:
        """And takes it up again once it asks again."""
        pair = _Pair(_OPEN)
        for number in range(_STEPS):
            pair.step(number * _STEP_S)
        now_s = _STEPS * _STEP_S
        self._join(pair, now_s)
        self.assertThat(self._is_followed(pair), matchers.Is(True))
        for _ in range(_STEPS):
            now_s += _STEP_S
            pair.step(now_s)
        self.assertThat(self._is_followed(pair), matchers.Is(False))
        self._join(pair, now_s)
        self.assertThat(self._is_followed(pair), matchers.Is(True))

    def _join(self, pair: _Pair, now_s: float) -> None:
        join = Join(MemberId('d', 1), 0, 0, is_blank=True)
        pair.tell('b', Received(join), now_s)

    def _is_followed(self, pair: _Pair) -> bool:
        lead = pair.rafts['b'].state.leader_state
        assert lead is not None
        return any(member.name == 'd' for member in lead.progress)


class TestReplacedVoter(testtools.TestCase):
    """A voter in whose place another was put while it stood still."""

    def test_it_is_brought_up_to_date(self) -> None:
        """It asks for votes, as its log says that it has one."""
        pair = _Pair(_OPEN, lasting_voters=('b',))
        for number in range(_STEPS):
            pair.step(number * _STEP_S)
        leader = pair.rafts['b'].state
        behind = pair.rafts['a'].state
        self.assertThat(leader.role, matchers.Equals(Role.LEADER))
        self.assertThat(behind.leader, matchers.Equals(leader.me))
        self.assertThat(
            behind.log.last_index,
            matchers.Equals(leader.log.last_index),
        )
        # Its place is free, so it counts again.
        self.assertThat(behind.is_voter, matchers.Is(True))


class TestSplitVotes(testtools.TestCase):
    """A candidate that wins its trial, and not the votes."""

    def test_next_election_is_soon(self) -> None:
        """Sooner than after the silence of a leader."""
        for seed in range(20):
            began_s = self._campaigns_s(seed)
            pause_s = began_s[1] - began_s[0]
            self.assertThat(pause_s, matchers.LessThan(0.95))
            self.assertThat(pause_s, matchers.GreaterThan(0.25))

    def _campaigns_s(self, seed: int) -> list[float]:
        """Return when a replica began to campaign, twice."""
        stored = stored_log('a', ((2, 1),))
        rng = random.Random(seed)
        raft = Raft('a', ('a', 'b', 'c'), stored, _SETTINGS, rng)
        began_s: list[float] = []
        now_s = 0.0
        while len(began_s) < 2:
            now_s += 0.01
            output = raft.step((Tick(),), now_s)
            requests = [
                sent.message
                for sent in output.messages
                if isinstance(sent.message, VoteRequest)
            ]
            if any(request.is_trial for request in requests):
                began_s.append(now_s)
                granted = VoteReply(
                    MemberId('b', 1),
                    1,
                    requests[0].term,
                    is_trial=True,
                    is_granted=True,
                )
                output = raft.step((Received(granted),), now_s)
            if output.writes:
                raft.step((WritesSynced(output.writes[-1].number),), now_s)
        return began_s
