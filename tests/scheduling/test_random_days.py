"""Play short days in virtual time, with faults at random, and check rules."""

from __future__ import annotations

from unittest import mock

import testtools
from testtools import matchers

from tests.builders_days import RandomDay, play
from wigeonreach.jobs import JobPhase
from wigeonreach.lab import BrokenRuleError
from wigeonreach.scheduling import _incarnation, _room_left, _workers
from wigeonreach.standins import _worker

_DAYS = 25
_DAYS_UNTIL_FOUND = 25


def _id_alone(worker_id: str, born_ms: int | None) -> str:
    return worker_id


def _play(seed: int) -> RandomDay:
    day = RandomDay(seed)
    play(day)
    return day


class TestPlantedFaults(testtools.TestCase):
    """Variants that such days have to find out."""

    def test_start_that_is_not_read_is_found(self) -> None:
        """All lives of a worker are taken for one."""
        patch = mock.patch.object(_worker, 'incarnation_name', _id_alone)
        patch.start()
        self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, self._play_all)

    def test_lease_that_is_taken_for_shorter_is_found(self) -> None:
        """Work is reassigned while its worker still runs it."""
        for module in (_incarnation, _workers):
            patch = mock.patch.object(module, 'LEASE_OVER_S', 2.5)
            patch.start()
            self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, self._play_all)

    def test_room_of_stopping_runs_that_is_forgotten_is_found(self) -> None:
        """Only what is assigned is counted, not what still runs."""
        with mock.patch.object(
            _room_left,
            '_add_known',
            lambda room, key, store: None,
        ):
            self.assertRaises(BrokenRuleError, self._play_all)

    def _play_all(self) -> None:
        for seed in range(_DAYS_UNTIL_FOUND):
            _play(seed)


class TestRandomDays(testtools.TestCase):
    """Days with faults, then a calm while."""

    def test_rules_hold_and_work_ends(self) -> None:
        """No rule is broken, and all that can be done is done."""
        for seed in range(_DAYS):
            day = _play(seed)
            left = [
                record.spec.job_id
                for record in day.store.jobs.values()
                if record.phase is JobPhase.ACTIVE
                and not record.spec.steps[0].is_service
            ]
            self.assertThat(left, matchers.Equals([]), f'seed {seed}')
