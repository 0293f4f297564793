"""Measure time and memory of planning decisions, by fleet size."""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections.abc import Iterable

from bench.figures import Figure, at_most, unbounded
from bench.fleet_large import large_run, sizes

_BENCH = 'planner'
_SAMPLE_VMS = 100
_SMALL = 4000
_LARGE = 22_000
_LINEAR_BOUND = 2.0
_CONSTANT_BOUND = 3.0
_MEGA = 1_000_000


def run() -> Iterable[Figure]:
    """Yield times and memory, and how they grow."""
    full_us: dict[int, float] = {}
    event_us: dict[int, float] = {}
    memory: dict[int, float] = {}
    for vms, fleet in sizes().items():
        start_s = time.perf_counter()
        wave = large_run(fleet)
        wave.run(1)
        full_us[vms] = (time.perf_counter() - start_s) * _MEGA / vms
        wave.decisions_s.clear()
        wave.run(min(_SAMPLE_VMS, vms // 2))
        event_us[vms] = statistics.median(wave.decisions_s) * _MEGA
        tracemalloc.start()
        kept = large_run(fleet)
        kept.run(1)
        memory[vms] = tracemalloc.get_traced_memory()[0] / vms
        tracemalloc.stop()
        name = f'{vms} VMs'
        yield unbounded(_BENCH, f'{name}: full plan', full_us[vms], 'us/VM')
        yield unbounded(
            _BENCH,
            f'{name}: one event, against a full plan',
            event_us[vms],
            'us',
            round(full_us[vms] * vms),
        )
        yield unbounded(_BENCH, f'{name}: memory', memory[vms], 'bytes/VM')
    growth = f'{_LARGE} VMs over {_SMALL}'
    yield at_most(
        _BENCH,
        f'full plan by VM, {growth}',
        full_us[_LARGE] / full_us[_SMALL],
        'ratio',
        _LINEAR_BOUND,
    )
    yield at_most(
        _BENCH,
        f'one event, {growth}',
        event_us[_LARGE] / event_us[_SMALL],
        'ratio',
        _CONSTANT_BOUND,
        _LARGE / _SMALL,
    )
