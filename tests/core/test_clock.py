"""Test that jumps of the time of day move nothing that goes by it."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import FakeLead, job, workers
from tests.builders_workspaces import add, workspace, workspaces_store
from wigeonreach.core._clock import DayOffset
from wigeonreach.jobs import JobSpec
from wigeonreach.scheduling import Scheduler

_DAY_MS = 1_700_000_000_000.0
_JUMP_MS = 3_700.0


def _told_ms(offset: DayOffset, now_s: float) -> float:
    return now_s * 1000 + offset.offset_ms


class TestDayOffset(testtools.TestCase):
    """What is believed of the two clocks."""

    def test_jump_that_is_taken_back_is_not_followed(self) -> None:
        """Ahead or back, it is told once and changes nothing."""
        for jump_ms in (_JUMP_MS, -_JUMP_MS):
            offset = DayOffset(_DAY_MS)
            told = [
                offset.take(now_s, _DAY_MS + now_s * 1000 + jump_ms)
                for now_s in (1.0, 2.0, 6.0)
            ]
            self.assertThat(told, matchers.Equals([jump_ms, 0.0, 0.0]))
            self.assertThat(
                _told_ms(offset, 6.0),
                matchers.Equals(_DAY_MS + 6_000),
            )
            back = offset.take(7.0, _DAY_MS + 7_000)
            self.assertThat(back, matchers.Equals(0.0))

    def test_jump_that_lasts_is_followed(self) -> None:
        """The clock may have been put right."""
        offset = DayOffset(_DAY_MS)
        for now_s in (1.0, 8.0, 17.0):
            offset.take(now_s, _DAY_MS + now_s * 1000 + _JUMP_MS)
        self.assertThat(
            _told_ms(offset, 17.0),
            matchers.Equals(_DAY_MS + 17_000 + _JUMP_MS),
        )

    def test_second_jump_counts_anew(self) -> None:
        """It is told too, and has to last by itself."""
        offset = DayOffset(_DAY_MS)
        offset.take(1.0, _DAY_MS + 1_000 + _JUMP_MS)
        told_ms = offset.take(10.0, _DAY_MS + 10_000 - _JUMP_MS)
        self.assertThat(told_ms, matchers.Equals(-_JUMP_MS))
        offset.take(17.0, _DAY_MS + 17_000 - _JUMP_MS)
        self.assertThat(offset.offset_ms, matchers.Equals(_DAY_MS))

    def test_slow_drift_is_followed(self) -> None:
        """Clocks that are set gently never jump."""
        offset = DayOffset(_DAY_MS)
        for second in range(100):
            told_ms = offset.take(second, _DAY_MS + second * 1_100.0)
            self.assertThat(told_ms, matchers.Equals(0.0))


class TestUsesOfTheTimeOfDay(testtools.TestCase):
    """What goes by it at all."""

    def test_age_of_a_job_is_bounded_whatever_the_clock_says(self) -> None:
        """A next leader whose clock is off neither drops nor forgets one."""
        for ahead_ms in (0.0, 10 * _JUMP_MS, -10 * _JUMP_MS, 1e12):
            store = workspaces_store(workspace())
            add(store, job())
            scheduler = Scheduler(store, 9, 5.0, wall_ms=ahead_ms)
            accepted_s = scheduler.ready.accepted_s(job().job_id)
            self.assertThat(
                accepted_s,
                matchers.MatchesAll(
                    matchers.GreaterThan(-26.0),
                    matchers.LessThan(5.1),
                ),
            )

    def test_leases_go_by_the_steady_clock(self) -> None:
        """A worker whose own clock of the day jumps stays the same one."""
        store = workspaces_store(workspace())
        add(store, job())
        lead = FakeLead(store, workers(1))
        for wall_ms in (0.0, 1e12, -1e12, 5.0):
            lead.now_s += 0.1
            lead.hear(lead.workers['w0'])
            lead.scheduler.plan(lead.now_s, wall_ms)
            self.assertThat(
                lead.scheduler.lost(lead.now_s), matchers.Equals(())
            )

    def test_timed_job_starts_by_the_time_it_is_given(self) -> None:
        """Not before, however long it has waited."""
        store = workspaces_store(workspace())
        spec = JobSpec('00000000000000a1', 'text', job().steps, 50_000)
        add(store, spec)
        lead = FakeLead(store, workers(1))
        lead.hear(lead.workers['w0'])
        self.assertThat(
            lead.scheduler.plan(lead.now_s, 49_000), matchers.Equals(())
        )
        self.assertThat(
            lead.scheduler.plan(lead.now_s, 50_000), matchers.HasLength(1)
        )
