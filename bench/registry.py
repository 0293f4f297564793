"""List the benchmarks by name."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from bench.figures import Figure

Bench = Callable[[], Iterable[Figure]]

BENCHES: Mapping[str, Bench] = MappingProxyType({})
