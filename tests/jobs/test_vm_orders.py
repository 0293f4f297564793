"""Test the replicated state of orders for VMs."""

from __future__ import annotations

import msgspec
import testtools
from testtools import matchers

from tests.builders_jobs import TERM, manifest, store_with
from wigeonreach.jobs import JobStore, RecordVmOrders, VmOrder
from wigeonreach.lab import commit


class TestVmOrders(testtools.TestCase):
    """The newest order for each VM."""

    def _orders(self, store: JobStore) -> dict[str, VmOrder]:
        """Return the orders after a snapshot and a restart."""
        restored = JobStore()
        restored.restore(store.snapshot())
        self.assertThat(restored.vm_orders, matchers.Equals(store.vm_orders))
        return restored.vm_orders

    def test_order_records_the_worker_it_terminates(self) -> None:
        """It is empty for a VM without a known worker."""
        store = store_with()
        record = RecordVmOrders(TERM, ('vm1', 'vm2'), workers=('w1',))
        commit(store, record)
        expected = {'vm1': VmOrder('w1'), 'vm2': VmOrder('')}
        self.assertThat(self._orders(store), matchers.Equals(expected))

    def test_answer_is_kept_until_the_next_order(self) -> None:
        """A new order is unanswered again, and a settled one is removed."""
        store = store_with()
        commit(store, RecordVmOrders(TERM, ('vm1',), workers=('w1',)))
        commit(store, RecordVmOrders(TERM, (), answered=('vm1',)))
        expected = {'vm1': VmOrder('w1', is_answered=True)}
        self.assertThat(self._orders(store), matchers.Equals(expected))
        commit(store, RecordVmOrders(TERM, ('vm1',), workers=('w2',)))
        expected = {'vm1': VmOrder('w2')}
        self.assertThat(self._orders(store), matchers.Equals(expected))
        commit(store, RecordVmOrders(TERM, (), settled=('vm1',)))
        self.assertThat(self._orders(store), matchers.Equals({}))

    def test_older_snapshot_with_vms_only_is_read(self) -> None:
        """It was written by an older version."""
        before = (TERM, manifest(), (), (), ('vm1',))
        store = JobStore()
        store.restore(msgspec.msgpack.encode(before))
        expected = {'vm1': VmOrder()}
        self.assertThat(store.vm_orders, matchers.Equals(expected))
