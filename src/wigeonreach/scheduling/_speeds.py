"""Detect slow workers by the progress of their runs.

A worker may take several times as long for some seconds.  Its runs end only
after that, so the speed is measured from the progress between two heartbeats.
Estimates of single steps are wrong by up to a factor of two, but the average
over all runs of one worker can be compared with that of the others.
"""

from __future__ import annotations

import dataclasses
import statistics
from collections.abc import Iterable

# Weight of the newest heartbeat in the moving average of a worker's speed; a
# change shows after three heartbeats.
_NEWEST_WEIGHT = 0.5
# Task sizes vary by half, and estimates are wrong by more, so only a much
# slower worker can be told from chance.
_SLOW_RATIO = 2.5
# Lower bound of a speed when a slowdown factor is computed; a worker below it
# makes no progress at all.
_MIN_RATIO = 0.01
# Minimum number of progress samples before a worker's speed counts, and of
# workers with such a speed before they are compared.
_MIN_SAMPLES = 3
# Older speeds say nothing about a worker's current speed.
_MAX_SPEED_AGE_S = 3.0


@dataclasses.dataclass(slots=True)
class _Speed:
    """Speed of one worker.

    Attributes
    ----------
    ratio
        Moving average of the estimated work, in seconds, done per second.
    samples
        Number of progress samples so far.
    heard_s
        When the last sample was taken.
    """

    ratio: float
    samples: int
    heard_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressSample:
    """Progress of one run between two heartbeats.

    Attributes
    ----------
    done_s
        Part of its estimated run time that was completed.
    elapsed_s
        Time between the heartbeats.
    """

    done_s: float
    elapsed_s: float


class WorkerSpeeds:
    """Speed of the runs of each worker."""

    def __init__(self) -> None:
        """Start without any workers."""
        self._speeds: dict[str, _Speed] = {}

    def note(
        self,
        worker: str,
        samples: Iterable[ProgressSample],
        now_s: float,
    ) -> None:
        """Record the progress of a worker's runs since its last heartbeat."""
        measured = list(samples)
        elapsed_s = sum(sample.elapsed_s for sample in measured)
        if not elapsed_s:
            return
        ratio = sum(sample.done_s for sample in measured) / elapsed_s
        speed = self._speeds.setdefault(worker, _Speed(ratio, 0, now_s))
        speed.ratio += _NEWEST_WEIGHT * (ratio - speed.ratio)
        speed.samples += len(measured)
        speed.heard_s = now_s

    def forget(self, worker: str) -> None:
        """Drop the speed of a dead worker."""
        self._speeds.pop(worker, None)

    def slow(self, workers: Iterable[str], now_s: float) -> dict[str, float]:
        """Return the workers of a service that are much slower than the others.

        Returns
        -------
        dict of str to float
            Slowdown factor of each slow worker.
        """
        ratios = {
            worker: speed.ratio
            for worker in workers
            if (speed := self._speeds.get(worker)) is not None
            and speed.samples >= _MIN_SAMPLES
            and now_s - speed.heard_s <= _MAX_SPEED_AGE_S
        }
        if len(ratios) < _MIN_SAMPLES:
            return {}
        median_ratio = statistics.median(ratios.values())
        return {
            worker: median_ratio / max(ratio, _MIN_RATIO)
            for worker, ratio in ratios.items()
            if ratio * _SLOW_RATIO < median_ratio
        }
