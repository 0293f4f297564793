"""Test what is learned of demand.

Pattern: jobs of a queue are of unlike size, a tenth of them many times as
large as the others, and come several a second during a peak.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.scheduling.pooling._demand import ServiceDemand

_SMALL_S = 2.0
_LARGE_S = 100.0
_GAP_S = 0.2


def _after_small_jobs(count: int) -> tuple[ServiceDemand, float]:
    demand = ServiceDemand()
    now_s = 0.0
    for _ in range(count):
        now_s += _GAP_S
        demand.note(_SMALL_S, now_s)
    return demand, now_s


class TestServiceDemand(testtools.TestCase):
    """One service's demand."""

    def test_steady_demand_is_known(self) -> None:
        """As much as arrives, once it went on for some seconds."""
        demand, now_s = _after_small_jobs(40)
        rate = demand.rate_at(now_s)
        expected = _SMALL_S / _GAP_S
        self.assertThat(abs(rate - expected) < expected / 4, matchers.Is(True))

    def test_peak_is_known_within_a_second(self) -> None:
        """From nothing to most of what arrives."""
        demand, now_s = _after_small_jobs(5)
        expected = _SMALL_S / _GAP_S
        self.assertThat(
            demand.rate_at(now_s) > expected / 2,
            matchers.Is(True),
        )

    def test_one_large_job_is_no_peak(self) -> None:
        """It raises what is expected by its share in the jobs so far."""
        demand, now_s = _after_small_jobs(40)
        before = demand.rate_at(now_s)
        demand.note(_LARGE_S, now_s + _GAP_S)
        after = demand.rate_at(now_s + _GAP_S)
        self.assertThat(after < before * 5, matchers.Is(True))

    def test_end_of_a_peak_is_known_soon(self) -> None:
        """What is expected falls to a tenth within two seconds."""
        demand, now_s = _after_small_jobs(40)
        before = demand.rate_at(now_s)
        self.assertThat(
            demand.rate_at(now_s + 2) < before / 10,
            matchers.Is(True),
        )
