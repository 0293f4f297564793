"""Simulate short days with random faults, and check the invariants."""

from __future__ import annotations

from unittest import mock

import testtools
from testtools import matchers

from tests.builders_days import RandomDay, play
from wigeonreach.jobs import JobPhase
from wigeonreach.lab import BrokenRuleError
from wigeonreach.scheduling import (
    _incarnation,
    _unsent_starts,
    _workers,
)
from wigeonreach.scheduling.placing import _worker_capacity
from wigeonreach.standins import _worker

_DAYS = 25
_DAYS_UNTIL_FOUND = 25


def _id_alone(worker_id: str, born_ms: int | None) -> str:
    return worker_id


def _play(seed: int) -> RandomDay:
    day = RandomDay(seed)
    play(day)
    return day


class TestInjectedBugs(testtools.TestCase):
    """Bugs that the simulated days have to detect."""

    def test_ignored_start_time_is_detected(self) -> None:
        """All incarnations of a worker are taken for one."""
        patch = mock.patch.object(_worker, 'incarnation_name', _id_alone)
        patch.start()
        self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, self._play_all)

    def test_lease_counted_too_short_is_detected(self) -> None:
        """Tasks are reassigned while their worker still runs them."""
        for module in (_incarnation, _workers):
            patch = mock.patch.object(module, 'LEASE_EXPIRED_S', 2.5)
            patch.start()
            self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, self._play_all)

    def test_ignored_stopping_runs_are_detected(self) -> None:
        """The placement counts no run, and starts are not checked again."""
        for module, name, counts_nothing in (
            (_worker_capacity, '_add_task', lambda *_: None),
            (_unsent_starts, '_runs_over_capacity', lambda *_: ()),
        ):
            patch = mock.patch.object(module, name, counts_nothing)
            patch.start()
            self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, self._play_all)

    def _play_all(self) -> None:
        for seed in range(_DAYS_UNTIL_FOUND):
            _play(seed)


class TestRandomDays(testtools.TestCase):
    """Days with faults, then a calm period."""

    def test_invariants_hold_and_jobs_finish(self) -> None:
        """No invariant is violated, and every batch job finishes."""
        for seed in range(_DAYS):
            day = _play(seed)
            left = [
                record.spec.job_id
                for record in day.store.jobs.values()
                if record.phase is JobPhase.ACTIVE
                and not record.spec.steps[0].is_service
            ]
            self.assertThat(left, matchers.Equals([]), f'seed {seed}')
