"""Test the fault schedules generated from seeds."""

from __future__ import annotations

import testtools
from testtools import matchers

from soak._plan import Fault, draw_plan

_LENGTH_S = 15.0
_SEEDS = range(60)
_LOST = frozenset((Fault.WIPE, Fault.REPLACE))


class TestPlan(testtools.TestCase):
    """Fault schedules of many seeds."""

    def test_equal_seeds_give_equal_schedules(self) -> None:
        """The fault schedule of a failed run can be replayed."""
        for seed in _SEEDS:
            self.assertThat(
                draw_plan(seed, _LENGTH_S, 1),
                matchers.Equals(draw_plan(seed, _LENGTH_S, 1)),
            )

    def test_lost_disks_stay_within_the_limit(self) -> None:
        """The service guarantees cover only a limited number of lost disks."""
        for seed in _SEEDS:
            plan = draw_plan(seed, _LENGTH_S, 1)
            lost = [step for step in plan if step.fault in _LOST]
            self.assertThat(len(lost) <= 1, matchers.Is(True), f'seed {seed}')

    def test_all_faults_occur_and_overlap(self) -> None:
        """All kinds of faults are drawn, and some overlap."""
        plans = [draw_plan(seed, _LENGTH_S, 1) for seed in _SEEDS]
        drawn = {step.fault for plan in plans for step in plan}
        self.assertThat(drawn, matchers.Equals(set(Fault)))
        overlaps = sum(
            later.at_s < earlier.at_s + earlier.duration_s
            for plan in plans
            for earlier, later in zip(plan, plan[1:], strict=False)
        )
        self.assertThat(overlaps > len(plans), matchers.Is(True))
