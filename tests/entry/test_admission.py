"""Tests of admission by deadline."""

from __future__ import annotations

import random

import testtools
from testtools.matchers import Equals, LessThan

from wigeonreach.entry._admission import (
    Admission,
    Load,
    ServiceTimes,
    admit,
    return_after_s,
)


class TestAdmit(testtools.TestCase):
    """Behaviour of the decision on one request."""

    def test_refuses_what_cannot_finish(self) -> None:
        """Expected wait and service time together must fit the deadline."""
        load = Load(ahead=9, running=4, mean_s=0.4)
        for left_s, expected in (
            (1.39, Admission.REFUSE),
            (1.41, Admission.QUEUE),
        ):
            decided = admit(load, left_s, has_free_slot=False)
            self.assertThat(decided, Equals(expected))

    def test_free_slot_needs_no_wait(self) -> None:
        """With a free slot only the service time counts."""
        load = Load(ahead=0, running=4, mean_s=0.4)
        decided = admit(load, 0.5, has_free_slot=True)
        self.assertThat(decided, Equals(Admission.DISPATCH))
        decided = admit(load, 0.3, has_free_slot=True)
        self.assertThat(decided, Equals(Admission.REFUSE))

    def test_unknown_service_time_refuses_nothing(self) -> None:
        """Before the first answer only a passed deadline is refused."""
        load = Load(ahead=50, running=0, mean_s=0)
        decided = admit(load, 0.01, has_free_slot=False)
        self.assertThat(decided, Equals(Admission.QUEUE))
        decided = admit(load, 0, has_free_slot=False)
        self.assertThat(decided, Equals(Admission.REFUSE))


class TestServiceTimes(testtools.TestCase):
    """Behaviour of the learned service time."""

    def test_forgets_without_samples(self) -> None:
        """A slow spell that stopped all traffic is forgotten in seconds."""
        times = ServiceTimes()
        times.learn(8.0, now_s=0)
        self.assertThat(times.mean_s(1), Equals(8))
        self.assertThat(times.mean_s(4), Equals(1))


class TestReturnAfter(testtools.TestCase):
    """Behaviour of ``Retry-After``."""

    def test_spread_grows_with_the_wait(self) -> None:
        """Callers return over several times the expected wait."""
        rng = random.Random(7)
        short = [return_after_s(0, rng) for _ in range(400)]
        long = [return_after_s(3, rng) for _ in range(400)]
        self.assertThat(set(short), Equals(set(range(1, 5))))
        self.assertThat(set(long), Equals(set(range(1, 17))))
        largest = max(long.count(second) for second in set(long))
        self.assertThat(largest, LessThan(len(long) // 5))
