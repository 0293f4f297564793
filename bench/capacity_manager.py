"""Measure the CPU time and memory of an idle manager."""

from __future__ import annotations

import pathlib
import shutil
import statistics
import time
from collections.abc import Iterator

from bench.figures import Figure, unbounded
from bench.managed_cluster import ManagedCluster
from bench.usage import read_usage

_NAME = 'capacity'
_FOLDER = pathlib.Path('run/capacity-manager')
_SETTLE_S = 2.0
_IDLE_S = 5.0
# Managers of the benchmark poll this many times as often as by default.
_POLLS_PER_USUAL = 10


def manager_figures() -> Iterator[Figure]:
    """Measure memory, and processor time spent on polling."""
    shutil.rmtree(_FOLDER, ignore_errors=True)
    cluster = ManagedCluster(_FOLDER)
    try:
        cluster.start()
        yield from _idle_figures(cluster)
    finally:
        cluster.stop()


def _idle_figures(cluster: ManagedCluster) -> Iterator[Figure]:
    time.sleep(_SETTLE_S)
    pids = [manager.pid for manager in cluster.managers]
    before = [read_usage(pid) for pid in pids]
    time.sleep(_IDLE_S)
    after = [read_usage(pid) for pid in pids]
    spent_s = [
        later.since(earlier).processor_s
        for later, earlier in zip(after, before, strict=True)
    ]
    yield unbounded(
        _NAME,
        'manager_memory_bytes',
        statistics.median(usage.memory_bytes for usage in after),
        'bytes',
    )
    yield unbounded(
        _NAME,
        'manager_idle_core_share',
        statistics.median(spent_s) / _IDLE_S / _POLLS_PER_USUAL,
        'cores',
    )
