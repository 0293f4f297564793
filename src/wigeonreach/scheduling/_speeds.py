"""Tell slow workers from the others by how fast their runs go on.

Answers workers that take several times as long for some seconds: their runs
would end after that, so the speed is taken from the progress between two
heartbeats.  Estimates of single steps are wrong by up to the double, but not
those of all that runs on one worker, compared with what runs on the others.
"""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Iterable

# Of the newest heartbeat in a worker's speed: a change shows in three of them.
_NEWEST_RATIO = 0.5
# Sizes differ by half and estimates by more, so only much slower is told from
# chance.
_SLOW_RATIO = 2.5
# Whoever gets less than this done stands still.
_LEAST_RATIO = 0.01
# Runs that went on, before a worker's speed counts.
_LEAST_RUNS = 3
# What is older tells nothing of a worker's speed now.
_FRESH_S = 3.0


@dataclasses.dataclass(slots=True)
class _Speed:
    """How much declared work a run gets done in a second."""

    ratio: float
    runs: int
    heard_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stretch:
    """What one run got done between two heartbeats.

    Attributes
    ----------
    done_s
        Part of its declared time that it moved on by.
    """

    done_s: float
    passed_s: float


class WorkerSpeeds:
    """The speed of each worker's runs."""

    def __init__(self) -> None:
        """Know no worker."""
        self._speeds: dict[str, _Speed] = {}

    def note(
        self,
        worker: str,
        stretches: Iterable[Stretch],
        now_s: float,
    ) -> None:
        """Take what the runs of a worker got done since its last heartbeat."""
        seen = list(stretches)
        passed_s = sum(stretch.passed_s for stretch in seen)
        if not passed_s:
            return
        ratio = sum(stretch.done_s for stretch in seen) / passed_s
        known = self._speeds.setdefault(worker, _Speed(ratio, 0, now_s))
        known.ratio += _NEWEST_RATIO * (ratio - known.ratio)
        known.runs += len(seen)
        known.heard_s = now_s

    def forget(self, worker: str) -> None:
        """Drop what is known of a dead worker."""
        self._speeds.pop(worker, None)

    def slow(self, workers: Iterable[str], now_s: float) -> dict[str, float]:
        """Return who of a service's workers is much slower than the others.

        Returns
        -------
        dict of str to float
            How many times as long as on the others runs take on each.
        """
        known = {
            worker: speed.ratio
            for worker in workers
            if (speed := self._speeds.get(worker)) is not None
            and speed.runs >= _LEAST_RUNS
            and now_s - speed.heard_s <= _FRESH_S
        }
        if len(known) < _LEAST_RUNS:
            return {}
        usual = statistics.median(known.values())
        return {
            worker: usual / max(ratio, _LEAST_RATIO)
            for worker, ratio in known.items()
            if ratio * _SLOW_RATIO < usual
        }
