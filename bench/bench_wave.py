"""Measure how long a maintenance wave over a fleet takes."""

from __future__ import annotations

from collections.abc import Iterable

from bench.figures import Figure, at_most, unbounded
from bench.fleet_driver import Policy
from bench.fleet_large import large_run, sizes
from bench.fleet_layout import USERS
from bench.fleet_runs import CHOSEN, DAY_S, HOUR_S, run_list

_BENCH = 'wave'
_PERIOD_DAYS = 42.0
_LARGE_VMS = 22_000
_SAMPLE_VMS = 1500


def run() -> Iterable[Figure]:
    """Yield the time of a wave by user, and the rate of a large fleet."""
    for user in USERS:
        way = CHOSEN[user.name]
        planned = run_list(user, way, 'plain-wave')
        for step in (1, 4):
            fixed = run_list(
                user,
                way,
                'plain-wave',
                Policy(fixed_step_vms=step),
            )
            yield unbounded(
                _BENCH,
                f'{user.name}: wave, against steps of {step} with'
                f' {len(fixed.report.violations)} violations',
                planned.run.last_maintained_s / HOUR_S,
                'h',
                round(fixed.run.last_maintained_s / HOUR_S, 3),
            )
        yield at_most(
            _BENCH,
            f'{user.name}: VMs left out of the wave',
            planned.vms - planned.run.maintained,
            'VMs',
            0,
        )
    yield _large()


def _large() -> Figure:
    wave = large_run(sizes()[_LARGE_VMS])
    wave.run(_SAMPLE_VMS)
    days = wave.now_s / DAY_S * _LARGE_VMS / wave.maintained
    return at_most(
        _BENCH,
        f'{_LARGE_VMS} VMs each once, from {wave.maintained} maintained',
        days,
        'days',
        _PERIOD_DAYS,
    )
