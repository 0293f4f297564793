"""Load chart files with sismic, which also validates them."""

from __future__ import annotations

import json
import pathlib
from types import MappingProxyType

from sismic import io as sismic_io
from sismic.model import Statechart

from wigeonreach.charts._table import ChartTable, encode_table

FOLDER = pathlib.Path(__file__).parent


def encode_all() -> str:
    """Return the content of ``tables.json``, from the chart files."""
    tables = {
        path.stem: encode_table(read_chart(path.stem))
        for path in sorted(FOLDER.glob('*.yaml'))
    }
    encoded = json.dumps(tables, indent=1)
    return f'{encoded}\n'


def read_chart(name: str) -> ChartTable:
    """Load ``NAME.yaml`` of this package.

    Raises
    ------
    ValueError
        If the chart has a transition without an event.
    """
    chart = sismic_io.import_from_yaml(filepath=FOLDER / f'{name}.yaml')
    root = chart.state_for(chart.root)
    return ChartTable(
        initial=root.initial,
        states=frozenset(chart.children_for(chart.root)),
        targets=MappingProxyType(_transition_targets(chart)),
        entries=MappingProxyType(_entry_effects(chart)),
        actions=MappingProxyType(
            {
                (transition.source, transition.event): transition.action
                for transition in chart.transitions
                if transition.action
            }
        ),
    )


def _entry_effects(chart: Statechart) -> dict[str, str]:
    states = {
        name: chart.state_for(name) for name in chart.children_for(chart.root)
    }
    return {
        name: state.on_entry
        for name, state in states.items()
        if getattr(state, 'on_entry', None)
    }


def _transition_targets(chart: Statechart) -> dict[tuple[str, str], str]:
    targets: dict[tuple[str, str], str] = {}
    for transition in chart.transitions:
        if transition.event is None:
            raise ValueError(f'{chart.name}: each transition needs an event')
        target = transition.target or transition.source
        targets[transition.source, transition.event] = target
    return targets
