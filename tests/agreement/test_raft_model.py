"""Test the safety of Raft under simulated failures."""

from __future__ import annotations

import dataclasses
import random
from unittest import mock

import hypothesis
import msgspec
import testtools
from hypothesis import stateful
from hypothesis import strategies as st
from testtools import matchers

from tests.builders_raft import (
    NAMES,
    Node,
    SafetyViolationError,
    Simulation,
)
from wigeonreach.agreement import _raft_membership
from wigeonreach.agreement._raft_state import LeaderState, RaftState
from wigeonreach.agreement._raft_types import RaftEvent, WritesSynced
from wigeonreach.agreement._storage import StoredState
from wigeonreach.wire._raft_messages import MemberId

_RUNS = 12
_MAX_RUNS_UNTIL_FOUND = 200
_ACTIONS = 250
_RACES = 60
_ANY = st.sampled_from(NAMES)


@dataclasses.dataclass(frozen=True, slots=True)
class _FailureRates:
    """How often failures occur in one run; the rates differ between runs."""

    rng: random.Random
    failures_percent: int
    restarts_percent: int
    losses_percent: int
    tick_s: float
    seed: int

    @classmethod
    def draw(cls, seed: int) -> _FailureRates:
        """Draw the rates of a run from its seed."""
        rng = random.Random(seed)
        return cls(
            rng,
            failures_percent=rng.choice((2, 5, 15)),
            restarts_percent=rng.choice((0, 0, 2, 8)),
            losses_percent=rng.choice((0, 5, 30)),
            tick_s=rng.choice((0.1, 0.3, 0.9)),
            seed=seed,
        )

    def happens(self, percent: int) -> bool:
        """Return True with a probability in percent."""
        return self.rng.randrange(100) < percent


def _inject_event(simulation: Simulation, rates: _FailureRates) -> None:
    """Let one event happen: mostly normal operation, sometimes a failure."""
    rng = rates.rng
    node = simulation.nodes[rng.choice(NAMES)]
    if rates.happens(rates.failures_percent):
        rng.choice(_FAILURES)(simulation, node, rng)
        return
    draw = rng.randrange(10)
    if draw < 2:
        simulation.propose(simulation.leader_or(node))
    elif draw < 3:
        simulation.read(simulation.leader_or(node))
    elif draw < 4:
        simulation.tick(node, rates.tick_s)
    else:
        _make_progress(simulation, rates)


def _make_progress(simulation: Simulation, rates: _FailureRates) -> None:
    """Deliver messages in random order, and let disks and clocks advance."""
    for _ in tuple(simulation.in_flight):
        node = simulation.nodes[rates.rng.choice(NAMES)]
        is_kept = rates.happens(rates.losses_percent)
        simulation.deliver(rates.rng.randrange(10_000), is_kept)
        if rates.happens(40):
            simulation.write(node)
        if rates.happens(rates.restarts_percent):
            simulation.crash(node)
            simulation.start(node)
    for late in simulation.nodes.values():
        simulation.tick(late, rates.tick_s / 3)
    if rates.happens(rates.losses_percent):
        simulation.lose_messages(0.3)


def _crash(simulation: Simulation, node: Node, _: random.Random) -> None:
    simulation.crash(node)


def _restart(simulation: Simulation, node: Node, _: random.Random) -> None:
    simulation.crash(node)
    simulation.start(node)


def _crash_in_write(
    simulation: Simulation,
    node: Node,
    rng: random.Random,
) -> None:
    simulation.write(node, crash_after=rng.randrange(8))


def _lose_all(simulation: Simulation, _: Node, rng: random.Random) -> None:
    simulation.lose_messages(1)


def _snapshot(simulation: Simulation, node: Node, _: random.Random) -> None:
    simulation.snapshot(node)


def _lose_disk(simulation: Simulation, node: Node, _: random.Random) -> None:
    if simulation.can_lose_a_disk():
        simulation.lose_disk(node)


def _start_all(simulation: Simulation, _: Node, rng: random.Random) -> None:
    for node in simulation.nodes.values():
        simulation.start(node)


