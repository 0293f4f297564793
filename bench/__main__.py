"""Run one benchmark by name, or all of them."""

from __future__ import annotations

import sys

from bench.figures import Figure
from bench.registry import find_benches


def main(names: list[str]) -> int:
    """Print each figure as a JSON line and tell whether all bounds hold.

    Parameters
    ----------
    names
        Benchmarks to run; all if empty.

    Returns
    -------
    int
        0 if every bound held, else 1.
    """
    benches = find_benches()
    figures: list[Figure] = []
    for name in names or sorted(benches):
        for figure in benches[name]():
            print(figure.line(), flush=True)
            figures.append(figure)
    return 0 if all(figure.held for figure in figures) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
