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
    """The states of a flat chart and where each event leads.

    A lookup costs a fraction of a microsecond, a step of an interpreter that
    also runs guards and actions costs several hundred times that; guards stay
    in the code, next to the data that they read.
    """

    initial: str
    states: frozenset[str]
    targets: Mapping[tuple[str, str], str]
    entries: Mapping[str, str]
    actions: Mapping[tuple[str, str], str]

    def step(self, state: str, event: str) -> str | None:
        """Return the state that an event leads to, or None if not allowed."""
        return self.targets.get((state, event))

    def effects(self, state: str, event: str) -> tuple[str, ...]:
        """Return the names of the effects of an event, in their order."""
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
    writes from the charts: reading those takes sismic, which costs each
    process 20 MB and its start a third of a second.

    Parameters
    ----------
    name
        Name of the file, without its ending.

    Returns
    -------
    ChartTable
        The table; sismic has checked the file.
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
    """Return a table that ``encode_table`` wrote."""
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