def _race_elections(
    simulation: Simulation, node: Node, rng: random.Random
) -> None:
    """Let two replicas start elections at once while the third restarts."""
    simulation.lose_messages(1)
    for rival in simulation.nodes.values():
        if rival is not node:
            simulation.tick(rival, 1.6)
    for _ in range(30):
        simulation.deliver(rng.randrange(10_000))
        chosen = simulation.nodes[rng.choice(NAMES)]
        simulation.write(chosen)
        if chosen is node and not rng.randrange(3):
            simulation.crash(node)
            simulation.start(node)


_FAILURES = (
    _crash,
    _restart,
    _crash_in_write,
    _lose_all,
    _lose_disk,
    _race_elections,
    _snapshot,
    _start_all,
    _start_all,
)


def _run(seed: int, node_type: type[Node] = Node) -> Simulation:
    rates = _FailureRates.draw(seed)
    simulation = Simulation(seed, node_type)
    simulation.settle(60)
    for _ in range(_ACTIONS):
        _inject_event(simulation, rates)
    return simulation


def _finds_violation(node_type: type[Node] = Node) -> bool:
    for seed in range(_MAX_RUNS_UNTIL_FOUND):
        try:
            _run(seed, node_type).check_converged()
        except SafetyViolationError:
            return True
    return False


class TestRandomFailures(testtools.TestCase):
    """Safety in long random runs with all kinds of failures."""

    def test_promises_hold(self) -> None:
        """No acknowledged command is lost, and each term has one leader."""
        reads = 0
        changes = 0
        for seed in range(_RUNS):
            simulation = _run(seed)
            simulation.check_converged()
            reads += simulation.completed_reads
            changes += len(simulation.acknowledged)
        self.assertGreater(changes, 10 * _RUNS)
        self.assertGreater(reads, 5 * _RUNS)


class _FailingReplicas(stateful.RuleBasedStateMachine):
    """Failures that hypothesis chooses, and shrinks if one breaks a promise.

    The initial settling only saves steps; every rule may come at any moment.
    """

    def __init__(self) -> None:
        """Begin with three replicas that agree."""
        super().__init__()
        self._simulation = Simulation(seed=1)
        self._simulation.settle(60)

    @stateful.rule(rounds=st.integers(1, 60))
    def settle(self, rounds: int) -> None:
        """Let everything work for a while."""
        self._simulation.settle(rounds)

    @stateful.rule(name=_ANY, passed_s=st.sampled_from((0.05, 0.3, 1.6)))
    def tick(self, name: str, passed_s: float) -> None:
        """Let one replica notice that time passed."""
        self._simulation.tick(self._simulation.nodes[name], passed_s)

    @stateful.rule(name=_ANY, count=st.integers(1, 5))
    def propose(self, name: str, count: int) -> None:
        """Ask for changes."""
        node = self._simulation.leader_or(self._simulation.nodes[name])
        for _ in range(count):
            self._simulation.propose(node)

    @stateful.rule(chosen=st.integers(0, 50), is_kept=st.booleans())
    def deliver(self, chosen: int, is_kept: bool) -> None:
        """Deliver a message, out of order and perhaps twice."""
        self._simulation.deliver(chosen, is_kept)

    @stateful.rule(share=st.sampled_from((0.3, 1.0)))
    def lose_messages(self, share: float) -> None:
        """Lose messages under way."""
        self._simulation.lose_messages(share)

    @stateful.rule(name=_ANY, crash_after=st.none() | st.integers(0, 7))
    def write(self, name: str, crash_after: int | None) -> None:
        """Let a disk work, perhaps until a crash in the middle."""
        node = self._simulation.nodes[name]
        self._simulation.write(node, crash_after)

    @stateful.rule(name=_ANY, is_started=st.booleans())
    def crash(self, name: str, is_started: bool) -> None:
        """Kill a replica and perhaps start it at once."""
        node = self._simulation.nodes[name]
        self._simulation.crash(node)
        if is_started:
            self._simulation.start(node)

    @stateful.rule(name=_ANY)
    def lose_disk(self, name: str) -> None:
        """Lose a disk, if the one lost before counts again."""
        if self._simulation.can_lose_a_disk():
            node = self._simulation.nodes[name]
            self._simulation.lose_disk(node)
            self._simulation.start(node)

    @stateful.rule(name=_ANY)
    def snapshot(self, name: str) -> None:
        """Trim a log."""
        self._simulation.snapshot(self._simulation.nodes[name])

    def teardown(self) -> None:
        """Check that everything comes together without failures."""
        self._simulation.check_converged()


