"""Variants of the scheduler: mechanisms disabled, or constants changed."""

from __future__ import annotations

import contextlib
import dataclasses
import importlib
import math
from collections.abc import Iterator
from types import MappingProxyType


@dataclasses.dataclass(frozen=True, slots=True)
class Override:
    """Replacement value for a name in a module of the scheduler.

    Attributes
    ----------
    place
        MODULE:NAME or MODULE:CLASS.NAME, within ``wigeonreach.scheduling``.
    """

    place: str
    value: object


@dataclasses.dataclass(frozen=True, slots=True)
class Variant:
    """The scheduler with some values overridden."""

    name: str
    overrides: tuple[Override, ...] = ()


def parse_overrides(text: str) -> tuple[Override, ...]:
    """Parse ``PLACE=NUMBER,PLACE=NUMBER``.

    Raises
    ------
    ValueError
        If the text has another form.
    """
    return tuple(map(_parse_override, text.split(',')))


def _parse_override(text: str) -> Override:
    place, _, number = text.partition('=')
    if ':' not in place:
        raise ValueError(f'{text!r}; allowed: MODULE:NAME=NUMBER')
    return Override(place, float(number))


@contextlib.contextmanager
def applied(variant: Variant) -> Iterator[None]:
    """Apply the overrides of a variant, and undo them on exit."""
    with contextlib.ExitStack() as undo:
        for override in variant.overrides:
            owner, name = _find(override.place)
            undo.callback(setattr, owner, name, getattr(owner, name))
            setattr(owner, name, override.value)
        yield


def _find(place: str) -> tuple[object, str]:
    module, _, path = place.partition(':')
    owner: object = importlib.import_module(f'wigeonreach.scheduling.{module}')
    *classes, name = path.split('.')
    for inner in classes:
        owner = getattr(owner, inner)
    if not hasattr(owner, name):
        raise ValueError(f'{place!r}: no such name')
    return owner, name


def _without(name: str, place: str, value: object) -> Variant:
    return Variant(f'without {name}', (Override(place, value),))


def _no_set(*_: object) -> set[object]:
    return set()


def _no_map(*_: object) -> dict[str, float]:
    return {}


def _nothing(*_: object) -> list[object]:
    return []


def _all_workers(*asked: object) -> object:
    """Return the workers that ``DataLocality.nearby_workers`` is given last."""
    return asked[-1]


# The scheduler as it is, and one variant for each disabled mechanism.
VARIANTS = MappingProxyType(
    {
        variant.name: variant
        for variant in (
            Variant('as it is'),
            _without('triage', '_ready:deferred_occurrences', _no_set),
            _without(
                'near waiting',
                'placing._locality:DataLocality.nearby_workers',
                _all_workers,
            ),
            _without('lookahead', 'pooling._pools:_LOOKAHEAD_S', 0.0),
            _without('give-back', 'pooling._pools:_SETTLE_S', math.inf),
            _without('slow order', '_progress:ProgressTracker.slow', _no_map),
            _without(
                'moves off slow workers',
                '_progress:ProgressTracker.stragglers',
                _nothing,
            ),
            _without(
                'progress watch',
                '_progress:ProgressTracker.on_heartbeat',
                _nothing,
            ),
            _without(
                'quarantine',
                '_quarantine:WorkerQuarantine.quarantined',
                _no_set,
            ),
            _without('rack courtesy', 'placing._choosing:_DATA_RACK_COST', 0.0),
            _without(
                'apart from serving',
                'placing._choosing:_BESIDE_SERVING_COST',
                0.0,
            ),
        )
    }
)
