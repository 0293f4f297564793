"""Turn a chart file into a table of transitions."""

from __future__ import annotations

import dataclasses
import functools
import pathlib
from collections.abc import Mapping
from types import MappingProxyType

from sismic import io as sismic_io
from sismic.model import Statechart

_FOLDER = pathlib.Path(__file__).parent


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
    """Read ``NAME.yaml`` of this package.

    Parameters
    ----------
    name
        Name of the file, without its ending.

    Returns
    -------
    ChartTable
        The table; sismic has checked the file.

    Raises
    ------
    ValueError
        If the chart has transitions that need no event.
    """
    chart = sismic_io.import_from_yaml(filepath=_FOLDER / f'{name}.yaml')
    root = chart.state_for(chart.root)
    return ChartTable(
        initial=root.initial,
        states=frozenset(chart.children_for(chart.root)),
        targets=MappingProxyType(_targets(chart)),
        entries=MappingProxyType(_entries(chart)),
        actions=MappingProxyType(
            {
                (transition.source, transition.event): transition.action
                for transition in chart.transitions
                if transition.action
            }
        ),
    )


def _entries(chart: Statechart) -> dict[str, str]:
    states = {
        name: chart.state_for(name) for name in chart.children_for(chart.root)
    }
    return {
        name: state.on_entry
        for name, state in states.items()
        if getattr(state, 'on_entry', None)
    }


def _targets(chart: Statechart) -> dict[tuple[str, str], str]:
    targets: dict[tuple[str, str], str] = {}
    for transition in chart.transitions:
        if transition.event is None:
            raise ValueError(f'{chart.name}: each transition needs an event')
        target = transition.target or transition.source
        targets[transition.source, transition.event] = target
    return targets
