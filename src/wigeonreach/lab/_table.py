"""Comparison of scheduler variants on the same days."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Mapping, Sequence

from wigeonreach.lab._day import Day, DayPlan
from wigeonreach.lab._outcome import Outcome
from wigeonreach.lab._variants import Variant, applied

_HEADER = (
    f'{"variant":28}{"worth":>7}{"+-":>7}{"worst":>7}{"served":>8}'
    f'{"VM s":>7}{"needed":>7}{"moves":>7}{"far":>6}{"again":>7}'
)


def simulate_variants(
    variants: Iterable[Variant],
    plan: DayPlan,
    seeds: Sequence[int],
) -> dict[str, list[Outcome]]:
    """Simulate each variant on each day and return the outcomes."""
    outcomes: dict[str, list[Outcome]] = {}
    for variant in variants:
        with applied(variant):
            outcomes[variant.name] = [
                Day(plan, seed).simulate() for seed in seeds
            ]
    return outcomes


def format_table(outcomes: Mapping[str, list[Outcome]]) -> str:
    """Return a table with a row per variant; the first is the baseline."""
    base = next(iter(outcomes.values()))
    lines = [_row(name, days, base) for name, days in outcomes.items()]
    return '\n'.join((_HEADER, *lines))


def _row(name: str, days: list[Outcome], base: list[Outcome]) -> str:
    gains = [
        day.worth - before.worth for day, before in zip(days, base, strict=True)
    ]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    mean = statistics.fmean
    return (
        f'{name:28}{mean(day.worth for day in days):7.3f}{spread:7.3f}'
        f'{mean(day.worst for day in days):7.3f}'
        f'{mean(day.served_ratio for day in days):8.3f}'
        f'{mean(day.vm_s for day in days):7.0f}'
        f'{mean(day.needed_vm_s for day in days):7.0f}'
        f'{mean(day.moves for day in days):7.0f}'
        f'{mean(day.far_ratio for day in days):6.3f}'
        f'{mean(day.restarts for day in days):7.1f}'
    )
