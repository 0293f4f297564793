"""Tests of admission control by deadline."""

from __future__ import annotations

import random

import testtools
from testtools.matchers import Equals, GreaterThan, LessThan

from wigeonreach.entry._admission import (
    Load,
    ServiceTimeEstimate,
    can_finish_now,
    can_finish_queued,
    retry_after_s,
)


class TestAdmission(testtools.TestCase):
    """The decision on one request."""

    def test_refuses_what_cannot_finish(self) -> None:
        """Expected wait plus the upper bound must be within the deadline."""
        load = Load(queued_ahead=9, running=4, mean_s=0.4, upper_bound_s=0.6)
        self.assertThat(can_finish_queued(load, 1.59), Equals(False))
        self.assertThat(can_finish_queued(load, 1.61), Equals(True))

    def test_free_slot_needs_no_wait(self) -> None:
        """With a free slot only the mean service time counts."""
        load = Load(queued_ahead=9, running=4, mean_s=0.4, upper_bound_s=0.6)
        self.assertThat(can_finish_now(load, 0.5), Equals(True))
        self.assertThat(can_finish_now(load, 0.3), Equals(False))

    def test_unknown_service_time_refuses_nothing(self) -> None:
        """Before the first response only a passed deadline is refused."""
        load = Load(queued_ahead=50, running=0, mean_s=0, upper_bound_s=0)
        self.assertThat(can_finish_queued(load, 0.01), Equals(True))
        self.assertThat(can_finish_queued(load, 0), Equals(False))
        self.assertThat(can_finish_now(load, 0), Equals(False))


class TestServiceTimes(testtools.TestCase):
    """The estimate of the service time."""

    def test_needed_time_follows_the_spread(self) -> None:
        """The bound is tight for steady times and large for scattered ones."""
        steady = ServiceTimeEstimate()
        scattered = ServiceTimeEstimate()
        for number in range(400):
            steady.record(1.0, now_s=number)
            scattered.record(number % 2 * 2.0, now_s=number)
        self.assertThat(steady.upper_bound_s(399), Equals(1))
        self.assertThat(scattered.upper_bound_s(399), GreaterThan(3))

    def test_forgets_without_samples(self) -> None:
        """An estimate that stopped all traffic decays within seconds."""
        times = ServiceTimeEstimate()
        times.record(8.0, now_s=0)
        self.assertThat(times.mean_s(1), Equals(8))
        self.assertThat(times.mean_s(4), Equals(1))


class TestReturnAfter(testtools.TestCase):
    """The value of ``Retry-After``."""

    def test_spread_grows_with_the_wait(self) -> None:
        """Retries are spread over several times the expected wait."""
        rng = random.Random(7)
        short = [retry_after_s(0, rng) for _ in range(400)]
        long = [retry_after_s(3, rng) for _ in range(400)]
        self.assertThat(set(short), Equals(set(range(1, 5))))
        self.assertThat(set(long), Equals(set(range(1, 17))))
        largest = max(long.count(second) for second in set(long))
        self.assertThat(largest, LessThan(len(long) // 5))
