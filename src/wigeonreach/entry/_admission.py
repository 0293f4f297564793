"""Admission control: reject requests that can't meet their deadline."""

from __future__ import annotations

import dataclasses
import math
import random

_SMOOTHING_FACTOR = 0.05
# An exponentially distributed time exceeds its mean by six mean deviations in
# 0.5% of cases.  A request that misses its deadline at a target keeps the slot
# occupied for long, since it is unknown when the target stops working on it.
_BOUND_DEVIATIONS = 6
_DECAY_AFTER_S = 1.0
_MIN_RETRY_AFTER_S = 1
_MAX_RETRY_AFTER_S = 30
_RETRY_AFTER_SPREAD = 4


class ServiceTimeEstimate:
    """Estimate how long one service's targets take for a request.

    Keeps an exponentially weighted mean and mean deviation.  After one second
    without a sample both are halved for each further second; otherwise an
    estimate so high that every request is refused would never be corrected.
    """

    def __init__(self) -> None:
        """Start without samples."""
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._last_sample_s = 0.0

    def record(self, duration_s: float, now_s: float) -> None:
        """Add the duration of one completed request.

        Parameters
        ----------
        duration_s
            How long the target took, in seconds.
        now_s
            Monotonic time, in seconds.
        """
        if not self._mean_s:
            self._mean_s = duration_s
        error_s = duration_s - self._mean_s
        self._mean_s += _SMOOTHING_FACTOR * error_s
        self._deviation_s += _SMOOTHING_FACTOR * (
            abs(error_s) - self._deviation_s
        )
        self._last_sample_s = now_s

    def mean_s(self, now_s: float) -> float:
        """Return the mean duration of a request, in seconds; 0 if unknown."""
        return self._mean_s * self._decay(now_s)

    def upper_bound_s(self, now_s: float) -> float:
        """Return a time in which nearly every request ends, in seconds."""
        bound_s = self._mean_s + _BOUND_DEVIATIONS * self._deviation_s
        return bound_s * self._decay(now_s)

    def _decay(self, now_s: float) -> float:
        idle_s = now_s - self._last_sample_s
        return math.exp2(min(0, _DECAY_AFTER_S - idle_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a service at the time a request arrives.

    ``queued_ahead`` is how many waiting requests would be started first, and
    ``running`` how many requests this entry has in flight at the service's
    targets.  A request takes ``mean_s`` on average and nearly always at most
    ``upper_bound_s``.
    """

    queued_ahead: float
    running: int
    mean_s: float
    upper_bound_s: float

    @property
    def expected_wait_s(self) -> float:
        """Expected wait of the arriving request for a slot, in seconds."""
        return (self.queued_ahead + 1) * self.mean_s / max(1, self.running)


def can_finish_queued(load: Load, remaining_s: float) -> bool:
    """Whether a request that has to wait is expected to finish in time.

    Parameters
    ----------
    load
        Load of the service.
    remaining_s
        Time until the request's deadline, in seconds.
    """
    return (
        remaining_s > 0
        and load.expected_wait_s + load.upper_bound_s <= remaining_s
    )


def can_finish_now(load: Load, remaining_s: float) -> bool:
    """Whether a request for which a slot is free may finish in time.

    Using a free slot delays no other request, so the mean duration is compared
    with the deadline instead of the upper bound.

    Parameters
    ----------
    load
        Load of the service.
    remaining_s
        Time until the request's deadline, in seconds.
    """
    return remaining_s > load.mean_s


def retry_after_s(wait_s: float, rng: random.Random) -> int:
    """Choose after how long a refused caller should retry.

    Parameters
    ----------
    wait_s
        How long a request that arrives now is expected to wait, in seconds.
    rng
        Source of the jitter that spreads callers over several times that
        wait, so that they do not all retry at once.

    Returns
    -------
    int
        Whole seconds, as required by ``Retry-After``.
    """
    spread_s = _RETRY_AFTER_SPREAD * (_MIN_RETRY_AFTER_S + wait_s)
    after_s = _MIN_RETRY_AFTER_S + rng.random() * spread_s
    return min(math.floor(after_s), _MAX_RETRY_AFTER_S)
