"""Split the slots that may be down among zones, safe under partitions.

Each zone takes down its own VMs within its part, without coordination.  The
sum of all parts never exceeds the total, because a part shrinks only after
its zone has acknowledged the change, and parts grow only from free slots.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from types import MappingProxyType


@dataclasses.dataclass(frozen=True, slots=True)
class ZonePart:
    """Slots that one zone may take down for maintenance.

    Attributes
    ----------
    offered_slots
        Slots in the last offer sent to the zone.
    held_slots
        Largest number of slots that the zone may still consider its part;
        not available to other zones.
    version
        Version of the last offer; a zone ignores older ones.
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
    """Return the slots that each zone should get.

    Parameters
    ----------
    total_slots
        Slots that may be down in all zones together.
    unit_slots
        Slots of the largest VM; a zone can't use a smaller part.
    waiting
        Number of VMs that still have to be maintained, by zone.

    Returns
    -------
    Mapping[str, int]
        Slots by zone in whole units, in proportion to the waiting VMs, and
        never more than a zone can use.
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
        The current parts, by zone.
    wanted
        Slots that each zone should get.
    total_slots
        Slots that may be down in all zones together.  If it shrinks, zones
        keep their parts until they have acknowledged smaller ones.

    Returns
    -------
    Parts
        Smaller offers take effect with `acknowledge`; larger ones count
        immediately, because the zone may use them as soon as they are sent.
    """
    after = dict(parts)
    free = total_slots - sum(part.held_slots for part in parts.values())
    for zone, slots in wanted.items():
        part = after.get(zone, ZonePart(zone))
        change = min(slots - part.held_slots, max(free, 0))
        offered = part.held_slots + change
        if offered == part.offered_slots:
            continue
        free -= max(change, 0)
        after[zone] = ZonePart(
            zone,
            offered_slots=offered,
            held_slots=max(offered, part.held_slots),
            version=part.version + 1,
        )
    return MappingProxyType(after)


def acknowledge(parts: Parts, zone: str, version: int) -> Parts:
    """Return the parts after a zone has acknowledged an offer.

    An acknowledgement of an older offer is ignored.
    """
    part = parts.get(zone)
    if part is None or part.version != version:
        return parts
    accepted = dataclasses.replace(part, held_slots=part.offered_slots)
    return MappingProxyType({**parts, zone: accepted})


def held_slots(parts: Iterable[ZonePart]) -> int:
    """Return the slots that all zones together may take down."""
    return sum(part.held_slots for part in parts)


def _neediest(waiting: Mapping[str, int], units: Mapping[str, int]) -> str:
    return max(
        sorted(waiting),
        key=lambda zone: waiting[zone] / (units[zone] + 1),
        default='',
    )
