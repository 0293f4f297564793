"""Test when a task with few starts left starts again, and beside what.

Guards against last starts that are made while workers fail by themselves, or
beside other runs: their losses prove nothing, so a sixth start was allowed.
"""

from __future__ import annotations

import collections

import testtools
from testtools import matchers

from tests.builders_jobs import key
from wigeonreach.jobs import CrashEvidence, TaskCrash, TaskKey, TaskRecord
from wigeonreach.scheduling._suspects import Isolation, Suspects

_LOST_S = 100.0
_CALM_S = 112.0
# Later than any wait for workers that keep failing.
_LATE_S = 131.0


def _suspects(now_s: float, calm_since_s: float = _CALM_S) -> Suspects:
    unexplained = collections.Counter[TaskKey]()
    lost_s = {key(): _LOST_S}
    return Suspects(unexplained, lost_s, 0.0, now_s, calm_since_s)


def _task(losses: int) -> TaskRecord:
    """Return a waiting task whose losses all have another explanation."""
    return TaskRecord(run=losses, lost_runs=tuple(range(1, losses + 1)))


class TestFewStartsLeft(testtools.TestCase):
    """A task that has two of its five starts left."""

    def test_it_waits_until_workers_stop_failing(self) -> None:
        """Its next loss then shows whether it is the cause."""
        waits = [
            _suspects(now_s).must_wait(key(), _task(3))
            for now_s in (_LOST_S, _CALM_S - 1, _CALM_S)
        ]
        self.assertThat(waits, matchers.Equals([True, True, False]))

    def test_wait_is_bounded(self) -> None:
        """Workers may go on failing for long."""
        suspects = _suspects(_LATE_S, calm_since_s=_LATE_S + 1)
        self.assertThat(suspects.must_wait(key(), _task(3)), matchers.Is(False))

    def test_it_starts_alone_at_first(self) -> None:
        """The time spent waiting does not count as time of isolation."""
        isolations = [
            _suspects(now_s).isolation_of(key(), _task(3))
            for now_s in (_CALM_S, _CALM_S + 7, _CALM_S + 9, _CALM_S + 17)
        ]
        expected = [
            Isolation.FROM_ALL,
            Isolation.FROM_ALL,
            Isolation.FROM_SUSPECTS,
            Isolation.FROM_NOTHING,
        ]
        self.assertThat(isolations, matchers.Equals(expected))


class TestMoreStartsLeft(testtools.TestCase):
    """A task that was lost twice."""

    def test_it_waits_for_no_calm(self) -> None:
        """Most of such tasks are sound."""
        self.assertThat(
            _suspects(_LOST_S).must_wait(key(), _task(2)), matchers.Is(False)
        )

    def test_it_runs_alone_only_if_the_losses_count(self) -> None:
        """Explained losses don't, two crashes do."""
        crashed = _task(2)
        crashed.crashes = tuple(
            TaskCrash(run, CrashEvidence.AT_WORK) for run in (1, 2)
        )
        isolations = [
            _suspects(_LOST_S + 1).isolation_of(key(), task)
            for task in (_task(2), crashed)
        ]
        expected = [Isolation.FROM_NOTHING, Isolation.FROM_ALL]
        self.assertThat(isolations, matchers.Equals(expected))
