"""Drive the agreement through failures and check what it promises."""

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
    BrokenPromiseError,
    Node,
    Simulation,
)
from wigeonreach.agreement import _raft_members
from wigeonreach.agreement._raft_state import LeaderState, RaftState
from wigeonreach.agreement._raft_types import WritesSynced, RaftEvent
from wigeonreach.agreement._storage import StoredState
from wigeonreach.wire._raft_messages import MemberId

_RUNS = 12
_RUNS_UNTIL_FOUND = 200
_ACTIONS = 250
_RACES = 60
_ANY = st.sampled_from(NAMES)


@dataclasses.dataclass(frozen=True, slots=True)
class _Weather:
    """How often things fail in one run; runs differ on purpose."""

    rng: random.Random
    failures_percent: int
    restarts_percent: int
    losses_percent: int
    tick_s: float
    seed: int

    @classmethod
    def draw(cls, seed: int) -> _Weather:
        """Draw the weather of a run."""
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
        """Draw whether something happens."""
        return self.rng.randrange(100) < percent


def _disturb(simulation: Simulation, weather: _Weather) -> None:
    """Let one thing happen: work mostly, a failure now and then."""
    rng = weather.rng
    node = simulation.nodes[rng.choice(NAMES)]
    if weather.happens(weather.failures_percent):
        rng.choice(_FAILURES)(simulation, node, rng)
        return
    draw = rng.randrange(10)
    if draw < 2:
        simulation.propose(simulation.leader_or(node))
    elif draw < 3:
        simulation.read(simulation.leader_or(node))
    elif draw < 4:
        simulation.tick(node, weather.tick_s)
    else:
        _work(simulation, weather)


def _work(simulation: Simulation, weather: _Weather) -> None:
    """Let messages arrive in any order, and disks and clocks go on."""
    for _ in tuple(simulation.in_flight):
        node = simulation.nodes[weather.rng.choice(NAMES)]
        is_kept = weather.happens(weather.losses_percent)
        simulation.deliver(weather.rng.randrange(10_000), is_kept)
        if weather.happens(40):
            simulation.write(node)
        if weather.happens(weather.restarts_percent):
            simulation.crash(node)
            simulation.start(node)
    for late in simulation.nodes.values():
        simulation.tick(late, weather.tick_s / 3)
    if weather.happens(weather.losses_percent):
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


def _race(simulation: Simulation, node: Node, rng: random.Random) -> None:
    """Let two replicas campaign at once while the third one restarts."""
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
    _race,
    _snapshot,
    _start_all,
    _start_all,
)


def _run(seed: int, node_type: type[Node] = Node) -> Simulation:
    weather = _Weather.draw(seed)
    simulation = Simulation(seed, node_type)
    simulation.settle(60)
    for _ in range(_ACTIONS):
        _disturb(simulation, weather)
    return simulation


def _finds(node_type: type[Node] = Node) -> bool:
    for seed in range(_RUNS_UNTIL_FOUND):
        try:
            _run(seed, node_type).check_converged()
        except BrokenPromiseError:
            return True
    return False


class TestRandomFailures(testtools.TestCase):
    """What holds whatever fails, in long random runs."""

    def test_promises_hold(self) -> None:
        """Nothing acknowledged is lost and no two lead in one term."""
        reads = 0
        changes = 0
        for seed in range(_RUNS):
            simulation = _run(seed)
            simulation.check_converged()
            reads += simulation.done_reads
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
    """What holds when rivals campaign and the third one restarts."""

    def test_one_leader_a_term(self) -> None:
        """A vote that was given is remembered over a restart."""
        simulation = Simulation(1)
        _race_on(simulation, random.Random(1))
        simulation.check_converged()
        self.assertGreater(len(simulation.leaders), _RACES // 2)


class TestVoters(testtools.TestCase):
    """How the voters change."""

    def test_three_grow_to_five(self) -> None:
        """New replicas count once caught up; two of five may then be lost."""
        simulation = Simulation(1)
        simulation.settle(60)
        simulation.propose(simulation.leader_or(simulation.nodes['a']))
        simulation.grow(('d', 'e'))
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
    """What holds whatever fails, with failures chosen step by step."""

    def test_promises_hold(self) -> None:
        """Nothing acknowledged is lost and all replicas apply the same."""
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


def _race_on(simulation: Simulation, rng: random.Random) -> None:
    for _ in range(_RACES):
        simulation.settle(60)
        _race(simulation, simulation.nodes[rng.choice(NAMES)], rng)


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
    """The check finds faults that are known to break a promise."""

    def test_acknowledging_before_the_sync_is_found(self) -> None:
        """A replica that calls a write synced too early loses changes."""
        with mock.patch.object(Simulation, 'step', _step_unsynced):
            self.assertTrue(_finds())

    def test_voting_twice_after_a_restart_is_found(self) -> None:
        """A replica that forgets its vote makes two leaders in a term."""
        rng = random.Random(1)
        simulation = Simulation(1, _ForgetsVote)
        self.assertRaises(BrokenPromiseError, _race_on, simulation, rng)

    def test_counting_a_replica_early_is_found(self) -> None:
        """A repaired replica that counts before it caught up loses changes."""
        original = _raft_members._add_learner

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

        with mock.patch.object(_raft_members, '_add_learner', add_learner):
            self.assertTrue(_finds())

    def test_taking_a_new_disk_for_the_lost_one_is_found(self) -> None:
        """A replica that votes as if it remembered loses changes."""
        self.assertTrue(_finds(_KeepsIncarnation))


class _ForgetsVote(Node):
    """Remembers the term, but not the vote."""

    def load(self) -> StoredState:
        """Read the disk without the vote."""
        stored = super().load()
        hard = msgspec.structs.replace(stored.hard, vote=None)
        return dataclasses.replace(stored, hard=hard)


class _KeepsIncarnation(Node):
    """Has the same incarnation on each new disk."""

    def load(self) -> StoredState:
        """Read the disk, always under the same incarnation."""
        stored = super().load()
        hard = msgspec.structs.replace(stored.hard, incarnation=1)
        return dataclasses.replace(stored, hard=hard)
