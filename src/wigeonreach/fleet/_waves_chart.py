"""Load the state chart of one VM in a wave as a transition table."""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Mapping
from types import MappingProxyType

from wigeonreach.charts import load_chart

_CHART = 'wave_vm'


class Phase(enum.StrEnum):
    """Progress of a VM in its wave; the states of the chart."""

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
        """Whether the wave is finished with the VM."""
        return self in _FINAL


_FINAL = frozenset((Phase.MAINTAINED, Phase.FAILED, Phase.SKIPPED))


class VmEvent(enum.StrEnum):
    """Events of a VM in a wave; the events of the chart."""

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
    """Requests to the platform; the actions of the chart."""

    DRAIN = 'drain'
    UNDRAIN = 'undrain'
    REBOOT = 'reboot'
    CHECK = 'check'
    RESTORE = 'restore'


@dataclasses.dataclass(frozen=True, slots=True)
class Transition:
    """Target phase of an event and the requests to the platform."""

    target: Phase
    effects: tuple[EffectKind, ...]


Table = Mapping[tuple[Phase, VmEvent], Transition]


@functools.cache
def wave_table() -> Table:
    """Return the transitions of the chart by phase and event.

    Raises
    ------
    ValueError
        If the chart contains a state, event or action unknown to the code.
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
    """Return the entry actions of a phase, for resending."""
    entry = load_chart(_CHART).entries.get(phase)
    return (EffectKind(entry),) if entry else ()
