"""Test that jumps of the wall clock do not affect decisions."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import FakeLead, job, workers
from tests.builders_workspaces import add, workspace, workspaces_store
from wigeonreach.core._clock import WallClockOffset
from wigeonreach.jobs import JobSpec
from wigeonreach.scheduling import Scheduler

_UNIX_TIME_MS = 1_700_000_000_000.0
_JUMP_MS = 3_700.0


def _filtered_ms(offset: WallClockOffset, now_s: float) -> float:
    return now_s * 1000 + offset.offset_ms


class TestWallClockOffset(testtools.TestCase):
    """Which jumps of the wall clock are followed."""

    def test_reverted_jump_is_not_followed(self) -> None:
        """Forwards or backwards, it is reported once and not followed."""
        for jump_ms in (_JUMP_MS, -_JUMP_MS):
            offset = WallClockOffset(_UNIX_TIME_MS)
            jumps = [
                offset.update(now_s, _UNIX_TIME_MS + now_s * 1000 + jump_ms)
                for now_s in (1.0, 2.0, 6.0)
            ]
            self.assertThat(jumps, matchers.Equals([jump_ms, 0.0, 0.0]))
            self.assertThat(
                _filtered_ms(offset, 6.0),
                matchers.Equals(_UNIX_TIME_MS + 6_000),
            )
            jump_back_ms = offset.update(7.0, _UNIX_TIME_MS + 7_000)
            self.assertThat(jump_back_ms, matchers.Equals(0.0))

    def test_lasting_jump_is_followed(self) -> None:
        """A lasting jump may have corrected the clock."""
        offset = WallClockOffset(_UNIX_TIME_MS)
        for now_s in (1.0, 8.0, 17.0):
            offset.update(now_s, _UNIX_TIME_MS + now_s * 1000 + _JUMP_MS)
        self.assertThat(
            _filtered_ms(offset, 17.0),
            matchers.Equals(_UNIX_TIME_MS + 17_000 + _JUMP_MS),
        )

    def test_second_jump_is_a_new_candidate(self) -> None:
        """It is reported as well, and its duration counts separately."""
        offset = WallClockOffset(_UNIX_TIME_MS)
        offset.update(1.0, _UNIX_TIME_MS + 1_000 + _JUMP_MS)
        jump_ms = offset.update(10.0, _UNIX_TIME_MS + 10_000 - _JUMP_MS)
        self.assertThat(jump_ms, matchers.Equals(-_JUMP_MS))
        offset.update(17.0, _UNIX_TIME_MS + 17_000 - _JUMP_MS)
        self.assertThat(offset.offset_ms, matchers.Equals(_UNIX_TIME_MS))

    def test_slow_drift_is_followed(self) -> None:
        """A clock that is slewed never jumps."""
        offset = WallClockOffset(_UNIX_TIME_MS)
        for second in range(100):
            jump_ms = offset.update(second, _UNIX_TIME_MS + second * 1_100.0)
            self.assertThat(jump_ms, matchers.Equals(0.0))


class TestWallClockUse(testtools.TestCase):
    """Scheduler decisions that depend on the wall clock."""

    def test_age_of_a_job_is_bounded(self) -> None:
        """A new leader with a wrong clock derives a plausible age."""
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

    def test_leases_use_the_steady_clock(self) -> None:
        """A jump of the wall clock does not make a worker count as lost."""
        store = workspaces_store(workspace())
        add(store, job())
        lead = FakeLead(store, workers(1))
        for wall_ms in (0.0, 1e12, -1e12, 5.0):
            lead.now_s += 0.1
            lead.hear(lead.workers['w0'])
            lead.scheduler.plan(lead.now_s, wall_ms)
            self.assertThat(
                lead.scheduler.take_lost_runs(lead.now_s), matchers.Equals(())
            )

    def test_timed_job_starts_at_its_due_time(self) -> None:
        """It does not start earlier, however long it has waited."""
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
