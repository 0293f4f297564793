"""Profile an entry under load; a tool, not a benchmark."""

from __future__ import annotations

import pstats
import signal
import sys

from bench import bench_hotpath
from bench.small_fleet import laid_out_fleet, start_fleet

_CALLERS = 32
_LENGTH_S = 5.0
_LINES = 40


def main() -> None:
    """Drive load through an entry that runs under the profiler."""
    with laid_out_fleet(bench_hotpath.SHAPE) as cluster:
        entry = cluster.entries[0]
        stats = cluster.folder / 'profile'
        profiler = [sys.executable, '-m', 'cProfile', '-o', str(stats)]
        entry.command = profiler + entry.command
        start_fleet(cluster, bench_hotpath.TEXT)
        level = bench_hotpath.drive_through(cluster, _CALLERS, _LENGTH_S)
        entry.send(signal.SIGTERM)
        entry.wait()
        print(f'{len(level.taken_s)} requests')
        found = pstats.Stats(str(stats))
        found.sort_stats('tottime').print_stats(_LINES)
        found.sort_stats('cumtime').print_stats('wigeonreach/', _LINES)


if __name__ == '__main__':
    main()
