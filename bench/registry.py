"""Find the benchmarks by name."""

from __future__ import annotations

import importlib
import pkgutil
from collections.abc import Callable, Iterable, Mapping

import bench
from bench.figures import Figure

Bench = Callable[[], Iterable[Figure]]
_PREFIX = 'bench_'


def find_benches() -> Mapping[str, Bench]:
    """Return the function ``run`` of each module ``bench_NAME`` by name."""
    names = (
        found.name
        for found in pkgutil.iter_modules(bench.__path__)
        if found.name.startswith(_PREFIX)
    )
    return {
        name.removeprefix(_PREFIX): importlib.import_module(f'bench.{name}').run
        for name in names
    }