class TestRaces(testtools.TestCase):
    """Safety when two replicas compete for votes and the third restarts."""

    def test_one_leader_a_term(self) -> None:
        """A vote is remembered across a restart."""
        simulation = Simulation(1)
        _race_repeatedly(simulation, random.Random(1))
        simulation.check_converged()
        self.assertGreater(len(simulation.leaders), _RACES // 2)


class TestVoters(testtools.TestCase):
    """Changes of the voters."""

    def test_three_grow_to_five(self) -> None:
        """New replicas become voters; then two of five may lose their disks."""
        simulation = Simulation(1)
        simulation.settle(60)
        simulation.propose(simulation.leader_or(simulation.nodes['a']))
        simulation.add_replicas(('d', 'e'))
        simulation.settle(300)
        self.assertThat(simulation.committed_voters(), matchers.HasLength(5))
        for name in ('a', 'b'):
            simulation.lose_disk(simulation.nodes[name])
        simulation.settle(300)
        count = len(simulation.acknowledged)
        simulation.propose(simulation.leader_or(simulation.nodes['c']))
        simulation.settle(10)
        self.assertEqual(count + 1, len(simulation.acknowledged))
        simulation.check_converged()


class TestChosenFailures(testtools.TestCase):
    """Safety under failures that hypothesis chooses step by step."""

    def test_promises_hold(self) -> None:
        """No acknowledged command is lost, and all replicas apply the same."""
        stateful.run_state_machine_as_test(
            _FailingReplicas,
            settings=hypothesis.settings(
                database=None,
                deadline=None,
                derandomize=True,
                max_examples=40,
                stateful_step_count=40,
                suppress_health_check=list(hypothesis.HealthCheck),
            ),
        )


def _race_repeatedly(simulation: Simulation, rng: random.Random) -> None:
    for _ in range(_RACES):
        simulation.settle(60)
        _race_elections(simulation, simulation.nodes[rng.choice(NAMES)], rng)


_STEP = Simulation.step


def _step_unsynced(
    simulation: Simulation,
    node: Node,
    event: RaftEvent,
    command: bytes = b'',
) -> None:
    _STEP(simulation, node, event, command)
    if node.raft is not None and node.writes:
        done = WritesSynced(node.writes[-1].number)
        if done != event:
            _STEP(simulation, node, done)


class TestPlantedFaults(testtools.TestCase):
    """The simulation detects bugs that are known to violate safety."""

    def test_acknowledging_before_the_sync_is_found(self) -> None:
        """A replica that reports a write synced too early loses commands."""
        with mock.patch.object(Simulation, 'step', _step_unsynced):
            self.assertTrue(_finds_violation())

    def test_voting_twice_after_a_restart_is_found(self) -> None:
        """A replica that forgets its vote allows two leaders in a term."""
        rng = random.Random(1)
        simulation = Simulation(1, _ForgetsVote)
        self.assertRaises(
            SafetyViolationError, _race_repeatedly, simulation, rng
        )

    def test_counting_a_replica_early_is_found(self) -> None:
        """A learner that votes before it caught up loses commands."""
        original = _raft_membership._add_learner

        def add_learner(
            state: RaftState,
            lead: LeaderState,
            member: MemberId,
        ) -> None:
            is_new = member not in lead.progress
            original(state, lead, member)
            if is_new and member in lead.progress:
                lead.progress[member].match_index = state.log.last_index
                lead.progress[member].is_caught_up = True

        with mock.patch.object(_raft_membership, '_add_learner', add_learner):
            self.assertTrue(_finds_violation())

    def test_taking_a_new_disk_for_the_lost_one_is_found(self) -> None:
        """A new disk that keeps the vote of the lost one loses commands."""
        self.assertTrue(_finds_violation(_KeepsIncarnation))


class _ForgetsVote(Node):
    """A replica that remembers the term, but not the vote."""

    def load(self) -> StoredState:
        """Load the disk without the vote."""
        stored = super().load()
        hard = msgspec.structs.replace(stored.hard, vote=None)
        return dataclasses.replace(stored, hard=hard)


class _KeepsIncarnation(Node):
    """A replica that has the same incarnation on each new disk."""

    def load(self) -> StoredState:
        """Load the disk, always with the same incarnation."""
        stored = super().load()
        hard = msgspec.structs.replace(stored.hard, incarnation=1)
        return dataclasses.replace(stored, hard=hard)
