"""Split what may be down among zones, so that a cut-off zone can't exceed it.

Each zone acts on its own VMs within its own part and asks nobody.  The sum
of all parts never exceeds the whole, because a part shrinks only once its
zone has acknowledged that, and others grow only from what is free.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from types import MappingProxyType


@dataclasses.dataclass(frozen=True, slots=True)
class ZonePart:
    """What one zone may hold down by its own actions.

    Attributes
    ----------
    offered_slots
        The part as last sent to the zone.
    held_slots
        The most that the zone may believe to be its part; what others can
        not have.
    version
        Grows with each offer; a zone ignores older ones.
    """

    zone: str
    offered_slots: int = 0
    held_slots: int = 0
    version: int = 0


Parts = Mapping[str, ZonePart]


def split(
    total_slots: int,
    unit_slots: int,
    waiting: Mapping[str, int],
) -> Mapping[str, int]:
    """Return the part that each zone should have.

    Parameters
    ----------
    total_slots
        What may be down in all zones together.
    unit_slots
        Slots of the largest VM: a smaller part is of no use to a zone.
    waiting
        VMs that still have to be maintained, by zone.

    Returns
    -------
    Mapping[str, int]
        Whole units by zone, most to the zones where most is waiting, and
        never more to a zone than it can use.
    """
    units = dict.fromkeys(waiting, 0)
    for _ in range(total_slots // unit_slots):
        neediest = _neediest(waiting, units)
        if not neediest or units[neediest] >= waiting[neediest]:
            break
        units[neediest] += 1
    return MappingProxyType(
        {zone: count * unit_slots for zone, count in units.items()},
    )


def offer(parts: Parts, wanted: Mapping[str, int], total_slots: int) -> Parts:
    """Return the parts after new offers.

    Parameters
    ----------
    parts
        The parts so far.
    wanted
        What each zone should have, in slots.
    total_slots
        What may be down in all zones together.  If it shrinks, zones keep
        their parts until they have acknowledged less.

    Returns
    -------
    Parts
        Shrunk offers wait for `acknowledge`; grown ones count at once,
        because the zone may act on them as soon as they are sent.
    """
    after = dict(parts)
    free = total_slots - sum(part.held_slots for part in parts.values())
    for zone, slots in wanted.items():
        part = after.get(zone, ZonePart(zone))
        grown = min(slots - part.held_slots, max(free, 0))
        aim = part.held_slots + grown
        if aim == part.offered_slots:
            continue
        free -= max(grown, 0)
        after[zone] = ZonePart(
            zone,
            offered_slots=aim,
            held_slots=max(aim, part.held_slots),
            version=part.version + 1,
        )
    return MappingProxyType(after)


def acknowledge(parts: Parts, zone: str, version: int) -> Parts:
    """Return the parts after a zone has taken an offer.

    An acknowledgement of an older offer changes nothing.
    """
    part = parts.get(zone)
    if part is None or part.version != version:
        return parts
    taken = dataclasses.replace(part, held_slots=part.offered_slots)
    return MappingProxyType({**parts, zone: taken})


def held_slots(parts: Iterable[ZonePart]) -> int:
    """Return the most that all zones together may hold down."""
    return sum(part.held_slots for part in parts)


def _neediest(waiting: Mapping[str, int], units: Mapping[str, int]) -> str:
    return max(
        sorted(waiting),
        key=lambda zone: waiting[zone] / (units[zone] + 1),
        default='',
    )
