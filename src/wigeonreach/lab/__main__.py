"""Compare variants of the scheduler on generated days."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import typer

from wigeonreach.lab._day import DayPlan
from wigeonreach.lab._demand import DemandPlan, KindShares
from wigeonreach.lab._table import format_table, simulate_variants
from wigeonreach.lab._variants import VARIANTS, Variant, parse_overrides

_BASE = 'as it is'

app = typer.Typer(add_completion=False, help=__doc__)


@app.command()
def main(
    variant: Annotated[
        list[str], typer.Option(help='Name of a variant; "all" for all.')
    ] = [],  # noqa: B006, WPS404 - read by typer once
    override: Annotated[
        list[str],
        typer.Option(
            help='MODULE:NAME=NUMBER; several for a variant, with commas.'
        ),
    ] = [],  # noqa: B006, WPS404
    days: Annotated[int, typer.Option(help='Days per variant.')] = 5,
    first_seed: Annotated[int, typer.Option(help='Seed of the first day.')] = 1,
    faults: Annotated[float, typer.Option(help='Faults per second.')] = 0.0,
    terms: Annotated[int, typer.Option(help='Number of leader changes.')] = 0,
    load: Annotated[
        float, typer.Option(help='Multiple of the usual load.')
    ] = 1.0,
    kinds: Annotated[
        float, typer.Option(help='Share of each special kind of job.')
    ] = 0.0,
) -> None:
    """Simulate the variants on the same days and print a table."""
    names = list(VARIANTS) if 'all' in variant else [_BASE, *variant]
    chosen = [VARIANTS[name] for name in dict.fromkeys(names)]
    for text in override:
        chosen.append(Variant(text, parse_overrides(text)))
    shares = KindShares(kinds, kinds, kinds, kinds, kinds / 4)
    usual = DemandPlan(kinds=shares)
    demand = dataclasses.replace(usual, jobs_per_s=usual.jobs_per_s * load)
    plan = DayPlan(demand, faults_per_s=faults, leader_changes=terms)
    seeds = range(first_seed, first_seed + days)
    typer.echo(format_table(simulate_variants(chosen, plan, seeds)))


if __name__ == '__main__':
    app()
