"""Test the estimate of a service's demand.

Job sizes vary, with a tenth of the jobs many times as large as the others, and
several jobs a second arrive during a peak.  A single large job must not look
like a peak.
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
    """Demand for one service."""

    def test_steady_demand_is_estimated(self) -> None:
        """The estimate nears the true rate after some seconds."""
        demand, now_s = _after_small_jobs(40)
        rate = demand.rate_at(now_s)
        expected = _SMALL_S / _GAP_S
        self.assertThat(abs(rate - expected) < expected / 4, matchers.Is(True))

    def test_peak_is_recognized_within_a_second(self) -> None:
        """The estimate rises from zero to most of the true rate."""
        demand, now_s = _after_small_jobs(5)
        expected = _SMALL_S / _GAP_S
        self.assertThat(
            demand.rate_at(now_s) > expected / 2,
            matchers.Is(True),
        )

    def test_one_large_job_is_not_a_peak(self) -> None:
        """It raises the estimate by its share in the mean."""
        demand, now_s = _after_small_jobs(40)
        before = demand.rate_at(now_s)
        demand.note(_LARGE_S, now_s + _GAP_S)
        after = demand.rate_at(now_s + _GAP_S)
        self.assertThat(after < before * 5, matchers.Is(True))

    def test_end_of_a_peak_is_recognized_soon(self) -> None:
        """The estimate falls to a tenth within two seconds."""
        demand, now_s = _after_small_jobs(40)
        before = demand.rate_at(now_s)
        self.assertThat(
            demand.rate_at(now_s + 2) < before / 10,
            matchers.Is(True),
        )
