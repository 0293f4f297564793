"""Read the chart of one VM in a wave into a table."""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Mapping
from types import MappingProxyType

from wigeonreach.charts import load_chart

_CHART = 'wave_vm'


class Phase(enum.StrEnum):
    """Where a VM stands in its wave; the states of the chart."""

    WAITING = 'waiting'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    CHECKING = 'checking'
    SETTLING = 'settling'
    MAINTAINED = 'maintained'
    FAILED = 'failed'
    SKIPPED = 'skipped'

    @property
    def is_final(self) -> bool:
        """Whether nothing more happens to the VM in this wave."""
        return self in _FINAL


_FINAL = frozenset((Phase.MAINTAINED, Phase.FAILED, Phase.SKIPPED))


class VmEvent(enum.StrEnum):
    """What can happen to a VM of a wave; the events of the chart."""

    GRANTED = 'granted'
    DRAINED = 'drained'
    RECALLED = 'recalled'
    REBOOTED = 'rebooted'
    HEALTHY = 'healthy'
    UNHEALTHY = 'unhealthy'
    TIMED_OUT = 'timed_out'
    LOST = 'lost'
    STOPPED = 'stopped'


class EffectKind(enum.StrEnum):
    """What the platform is asked to do; the actions of the chart."""

    DRAIN = 'drain'
    UNDRAIN = 'undrain'
    REBOOT = 'reboot'
    CHECK = 'check'
    RESTORE = 'restore'


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """Where an event leads and what the platform is asked to do."""

    target: Phase
    effects: tuple[EffectKind, ...]


Table = Mapping[tuple[Phase, VmEvent], Transition]


@functools.cache
def wave_table() -> Table:
    """Return the chart as a table by phase and event.

    Raises
    ------
    ValueError
        If the chart names a state, event or action that the code does not
        know.
    """
    chart = load_chart(_CHART)
    return MappingProxyType(
        {
            (Phase(state), VmEvent(event)): Transition(
                Phase(target),
                tuple(map(EffectKind, chart.effects(state, event))),
            )
            for (state, event), target in chart.targets.items()
        }
    )


@functools.cache
def entry_effects(phase: Phase) -> tuple[EffectKind, ...]:
    """Return what is asked for on entering a phase, for resending."""
    entry = load_chart(_CHART).entries.get(phase)
    return (EffectKind(entry),) if entry else ()
