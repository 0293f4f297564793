"""Test the incrementally updated counts of the inventory."""

from __future__ import annotations

import random

import testtools
from testtools.matchers import Equals

from tests.builders_fleet import ZONES, build_vm
from wigeonreach.fleet import Inventory, Vm, VmState
from wigeonreach.text import FailureDomain

_STEPS = 400


class TestInventory(testtools.TestCase):
    """Counts of slots by pool and failure domain."""

    def test_counts(self) -> None:
        """After random changes, each count equals a full recount."""
        rng = random.Random(7)  # noqa: S311 - seeded test data
        inventory = Inventory(watched_pools=('old',))
        for _ in range(_STEPS):
            inventory.put(self._random_vm(rng))
            inventory.remove(f'vm-{rng.randrange(40)}')

        for pool in ('desk', 'old'):
            for kind in FailureDomain:
                counts = inventory.up_by_domain(pool, kind)
                expected = self._count(inventory, pool, kind)
                self.assertThat(counts.peak(), Equals(max(expected.values())))
                self.assertThat(
                    counts.total_slots,
                    Equals(sum(expected.values())),
                )
        self.assertThat(
            inventory.fleet_up_by_domain(FailureDomain.ZONE).total_slots,
            Equals(inventory.up_slots('desk')),
        )

    def test_peak_without(self) -> None:
        """The largest count can be computed without some slots of a domain."""
        inventory = Inventory(
            build_vm(name=f'{zone}{number}', zone=zone)
            for zone, count in (('a', 3), ('b', 2))
            for number in range(count)
        )
        counts = inventory.up_by_domain('desk', FailureDomain.ZONE)

        self.assertThat(counts.peak(), Equals(24))
        self.assertThat(counts.peak('a', 16), Equals(16))
        self.assertThat(counts.peak('b', 16), Equals(24))

    def _random_vm(self, rng: random.Random) -> Vm:
        return build_vm(
            name=f'vm-{rng.randrange(40)}',
            zone=rng.choice(ZONES),
            rack=f'r{rng.randrange(3)}',
            pool=rng.choice(('desk', 'old')),
            state=rng.choice(tuple(VmState)),
            slots=rng.randrange(1, 9),
        )

    def _count(
        self,
        inventory: Inventory,
        pool: str,
        kind: FailureDomain,
    ) -> dict[str, int]:
        counts: dict[str, int] = {}
        for vm in inventory.vms_in_pool(pool):
            if vm.is_up:
                key = vm.domain(kind)
                counts[key] = counts.get(key, 0) + vm.slots
        return counts
