"""Describe one measured figure and its bound."""

from __future__ import annotations

import msgspec
from msgspec import structs


class Figure(msgspec.Struct, frozen=True):
    """One figure beside the same figure of a simpler policy."""

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
    """Return a figure that must not pass its bound."""
    free = told(bench, figure, measured, unit, baseline)
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
    free = told(bench, figure, measured, unit, baseline)
    return structs.replace(free, bound=bound, held=measured >= bound)


def told(
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
