"""Look up the transitions of a state chart."""

from __future__ import annotations

import dataclasses
import functools
import json
import pathlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any

_TABLES = pathlib.Path(__file__).parent / 'tables.json'
_SEPARATOR = ' '


@dataclasses.dataclass(frozen=True, slots=True)
class ChartTable:
    """Transition table of a flat state chart.

    A lookup takes a fraction of a microsecond; a step of an interpreter that
    also runs guards and actions takes several hundred times as long.  Guards
    are therefore in the code, next to the data that they read.

    Attributes
    ----------
    initial
        Initial state.
    states
        Names of all states.
    targets
        Target state by source state and event.
    entries
        Name of the effect of entering a state, by state.
    actions
        Name of the effect of a transition, by source state and event.
    """

    initial: str
    states: frozenset[str]
    targets: Mapping[tuple[str, str], str]
    entries: Mapping[str, str]
    actions: Mapping[tuple[str, str], str]

    def step(self, state: str, event: str) -> str | None:
        """Return the target state of an event, or None if not allowed."""
        return self.targets.get((state, event))

    def effects(self, state: str, event: str) -> tuple[str, ...]:
        """Return the names of the effects of an event, in order."""
        action = self.actions.get((state, event))
        entry = self.entries.get(self.targets.get((state, event), ''))
        return tuple(name for name in (action, entry) if name)

    def events(self, state: str) -> tuple[str, ...]:
        """Return the events that are allowed in a state."""
        return tuple(
            sorted(event for source, event in self.targets if source == state),
        )


@functools.cache
def load_chart(name: str) -> ChartTable:
    """Return the chart of ``NAME.yaml`` of this package.

    The daemons read ``tables.json``, which ``python -m wigeonreach.charts``
    generates: loading the chart files themselves needs sismic, which costs
    each process 20 MB of memory and a third of a second at start.

    Parameters
    ----------
    name
        Name of the file without extension.

    Returns
    -------
    ChartTable
        The table, validated by sismic when it was generated.
    """
    return decode_table(_tables()[name])


def encode_table(table: ChartTable) -> dict[str, object]:
    """Return a table in the form of ``tables.json``."""
    return {
        'initial': table.initial,
        'states': sorted(table.states),
        'targets': _join_keys(table.targets),
        'entries': dict(sorted(table.entries.items())),
        'actions': _join_keys(table.actions),
    }


def decode_table(fields: Mapping[str, Any]) -> ChartTable:
    """Return the table that ``encode_table`` encoded."""
    return ChartTable(
        initial=fields['initial'],
        states=frozenset(fields['states']),
        targets=_split_keys(fields['targets']),
        entries=MappingProxyType(fields['entries']),
        actions=_split_keys(fields['actions']),
    )


@functools.cache
def _tables() -> Mapping[str, Mapping[str, Any]]:
    tables: Mapping[str, Mapping[str, Any]] = json.loads(_TABLES.read_text())
    return tables


def _join_keys(pairs: Mapping[tuple[str, str], str]) -> dict[str, str]:
    return {
        _SEPARATOR.join(pair): value for pair, value in sorted(pairs.items())
    }


def _split_keys(
    pairs: Mapping[str, str],
) -> Mapping[tuple[str, str], str]:
    split: dict[tuple[str, str], str] = {}
    for joined, target in pairs.items():
        state, _, event = joined.partition(_SEPARATOR)
        split[state, event] = target
    return MappingProxyType(split)
