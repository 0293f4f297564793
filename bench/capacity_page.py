"""Write the tables of the capacity page from measured figures."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Iterator

from bench.capacity_model import (
    Limits,
    RoleNeed,
    Size,
    announce_interval_s,
    role_needs,
)
from bench.measured import Measured

FIGURES = pathlib.Path('bench/data/capacity.jsonl')
PAGE = pathlib.Path('docs/CAPACITY.md')
_BEGIN = '<!-- generated: make capacity -->'
_END = '<!-- end of generated -->'
_MEBIBYTE = 1024 * 1024


def main() -> int:
    """Rewrite the page, or with ``--check`` only compare.

    Returns
    -------
    int
        0 if the page was, or now is, what the figures give, else 1.
    """
    page = PAGE.read_text()
    fresh = render(page, Measured(FIGURES))
    if '--check' in sys.argv[1:]:
        return int(page != fresh)
    PAGE.write_text(fresh)
    return 0


def render(page: str, measured: Measured) -> str:
    """Return a page with its generated part replaced.

    Parameters
    ----------
    page
        The page as it is.
    measured
        The figures.

    Returns
    -------
    str
        The page as it should be.
    """
    before, _, rest = page.partition(_BEGIN)
    _, _, after = rest.partition(_END)
    generated = '\n'.join(_lines(measured))
    return f'{before}{_BEGIN}\n\n{generated}\n\n{_END}{after}'


def _lines(measured: Measured) -> Iterator[str]:
    size, limits = Size(), Limits()
    needs = role_needs(measured, size)
    yield from _role_lines(needs, limits)
    yield ''
    yield (
        f'A target announces itself every {announce_interval_s(size):.0f} s '
        f'at {size.workers_per_zone:.0f} workers a zone and '
        f'{size.entries_per_zone} entries.'
    )
    yield ''
    yield from _slope_lines(measured)


def _role_lines(needs: list[RoleNeed], limits: Limits) -> Iterator[str]:
    yield (
        '| role | daemons | state of one | messages/s | bytes/s | core | '
        'memory MiB | carried by | does not fit |'
    )
    yield '|---|---|---|---|---|---|---|---|---|'
    for need in needs:
        misfits = ', '.join(need.misfits(limits)) or '-'
        yield (
            f'| {need.role} | {need.count} | {need.state} | '
            f'{need.messages_per_s:.2f} | {need.bytes_per_s:.0f} | '
            f'{need.core_share:.2%} | '
            f'{need.memory_bytes / _MEBIBYTE:.0f} | '
            f'{need.mechanism} | {misfits} |'
        )
    yield (
        f'| limit of a daemon | {limits.control_vms} VMs | | | '
        f'{limits.bytes_per_s:.0f} | {limits.core_share:.2%} | '
        f'{limits.memory_bytes / _MEBIBYTE:.0f} | | |'
    )


def _slope_lines(measured: Measured) -> Iterator[str]:
    yield '| measured | median | lowest | highest | runs | unit |'
    yield '|---|---|---|---|---|---|'
    for name in measured.names():
        one = measured.measurement(name)
        yield (
            f'| {name} | {one.median:g} | {one.lowest:g} | '
            f'{one.highest:g} | {one.runs} | {one.unit} |'
        )


if __name__ == '__main__':
    sys.exit(main())
