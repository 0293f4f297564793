"""Decide whether a failed attempt is retried."""

from __future__ import annotations

import dataclasses
import enum

from wigeonreach.codes import Outcome

_MAX_TOKENS = 10.0
_INITIAL_TOKENS = 3.0


class RetryBudget:
    """Limit retries to a fraction of the first attempts of one service.

    A token bucket: each first attempt adds ``ratio`` of a token, and each
    retry takes a whole one.  It starts with a few tokens, so that a service
    with little traffic can retry at all, and its size is small, so that an
    outage of all targets does not cause a burst of retries.
    """

    def __init__(self) -> None:
        """Start with a few tokens."""
        self._tokens = _INITIAL_TOKENS

    def on_first_attempt(self, ratio: float) -> None:
        """Add the fraction of a token that one first attempt earns.

        Parameters
        ----------
        ratio
            Retries per first attempt, from the fleet configuration.
        """
        self._tokens = min(self._tokens + ratio, _MAX_TOKENS)

    def has_token(self) -> bool:
        """Whether one more retry is within the budget."""
        # Floating-point sums of tenths can fall just short of one.
        return self._tokens > 1 - 1e-9

    def take(self) -> None:
        """Consume the token for one retry."""
        self._tokens = max(0, self._tokens - 1)


class Retry(enum.StrEnum):
    """Why an attempt is retried."""

    NOT_RUN = 'not_run'
    IDEMPOTENT = 'idempotent'


class RetryRefusal(enum.StrEnum):
    """Why an attempt is not retried."""

    MAY_HAVE_RUN = 'may_have_run'
    DEADLINE = 'deadline'
    BUDGET = 'budget'
    NO_OTHER_TARGET = 'no_other_target'


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that yielded no complete response.

    ``left_s`` is the time until the request's deadline and ``mean_s`` the mean
    duration of an attempt, both in seconds.
    """

    outcome: Outcome
    is_idempotent: bool
    left_s: float
    mean_s: float


def decide_retry(
    failed: FailedAttempt, budget: RetryBudget
) -> Retry | RetryRefusal:
    """Decide whether another attempt may be made.

    Parameters
    ----------
    failed
        The attempt that failed.
    budget
        The service's retry budget; no token is taken here.

    Returns
    -------
    Retry or RetryRefusal
        The reason, used as a metric label.
    """
    if failed.outcome is not Outcome.NOT_RUN and not failed.is_idempotent:
        return RetryRefusal.MAY_HAVE_RUN
    if failed.left_s <= failed.mean_s:
        return RetryRefusal.DEADLINE
    if not budget.has_token():
        return RetryRefusal.BUDGET
    if failed.outcome is Outcome.NOT_RUN:
        return Retry.NOT_RUN
    return Retry.IDEMPOTENT
