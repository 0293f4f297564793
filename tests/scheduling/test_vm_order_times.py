"""Test which losses an order for a VM may explain."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import FakeLead, store_with, workers
from wigeonreach.jobs import VmOrder
from wigeonreach.scheduling._losses import SETTLE_WITHIN_S
from wigeonreach.scheduling._vm_order_times import VmOrderTimes
from wigeonreach.scheduling._vms import ORDER_TIMEOUT_S

_BEGAN_S = 100.0


class TestVmOrderTimes(testtools.TestCase):
    """Orders of this leader and of former ones."""

    def test_orders_of_former_leaders_are_known(self) -> None:
        """By worker if it was known, otherwise by VM."""
        inherited = {'vm0': VmOrder('w0'), 'vm1': VmOrder('')}
        orders = VmOrderTimes(inherited, _BEGAN_S)
        found = [
            orders.is_inherited('w0', 'vm0'),
            orders.is_inherited('other', 'vm0'),
            orders.is_inherited('any', 'vm1'),
        ]
        self.assertThat(found, matchers.Equals([True, False, True]))
        self.assertThat(orders.last_s('w0', 'vm0'), matchers.Equals(_BEGAN_S))

    def test_old_orders_are_forgotten(self) -> None:
        """No loss waits that long for an explanation."""
        orders = VmOrderTimes({}, _BEGAN_S)
        orders.note('w0', _BEGAN_S)
        later_s = _BEGAN_S + SETTLE_WITHIN_S + 1
        orders.note('w1', later_s)
        found = [orders.last_s(name, '') for name in ('w0', 'w1')]
        self.assertThat(found, matchers.Equals([float('-inf'), later_s]))

    def test_worker_that_was_heard_long_after_it_was_not_ended(self) -> None:
        """The order was carried out by then, or never is."""
        lead = FakeLead(store_with(), workers(1))
        lead.round()
        incarnation = lead.scheduler.workers.incarnations['w0']
        orders = VmOrderTimes({}, _BEGAN_S)
        orders.note('w0', incarnation.heard_s)
        self.assertThat(orders.may_have_ended(incarnation), matchers.Is(True))
        incarnation.heard_s += ORDER_TIMEOUT_S
        self.assertThat(orders.may_have_ended(incarnation), matchers.Is(False))
