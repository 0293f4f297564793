"""Measure how much spare capacity each buffer strategy reserves."""

from __future__ import annotations

from collections.abc import Iterable

from bench.figures import Figure, at_most, unbounded
from bench.fleet_layout import USERS, User
from bench.fleet_runs import CHOSEN, run_list
from wigeonreach.fleet import BufferWay

_BENCH = 'buffer'
_BOUND = 1.25
_LISTS = ('day', 'plain-wave', 'rack-in-wave', 'zone-lost')


def run() -> Iterable[Figure]:
    """Yield the buffer of each user under each strategy."""
    for user in USERS:
        alone = user.size(BufferWay.PER_POOL)
        for way in BufferWay:
            yield from _figures(user, way, alone.held_ratio)
        chosen = user.size(CHOSEN[user.name])
        yield at_most(
            _BENCH,
            f'{user.name}: buffer over floor, chosen {chosen.way}',
            chosen.held_ratio / chosen.floor_ratio,
            'ratio',
            _BOUND,
            round(alone.held_ratio / alone.floor_ratio, 3),
        )


def _figures(
    user: User,
    way: BufferWay,
    alone_ratio: float,
) -> Iterable[Figure]:
    size = user.size(way)
    name = f'{user.name} {way}'
    yield unbounded(_BENCH, f'{name}: VMs', size.vms, 'VMs')
    yield unbounded(
        _BENCH,
        f'{name}: held back',
        size.held_ratio,
        'ratio',
        round(alone_ratio, 3),
    )
    yield unbounded(_BENCH, f'{name}: floor', size.floor_ratio, 'ratio')
    for events in _LISTS:
        result = run_list(user, way, events)
        label = f'{name}, {events}'
        yield unbounded(
            _BENCH, f'{label}: moves', len(result.run.moves), 'moves'
        )
        yield unbounded(
            _BENCH,
            f'{label}: VMs maintained',
            result.run.maintained,
            'VMs',
        )
        yield unbounded(
            _BENCH,
            f'{label}: promise missed',
            result.longest_missing_s,
            's',
        )
        yield at_most(
            _BENCH,
            f'{label}: budgets broken by own action',
            len(result.report.violations),
            'violations',
            0,
        )
