"""Measure how many VMs are moved on a normal day, with and without damping."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable

from bench.figures import Figure, at_most, unbounded
from bench.fleet_driver import Policy
from bench.fleet_layout import USERS
from bench.fleet_runs import CHOSEN, run_list
from wigeonreach.fleet import UNDAMPED

_BENCH = 'moves'
_STAYING = dataclasses.replace(UNDAMPED, returns_surplus=False)


def run() -> Iterable[Figure]:
    """Yield the moves of a day of each user."""
    for user in USERS:
        way = CHOSEN[user.name]
        damped = run_list(user, way, 'day')
        undamped = run_list(user, way, 'day', Policy(UNDAMPED))
        staying = run_list(user, way, 'day', Policy(_STAYING))
        undamped_moves = len(undamped.run.moves)
        yield at_most(
            _BENCH,
            f'{user.name}: moves a day, against none damped',
            len(damped.run.moves),
            'moves',
            undamped_moves / 2,
            undamped_moves,
        )
        yield unbounded(
            _BENCH,
            f'{user.name}: moves a day, against undamped but never back',
            len(damped.run.moves),
            'moves',
            len(staying.run.moves),
        )
        yield unbounded(
            _BENCH,
            f'{user.name}: promise missed',
            damped.longest_missing_s,
            's',
            undamped.longest_missing_s,
        )
