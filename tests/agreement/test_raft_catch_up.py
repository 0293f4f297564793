"""Test how replicas catch up, are replaced, and hand over leadership."""

from __future__ import annotations

import random
from collections.abc import Sequence

import testtools
from testtools import matchers

from tests.builders_raft import build_stored_state
from wigeonreach.agreement._raft import Raft
from wigeonreach.agreement._raft_log import encode_voters
from wigeonreach.agreement._raft_types import (
    OutgoingMessage,
    RaftEvent,
    RaftSettings,
    Received,
    Role,
    Tick,
    TransferLeadership,
    WritesSynced,
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

_SHARED_ENTRIES = 760
_CONFLICTING_ENTRIES = 24
_MISSED_ENTRIES = 1500
_STEP_S = 0.2
_STEPS = 60
_SETTINGS = RaftSettings()
_OPEN_MEMBERSHIP = RaftSettings(voter_target=3)


class _TwoReplicas:
    """Two of three replicas; each message takes one step to be delivered."""

    def __init__(
        self,
        settings: RaftSettings = _SETTINGS,
        lasting_voters: Sequence[str] = (),
    ) -> None:
        behind = build_stored_state(
            'a', ((2, _SHARED_ENTRIES), (3, _CONFLICTING_ENTRIES))
        )
        ahead = build_stored_state(
            'b', ((2, _SHARED_ENTRIES), (4, _MISSED_ENTRIES))
        )
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
        """Deliver all messages in flight, after a tick on each replica."""
        arriving = self.in_flight
        self.in_flight = []
        for name, raft in self.rafts.items():
            events = [
                Received(outgoing.message)
                for outgoing in arriving
                if outgoing.target == name
            ]
            self._run(raft, now_s, events)

    def send_event(self, name: str, event: RaftEvent, now_s: float) -> None:
        """Pass an event to one replica."""
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
    """Append an entry that sets the voters to a log."""
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
    """A leader, and a former one that appended entries while partitioned."""

    def test_conflicting_end_is_replaced(self) -> None:
        """Heartbeats between rejections don't move the next index back up."""
        replicas = _TwoReplicas()
        most_entries = 0
        for number in range(_STEPS):
            replicas.step(number * _STEP_S)
            most_entries = max(most_entries, replicas.sent_entries)
        leader = replicas.rafts['b'].state
        self.assertThat(leader.role, matchers.Equals(Role.LEADER))
        self.assertThat(
            replicas.rafts['a'].state.log.last_index,
            matchers.Equals(leader.log.last_index),
        )
        self.assertThat(
            leader.commit_index, matchers.GreaterThan(_SHARED_ENTRIES)
        )


class TestHandOver(testtools.TestCase):
    """A leader that is told to stop."""

    def test_other_replica_leads_at_once(self) -> None:
        """The new leader is elected without waiting for an election timeout."""
        replicas = _TwoReplicas()
        for number in range(_STEPS):
            replicas.step(number * _STEP_S)
        began_s = _STEPS * _STEP_S
        replicas.send_event('b', TransferLeadership(), began_s)
        for late in range(6):
            replicas.step(began_s + late * 0.01)
        roles = {name: raft.state.role for name, raft in replicas.rafts.items()}
        self.assertThat(
            roles,
            matchers.Equals({'a': Role.LEADER, 'b': Role.FOLLOWER}),
        )


class TestSilentLearner(testtools.TestCase):
    """A learner that falls silent, and may come back."""

    def test_leader_stops_sending_to_it(self) -> None:
        """The leader replicates to it again once it asks to join again."""
        replicas = _TwoReplicas(_OPEN_MEMBERSHIP)
        for number in range(_STEPS):
            replicas.step(number * _STEP_S)
        now_s = _STEPS * _STEP_S
        self._join(replicas, now_s)
        self.assertThat(self._is_replicated_to(replicas), matchers.Is(True))
        for _ in range(_STEPS):
            now_s += _STEP_S
            replicas.step(now_s)
        self.assertThat(self._is_replicated_to(replicas), matchers.Is(False))
        self._join(replicas, now_s)
        self.assertThat(self._is_replicated_to(replicas), matchers.Is(True))

    def _join(self, replicas: _TwoReplicas, now_s: float) -> None:
        join = Join(MemberId('d', 1), 0, 0, is_blank=True)
        replicas.send_event('b', Received(join), now_s)

    def _is_replicated_to(self, replicas: _TwoReplicas) -> bool:
        lead = replicas.rafts['b'].state.leader_state
        assert lead is not None
        return any(member.name == 'd' for member in lead.progress)


class TestReplacedVoter(testtools.TestCase):
    """A voter that was replaced by another one while it was frozen."""

    def test_it_is_brought_up_to_date(self) -> None:
        """It asks for votes, as it is still a voter in its own log.

        The leader then adds it as a learner; otherwise it would ask for ever.
        """
        replicas = _TwoReplicas(_OPEN_MEMBERSHIP, lasting_voters=('b',))
        for number in range(_STEPS):
            replicas.step(number * _STEP_S)
        leader = replicas.rafts['b'].state
        behind = replicas.rafts['a'].state
        self.assertThat(leader.role, matchers.Equals(Role.LEADER))
        self.assertThat(behind.leader, matchers.Equals(leader.me))
        self.assertThat(
            behind.log.last_index,
            matchers.Equals(leader.log.last_index),
        )
        # There are fewer voters than wanted, so it becomes one again.
        self.assertThat(behind.is_voter, matchers.Is(True))


class TestSplitVotes(testtools.TestCase):
    """A candidate that wins the pre-vote, but not the election."""

    def test_next_election_is_soon(self) -> None:
        """The next election starts sooner than after a leader fell silent."""
        for seed in range(20):
            began_s = self._election_starts_s(seed)
            pause_s = began_s[1] - began_s[0]
            self.assertThat(pause_s, matchers.LessThan(0.95))
            self.assertThat(pause_s, matchers.GreaterThan(0.25))

    def _election_starts_s(self, seed: int) -> list[float]:
        """Return the times of a replica's first two pre-votes."""
        stored = build_stored_state('a', ((2, 1),))
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
