"""Decide whether a failed attempt is followed by another one."""

from __future__ import annotations

import dataclasses
import enum

from wigeonreach.codes import Outcome

_MAX_SAVED_RETRIES = 10.0
_FIRST_RETRIES = 3.0


class RetryBudget:
    """Bound retries to a share of the first attempts of one service.

    A token bucket: each first attempt adds ``ratio`` of a token, and each
    retry takes a whole one.  It starts with a few, so that a quiet service
    may retry at all, and saves a few at most, so that a failure of everything
    is not met by a burst of retries.
    """

    def __init__(self) -> None:
        """Start with a few tokens."""
        self._tokens = _FIRST_RETRIES

    def on_first_attempt(self, ratio: float) -> None:
        """Add what one first attempt allows.

        Parameters
        ----------
        ratio
            Retries for each first attempt, from the operator's text.
        """
        self._tokens = min(self._tokens + ratio, _MAX_SAVED_RETRIES)

    def has_token(self) -> bool:
        """Whether one more retry is within the budget."""
        # Sums of tenths fall just short of one.
        return self._tokens > 1 - 1e-9

    def take(self) -> None:
        """Take the token for one retry."""
        self._tokens = max(0, self._tokens - 1)


class Retry(enum.StrEnum):
    """Why there is another attempt."""

    NOT_RUN = 'not_run'
    IDEMPOTENT = 'idempotent'


class NoRetry(enum.StrEnum):
    """Why there is no other attempt."""

    MAY_HAVE_RUN = 'may_have_run'
    DEADLINE = 'deadline'
    BUDGET = 'budget'
    NO_OTHER_TARGET = 'no_other_target'


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What is known when an attempt gave no whole answer.

    ``left_s`` is what is left of the deadline and ``mean_s`` how long an
    attempt takes on average, both in seconds.
    """

    outcome: Outcome
    is_idempotent: bool
    left_s: float
    mean_s: float


def decide_retry(failed: FailedAttempt, budget: RetryBudget) -> Retry | NoRetry:
    """Decide whether another attempt may be made.

    Parameters
    ----------
    failed
        The attempt that failed.
    budget
        What the service may still spend; a token is not taken yet.

    Returns
    -------
    Retry or NoRetry
        The reason, which is counted.
    """
    if failed.outcome is not Outcome.NOT_RUN and not failed.is_idempotent:
        return NoRetry.MAY_HAVE_RUN
    if failed.left_s <= failed.mean_s:
        return NoRetry.DEADLINE
    if not budget.has_token():
        return NoRetry.BUDGET
    if failed.outcome is Outcome.NOT_RUN:
        return Retry.NOT_RUN
    return Retry.IDEMPOTENT
