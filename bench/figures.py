"""Describe one measured figure and its bound."""

from __future__ import annotations

import msgspec
from msgspec import structs


class Figure(msgspec.Struct, frozen=True):
    """One measured figure, with its bound and the baseline's value."""

    bench: str
    figure: str
    value: float
    unit: str
    baseline: float | None
    bound: float | None
    held: bool

    def line(self) -> str:
        """Return the figure as one JSON line."""
        return msgspec.json.encode(self).decode()


def at_most(
    bench: str,
    figure: str,
    measured: float,
    unit: str,
    bound: float,
    baseline: float | None = None,
) -> Figure:
    """Return a figure that must not exceed its bound."""
    free = unbounded(bench, figure, measured, unit, baseline)
    return structs.replace(free, bound=bound, held=measured <= bound)


def at_least(
    bench: str,
    figure: str,
    measured: float,
    unit: str,
    bound: float,
    baseline: float | None = None,
) -> Figure:
    """Return a figure that must reach its bound."""
    free = unbounded(bench, figure, measured, unit, baseline)
    return structs.replace(free, bound=bound, held=measured >= bound)


def unbounded(
    bench: str,
    figure: str,
    measured: float,
    unit: str,
    baseline: float | None = None,
) -> Figure:
    """Return a figure without a bound."""
    return Figure(
        bench,
        figure,
        round(measured, 6),
        unit,
        baseline,
        None,
        held=True,
    )
