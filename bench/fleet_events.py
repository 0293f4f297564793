"""Write and read seeded event lists for a simulated fleet."""

from __future__ import annotations

import enum
import math
import pathlib
import random
import sys
from collections.abc import Iterator
from types import MappingProxyType

import msgspec

from bench.fleet_layout import USERS, User

_FOLDER = pathlib.Path(__file__).parent / 'data'
_DAY_S = 86_400.0
_HOUR_S = 3600.0
_USAGE_EVERY_S = 900.0
# Daily rates per VM, from those of a fleet of 22,000 VMs.
_LOST_PER_VM = 410 / 22_000
_RESTARTED_PER_VM = 3200 / 22_000
_VMS = 40


class Kind(enum.StrEnum):
    """Kind of an event."""

    VM_LOST = 'vm_lost'
    VM_BACK = 'vm_back'
    RACK_LOST = 'rack_lost'
    RACK_BACK = 'rack_back'
    ZONE_LOST = 'zone_lost'
    ZONE_BACK = 'zone_back'
    ZONE_CUT = 'zone_cut'
    ZONE_HEALED = 'zone_healed'
    USAGE = 'usage'
    PROMISE = 'promise'
    BAD_IMAGE = 'bad_image'
    START = 'start'
    STOP = 'stop'


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of an event list.

    VMs, racks and zones are indexes modulo their number in the fleet, so
    that one list fits fleets of any size; pools are indexes too.
    """

    at_s: float
    kind: Kind
    subject: int = 0
    amount: float = 0.0


def read_events(name: str) -> list[Event]:
    """Return the events of a list by its name."""
    lines = (_FOLDER / f'{name}.jsonl').read_text().splitlines()
    return [msgspec.json.decode(line, type=Event) for line in lines]


def _ordinary_day(user: User, rng: random.Random) -> Iterator[Event]:
    for _ in range(max(1, round(_LOST_PER_VM * _VMS))):
        yield from _outage(rng, rng.uniform(_HOUR_S, 6 * _HOUR_S))
    for _ in range(round(_RESTARTED_PER_VM * _VMS)):
        yield from _outage(rng, rng.uniform(60, 400))
    flapping = rng.randrange(_VMS)
    for number in range(6):
        at_s = 40_000 + number * 700
        yield Event(at_s, Kind.VM_LOST, flapping)
        yield Event(at_s + 350, Kind.VM_BACK, flapping)
    # Two operators who keep reverting each other's change of one pool.
    for number in range(4):
        at_s = 60_000 + number * 150
        yield Event(at_s, Kind.PROMISE, 0, (16, 0)[number % 2])
    yield from _usage(user, rng)


def _outage(rng: random.Random, length_s: float) -> Iterator[Event]:
    at_s = round(rng.uniform(0, _DAY_S - length_s))
    vm = rng.randrange(_VMS)
    yield Event(at_s, Kind.VM_LOST, vm)
    yield Event(round(at_s + length_s), Kind.VM_BACK, vm)


def _usage(user: User, rng: random.Random) -> Iterator[Event]:
    promised = tuple(user.promised_slots.values())
    for step in range(int(_DAY_S // _USAGE_EVERY_S)):
        at_s = step * _USAGE_EVERY_S
        for pool, slots in enumerate(promised):
            # Pools peak at different hours, up to what is promised.
            phase = 2 * math.pi * (at_s / _DAY_S - pool / len(promised))
            load = 0.6 + 0.25 * math.sin(phase) + rng.gauss(0, 0.06)
            yield Event(at_s, Kind.USAGE, pool, round(slots * load, 1))


def _plain_wave(user: User, rng: random.Random) -> Iterator[Event]:
    yield Event(60, Kind.START)


def _rack_in_wave(user: User, rng: random.Random) -> Iterator[Event]:
    yield Event(60, Kind.START)
    rack = rng.randrange(6)
    yield Event(2400, Kind.RACK_LOST, rack)
    yield Event(9600, Kind.RACK_BACK, rack)
    # A second VM fails right after the repair.
    second = rng.randrange(_VMS)
    yield Event(9700, Kind.VM_LOST, second)
    yield Event(9700 + _HOUR_S, Kind.VM_BACK, second)


def _zone_lost(user: User, rng: random.Random) -> Iterator[Event]:
    yield Event(60, Kind.START)
    zone = rng.randrange(user.shape.zones)
    yield Event(5000, Kind.ZONE_LOST, zone)
    yield Event(5000 + 2 * _HOUR_S, Kind.ZONE_BACK, zone)


def _zone_cut(user: User, rng: random.Random) -> Iterator[Event]:
    yield Event(60, Kind.START)
    zone = rng.randrange(user.shape.zones)
    yield Event(4000, Kind.ZONE_CUT, zone)
    yield Event(5500, Kind.VM_LOST, rng.randrange(_VMS))
    yield Event(4000 + _HOUR_S, Kind.ZONE_HEALED, zone)


def _bad_image(user: User, rng: random.Random) -> Iterator[Event]:
    yield Event(60, Kind.BAD_IMAGE, 0, 1)
    yield Event(60, Kind.START)


def _stop_in_wave(user: User, rng: random.Random) -> Iterator[Event]:
    yield Event(60, Kind.START)
    yield Event(61, Kind.START)
    yield Event(4000, Kind.STOP)
    yield Event(4010, Kind.START)
    yield Event(4020, Kind.STOP)


LISTS = MappingProxyType(
    {
        'day': _ordinary_day,
        'plain-wave': _plain_wave,
        'plain-wave': _plain_wave,
        'rack-in-wave': _rack_in_wave,
        'zone-lost': _zone_lost,
        'zone-cut': _zone_cut,
        'bad-image': _bad_image,
        'stop-in-wave': _stop_in_wave,
    }
)


def main(seed: int) -> int:
    """Regenerate all lists from a seed."""
    for user in USERS:
        for name, make in LISTS.items():
            rng = random.Random(f'{seed}/{user.name}/{name}')
            events = sorted(make(user, rng), key=lambda event: event.at_s)
            path = _FOLDER / f'{user.name}-{name}.jsonl'
            lines = [msgspec.json.encode(event).decode() for event in events]
            path.write_text('\n'.join((*lines, '')))
    return 0


if __name__ == '__main__':
    sys.exit(main(int(sys.argv[1]) if len(sys.argv) > 1 else 1))
