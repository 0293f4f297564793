"""Test how many VMs each strategy for spare capacity needs."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals

from wigeonreach.fleet import BufferWay, FleetShape, PoolNeed, size_buffer
from wigeonreach.text import FailureDomain

_SHAPE = FleetShape(
    zones=3,
    rack_vms=4,
    vm_slots=8,
    guard=FailureDomain.ZONE,
)


class TestSizeBuffer(testtools.TestCase):
    """Sizes of a fleet of five pools."""

    def test_ways(self) -> None:
        """Sharing spare capacity needs fewer VMs than holding it per pool."""
        needs = [
            PoolNeed(
                pool=name,
                slots=slots,
                min_slots=slots / 2,
                deferrable_slots=0,
                services=(name,),
                guard=FailureDomain.ZONE,
                is_watched=False,
            )
            for name, slots in zip('abcde', (40, 40, 32, 24, 24), strict=True)
        ]

        sizes = {
            way: size_buffer(way, needs, _SHAPE).vms
            for way in (
                BufferWay.PER_POOL,
                BufferWay.SHARED,
                BufferWay.BORROWED,
            )
        }

        self.assertThat(
            sizes,
            Equals(
                {
                    BufferWay.PER_POOL: 38,
                    BufferWay.SHARED: 32,
                    BufferWay.BORROWED: 30,
                },
            ),
        )
