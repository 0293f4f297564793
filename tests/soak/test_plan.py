"""Test what is drawn from a seed."""

from __future__ import annotations

import testtools
from testtools import matchers

from soak._plan import Fault, draw_plan

_LENGTH_S = 15.0
_SEEDS = range(60)
_LOST = frozenset((Fault.WIPE, Fault.REPLACE))


class TestPlan(testtools.TestCase):
    """Plans of many seeds."""

    def test_seed_draws_the_same_again(self) -> None:
        """A seed that failed can be played again."""
        for seed in _SEEDS:
            self.assertThat(
                draw_plan(seed, _LENGTH_S, 1),
                matchers.Equals(draw_plan(seed, _LENGTH_S, 1)),
            )

    def test_disks_are_lost_as_often_as_allowed_at_most(self) -> None:
        """What is promised holds for so many lost disks only."""
        for seed in _SEEDS:
            plan = draw_plan(seed, _LENGTH_S, 1)
            lost = [step for step in plan if step.fault in _LOST]
            self.assertThat(len(lost) <= 1, matchers.Is(True), f'seed {seed}')

    def test_every_fault_comes_and_they_overlap(self) -> None:
        """Faults begin while others last, and all kinds are drawn."""
        plans = [draw_plan(seed, _LENGTH_S, 1) for seed in _SEEDS]
        drawn = {step.fault for plan in plans for step in plan}
        self.assertThat(drawn, matchers.Equals(set(Fault)))
        overlaps = sum(
            later.at_s < earlier.at_s + earlier.for_s
            for plan in plans
            for earlier, later in zip(plan, plan[1:], strict=False)
        )
        self.assertThat(overlaps > len(plans), matchers.Is(True))
