"""Test days on which some queues ask for more than the whole fleet can do.

The queues have their turns one after the other.  One of them floods: for some
seconds it asks for several times what all VMs can do.  Its late jobs must not
keep the VMs from the turns that follow.  The same days are played with late
work that keeps its VMs.
"""

from __future__ import annotations

import functools

import testtools
from testtools import matchers

from tests.builders_floods import FloodedDay, play_flood
from wigeonreach.lab import Flood

_SEEDS = (1, 3)
_ONE_FLOOD = (Flood(0, 0, 4, 4.0),)
_TWO_FLOODS = (Flood(0, 0, 4, 4.0), Flood(2, 6, 9, 3.0))
_JOBS_PER_S = 7.0
# The turns after the one in which the flood itself still has jobs in time.
_LATER_TURNS = (2, 3)
# Stopped twice at most, so that the third run ends.
_MAX_RUNS = 3
_ZONE_VMS = 5
# By as much the worth of a day may fall.
_NOISE = 0.03


@functools.cache
def _days(
    *floods: Flood,
    is_shared: bool,
    jobs_per_s: float = _JOBS_PER_S,
    leader_changes: int = 0,
    lost_vms: int = 0,
) -> list[FloodedDay]:
    return [
        play_flood(
            *floods,
            jobs_per_s=jobs_per_s,
            seed=seed,
            is_shared=is_shared,
            leader_changes=leader_changes,
            lost_vms=lost_vms,
        )
        for seed in _SEEDS
    ]


def _worth(days: list[FloodedDay]) -> float:
    return sum(day.worth for day in days) / len(days)


def _later(days: list[FloodedDay]) -> float:
    return sum(day.share_in_time(*_LATER_TURNS) for day in days) / len(days)


class TestOneQueueFloods(testtools.TestCase):
    """One queue asks for three times what the fleet can do."""

    def test_later_turns_are_in_time_again(self) -> None:
        """Twice as many jobs of the next turns are, and no fewer of all."""
        kept = _days(*_ONE_FLOOD, is_shared=False)
        shared = _days(*_ONE_FLOOD, is_shared=True)
        self.assertThat(_later(shared), matchers.GreaterThan(2 * _later(kept)))
        self.assertThat(_worth(shared), matchers.GreaterThan(_worth(kept)))

    def test_late_runs_are_stopped_twice_at_most(self) -> None:
        """Late work always goes on, so that no job waits for ever."""
        for day in _days(*_ONE_FLOOD, is_shared=True):
            self.assertThat(day.stopped_runs, matchers.GreaterThan(0))
            self.assertThat(
                day.max_runs, matchers.Not(matchers.GreaterThan(_MAX_RUNS))
            )

    def test_next_leader_goes_on(self) -> None:
        """It knows from the store which jobs are late."""
        kept = _days(*_ONE_FLOOD, is_shared=False, leader_changes=3)
        shared = _days(*_ONE_FLOOD, is_shared=True, leader_changes=3)
        self.assertThat(_later(shared), matchers.GreaterThan(_later(kept)))
        self.assertThat(
            _worth(shared), matchers.GreaterThan(_worth(kept) - _NOISE)
        )

    def test_beside_a_lost_zone(self) -> None:
        """A third of the VMs is cut off in the flood, and comes back."""
        kept = _days(*_ONE_FLOOD, is_shared=False, lost_vms=_ZONE_VMS)
        shared = _days(*_ONE_FLOOD, is_shared=True, lost_vms=_ZONE_VMS)
        self.assertThat(_later(shared), matchers.GreaterThan(_later(kept)))
        self.assertThat(
            _worth(shared), matchers.GreaterThan(_worth(kept) - _NOISE)
        )


class TestSeveralFloods(testtools.TestCase):
    """Several queues ask for too much."""

    def test_two_queues(self) -> None:
        """A second flood follows before the first one's work is done."""
        kept = _days(*_TWO_FLOODS, is_shared=False)
        shared = _days(*_TWO_FLOODS, is_shared=True)
        self.assertThat(_worth(shared), matchers.GreaterThan(_worth(kept)))

    def test_all_queues_alike(self) -> None:
        """All ask for twice what the fleet can do: nothing may be lost."""
        kept = _days(is_shared=False, jobs_per_s=9.0)
        shared = _days(is_shared=True, jobs_per_s=9.0)
        self.assertThat(
            _worth(shared), matchers.GreaterThan(_worth(kept) - _NOISE)
        )
