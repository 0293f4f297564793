"""Decide whether a request can still finish in its deadline."""

from __future__ import annotations

import dataclasses
import enum
import math
import random

_NEW_SAMPLE_SHARE = 0.05
_FORGET_AFTER_S = 1.0
_MIN_RETURN_S = 1
_MAX_RETURN_S = 30
_RETURN_SPREAD = 4


class ServiceTimes:
    """Learn how long one service's targets take for a request.

    An exponentially weighted mean.  It is halved for each second without a
    sample, so that an estimate that refuses everything does not stand for
    ever.
    """

    def __init__(self) -> None:
        """Start with nothing learned."""
        self._mean_s = 0.0
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
        share = _NEW_SAMPLE_SHARE if self._mean_s else 1
        self._mean_s += share * (taken_s - self._mean_s)
        self._learned_s = now_s

    def mean_s(self, now_s: float) -> float:
        """Return the mean time of a request, in seconds; 0 if unknown."""
        idle_s = now_s - self._learned_s
        if idle_s <= _FORGET_AFTER_S:
            return self._mean_s
        return self._mean_s * math.exp2(_FORGET_AFTER_S - idle_s)


class Admission(enum.Enum):
    """What becomes of a request that was read whole."""

    DISPATCH = enum.auto()
    QUEUE = enum.auto()
    REFUSE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a request meets when it arrives.

    ``ahead`` is how many waiting requests would be taken before it,
    ``running`` how many this entry has at the service's targets, and
    ``mean_s`` how long one takes.
    """

    ahead: float
    running: int
    mean_s: float

    @property
    def wait_s(self) -> float:
        """How long it is expected to wait for a slot, in seconds."""
        return (self.ahead + 1) * self.mean_s / max(1, self.running)


def admit(load: Load, left_s: float, *, has_free_slot: bool) -> Admission:
    """Decide what becomes of a request.

    Parameters
    ----------
    load
        What it meets.
    left_s
        What is left of its deadline, in seconds.
    has_free_slot
        Whether a target can take it at once.

    Returns
    -------
    Admission
        Refused if it is not expected to finish in its deadline.
    """
    wait_s = 0 if has_free_slot else load.wait_s
    if left_s <= 0 or wait_s + load.mean_s > left_s:
        return Admission.REFUSE
    return Admission.DISPATCH if has_free_slot else Admission.QUEUE


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
