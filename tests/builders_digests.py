"""Digests of all that leaders commit on simulated days.

As a program it prints them, one a line, for the hash seed of its process.
"""

from __future__ import annotations

import hashlib
import sys
from collections.abc import Callable
from unittest import mock

from tests.builders_crash_days import CrashDay
from tests.builders_days import RandomDay, play
from tests.builders_floods import play_flood
from wigeonreach.jobs import JobStore
from wigeonreach.lab import Flood

_STORM_RATIO = 0.35
_FLOOD = Flood(0, begin_s=0.0, end_s=9.0, factor=4.0)


def _crashing_tasks() -> None:
    CrashDay(0, 0.5, storm_ratio=_STORM_RATIO).play()


def _crashing_tasks_and_new_leaders() -> None:
    CrashDay(2, 1.2, changes_leader=True, storm_ratio=_STORM_RATIO).play()


def _random_faults() -> None:
    play(RandomDay(3))


def _flood() -> None:
    play_flood(_FLOOD, jobs_per_s=4.0, seed=1, leader_changes=2)


_DAYS = (
    _crashing_tasks,
    _crashing_tasks_and_new_leaders,
    _random_faults,
    _flood,
)


def _digest(play_day: Callable[[], None]) -> str:
    """Return the digest of all commands of a day, in their order."""
    digest = hashlib.sha256()
    apply = JobStore.apply

    def record(store: JobStore, index: int, command: bytes) -> bytes:
        digest.update(command)
        return apply(store, index, command)

    with mock.patch.object(JobStore, 'apply', record):
        play_day()
    return digest.hexdigest()


if __name__ == '__main__':
    for day in _DAYS:
        sys.stdout.write(f'{day.__name__} {_digest(day)}\n')
