"""Decide whether a request can still finish in its deadline."""

from __future__ import annotations

import dataclasses
import math
import random

_NEW_SAMPLE_SHARE = 0.05
# An exponential time passes its mean by six deviations in 0.5% of cases.  A
# request that passes its deadline at a target keeps the slot for long, since
# nobody knows when the target ends it.
_DEVIATIONS = 6
_FORGET_AFTER_S = 1.0
_MIN_RETURN_S = 1
_MAX_RETURN_S = 30
_RETURN_SPREAD = 4


class ServiceTimes:
    """Learn how long one service's targets take for a request.

    Exponentially weighted mean and mean deviation.  Both are halved for each
    second without a sample, so that an estimate that refuses everything does
    not stand for ever.
    """

    def __init__(self) -> None:
        """Start with nothing learned."""
        self._mean_s = 0.0
        self._deviation_s = 0.0
        self._learned_s = 0.0

    def learn(self, taken_s: float, now_s: float) -> None:
        """Take one whole answer into account.

        Parameters
        ----------
        taken_s
            How long the target took, in seconds.
        now_s
            Monotonic time, in seconds.
        """
        if not self._mean_s:
            self._mean_s = taken_s
        error_s = taken_s - self._mean_s
        self._mean_s += _NEW_SAMPLE_SHARE * error_s
        self._deviation_s += _NEW_SAMPLE_SHARE * (
            abs(error_s) - self._deviation_s
        )
        self._learned_s = now_s

    def mean_s(self, now_s: float) -> float:
        """Return the mean time of a request, in seconds; 0 if unknown."""
        return self._mean_s * self._trust(now_s)

    def needed_s(self, now_s: float) -> float:
        """Return the time in which nearly every request ends, in seconds."""
        needed_s = self._mean_s + _DEVIATIONS * self._deviation_s
        return needed_s * self._trust(now_s)

    def _trust(self, now_s: float) -> float:
        idle_s = now_s - self._learned_s
        return math.exp2(min(0, _FORGET_AFTER_S - idle_s))


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a request meets when it arrives.

    ``ahead`` is how many waiting requests would be taken before it,
    ``running`` how many this entry has at the service's targets.  One takes
    ``mean_s`` on average and nearly always at most ``needed_s``.
    """

    ahead: float
    running: int
    mean_s: float
    needed_s: float

    @property
    def wait_s(self) -> float:
        """How long it is expected to wait for a slot, in seconds."""
        return (self.ahead + 1) * self.mean_s / max(1, self.running)


def can_queue(load: Load, left_s: float) -> bool:
    """Whether a request that has to wait is expected to finish in time.

    Parameters
    ----------
    load
        What it meets.
    left_s
        What is left of its deadline, in seconds.
    """
    return left_s > 0 and load.wait_s + load.needed_s <= left_s


def can_start(load: Load, left_s: float) -> bool:
    """Whether a request for which a slot is free may finish in time.

    A free slot costs nobody anything, so that here the mean decides and not
    what nearly every request needs.

    Parameters
    ----------
    load
        What it meets.
    left_s
        What is left of its deadline, in seconds.
    """
    return left_s > load.mean_s


def return_after_s(wait_s: float, rng: random.Random) -> int:
    """Choose when a refused caller shall come back.

    Parameters
    ----------
    wait_s
        How long a request that comes now is expected to wait, in seconds.
    rng
        Spreads callers over several times that wait, so that they do not
        return together.

    Returns
    -------
    int
        Whole seconds, as ``Retry-After`` wants them.
    """
    spread_s = _RETURN_SPREAD * (_MIN_RETURN_S + wait_s)
    after_s = _MIN_RETURN_S + rng.random() * spread_s
    return min(math.floor(after_s), _MAX_RETURN_S)
