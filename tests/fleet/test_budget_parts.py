"""Test that partitioned zones together can't exceed the budget."""

from __future__ import annotations

import random

import testtools
from testtools.matchers import Equals

from wigeonreach.fleet import ZonePart, acknowledge, held_slots, offer, split

_ZONES = ('a', 'b', 'c')
_TOTAL_SLOTS = 40


class TestParts(testtools.TestCase):
    """Parts of the budget by zone."""

    def test_split(self) -> None:
        """Zones get whole units by waiting VMs, and none without any."""
        parts = split(20, 8, {'a': 1, 'b': 9, 'c': 0})

        self.assertThat(dict(parts), Equals({'a': 0, 'b': 16, 'c': 0}))

    def test_never_exceeded(self) -> None:
        """Zones that act on late offers never exceed the total together."""
        rng = random.Random(3)  # noqa: S311 - seeded test data
        parts = {zone: ZonePart(zone) for zone in _ZONES}
        accepted = dict(parts)
        sent: list[ZonePart] = []
        for _ in range(2000):
            wanted = {zone: rng.randrange(5) * 8 for zone in _ZONES}
            parts = dict(offer(parts, wanted, _TOTAL_SLOTS))
            sent.extend(parts.values())
            # Offers may be delayed, duplicated, reordered or lost.
            taken = rng.choice(sent)
            if taken.version > accepted[taken.zone].version:
                accepted[taken.zone] = taken
            if rng.choice((True, False)):
                known = accepted[taken.zone]
                parts = dict(acknowledge(parts, known.zone, known.version))

            in_use = sum(part.offered_slots for part in accepted.values())
            self.assertTrue(in_use <= _TOTAL_SLOTS)
            self.assertTrue(in_use <= held_slots(parts.values()))
