"""Tests of the retry decision and the retry budget."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.codes import Outcome
from wigeonreach.entry._retry import (
    FailedAttempt,
    Retry,
    RetryBudget,
    RetryRefusal,
    decide_retry,
)


class TestDecideRetry(testtools.TestCase):
    """The decision after a failed attempt."""

    def test_reasons(self) -> None:
        """Each kind of failed attempt gives the expected reason."""
        full = _budget(20)
        for outcome, is_idempotent, left_s, reason in (
            (Outcome.NOT_RUN, False, 1, Retry.NOT_RUN),
            (Outcome.UNKNOWN, True, 1, Retry.IDEMPOTENT),
            (Outcome.UNKNOWN, False, 1, RetryRefusal.MAY_HAVE_RUN),
            (Outcome.NOT_RUN, False, 0.1, RetryRefusal.DEADLINE),
        ):
            failed = FailedAttempt(outcome, is_idempotent, left_s, mean_s=0.2)
            self.assertThat(decide_retry(failed, full), Equals(reason))

    def test_budget_bounds_retries(self) -> None:
        """If every attempt fails, retries stay near the configured ratio."""
        budget = RetryBudget()
        failed = FailedAttempt(Outcome.NOT_RUN, False, 1, 0)
        retries = 0
        for _ in range(1000):
            budget.on_first_attempt(0.1)
            if decide_retry(failed, budget) is Retry.NOT_RUN:
                budget.take()
                retries += 1
        self.assertThat(retries, Equals(103))

    def test_budget_limits_burst(self) -> None:
        """The bucket size limits a burst of retries after many successes."""
        budget = _budget(100_000)
        retries = 0
        while budget.has_token():
            budget.take()
            retries += 1
        self.assertThat(retries, Equals(10))


def _budget(first_attempts: int) -> RetryBudget:
    budget = RetryBudget()
    for _ in range(first_attempts):
        budget.on_first_attempt(0.1)
    return budget
