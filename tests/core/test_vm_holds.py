"""Test which VMs a new leader may not send orders for yet.

Guards against pools that lack VMs during a peak load waiting, after a change of
leader, for VMs that have had no order for a long time.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import TERM, FakeLead, store_with, workers
from wigeonreach.core._vm_holds import VmHolds
from wigeonreach.jobs import (
    BeginTerm,
    CommandResult,
    JobStore,
    RecordVmOrders,
    VmStep,
)
from wigeonreach.lab import commit

_PAUSE_S = 3.0
_HELD_S = 3.5
_SETTLED_S = 6.5


class TestVmHolds(testtools.TestCase):
    """Holds of one process that follows, then leads."""

    def setUp(self) -> None:
        """Follow a leader that sent an order for one VM at second 10."""
        super().setUp()
        self.store = store_with()
        commit(self.store, RecordVmOrders(TERM, ('vm1',)))
        self.holds = VmHolds(self.store, _PAUSE_S)
        self.holds.refresh(10)

    def test_vm_with_recent_order_is_held(self) -> None:
        """It is held until the minimum time after the term began."""
        began_s = 11.0
        held = self.holds.held_vms(began_s, began_s)
        self.assertThat(held, matchers.Equals({'vm1'}))
        later = self.holds.held_vms(began_s, began_s + _HELD_S)
        self.assertThat(later, matchers.Equals(set()))

    def test_vm_with_old_order_is_not_held(self) -> None:
        """It is not even held at the beginning of a term."""
        began_s = 10 + _SETTLED_S
        held = self.holds.held_vms(began_s, began_s)
        self.assertThat(held, matchers.Equals(set()))

    def test_answered_order_shortens_the_hold(self) -> None:
        """The hold counts from when the answer was recorded."""
        commit(self.store, RecordVmOrders(TERM, (), answered=('vm1',)))
        self.holds.refresh(10.4)
        held = self.holds.held_vms(11, 13.8)
        self.assertThat(held, matchers.Equals({'vm1'}))
        later = self.holds.held_vms(11, 10.4 + _HELD_S)
        self.assertThat(later, matchers.Equals(set()))

    def test_newer_order_is_not_answered(self) -> None:
        """An answer in the same record belongs to the previous order."""
        answer = RecordVmOrders(TERM, ('vm1',), answered=('vm1',))
        commit(self.store, answer)
        self.holds.refresh(12)
        held = self.holds.held_vms(12.5, 15.6)
        self.assertThat(held, matchers.Equals({'vm1'}))

    def test_own_orders_are_not_held(self) -> None:
        """The minimum time does not apply to orders of the same leader."""
        began_s = 20.0
        commit(self.store, RecordVmOrders(TERM, ('vm2',)))
        self.holds.refresh(began_s + 1)
        held = self.holds.held_vms(began_s, began_s + 1)
        self.assertThat(held, matchers.Equals(set()))

    def test_order_in_a_snapshot_counts_as_recent(self) -> None:
        """The age of an order in a snapshot is unknown."""
        restored = JobStore()
        restored.restore(self.store.snapshot())
        holds = VmHolds(restored, _PAUSE_S)
        holds.refresh(50)
        self.assertThat(holds.held_vms(51, 51), matchers.Equals({'vm1'}))

    def test_answered_order_settles(self) -> None:
        """Once it is settled, a restarted process does not hold its VM."""
        self.holds.note_order_answered('vm1', 10)
        self.assertThat(self.holds.settled_vms(13.4), matchers.Equals(()))
        settled = self.holds.settled_vms(10 + _HELD_S)
        self.assertThat(settled, matchers.Equals(('vm1',)))
        commit(self.store, RecordVmOrders(TERM, (), settled))
        restored = JobStore()
        restored.restore(self.store.snapshot())
        holds = VmHolds(restored, _PAUSE_S)
        holds.refresh(50)
        self.assertThat(holds.held_vms(51, 51), matchers.Equals(set()))

    def test_answer_of_an_earlier_term_settles_nothing(self) -> None:
        """Another leader may have sent an order for the VM in between."""
        self.holds.note_order_answered('vm1', 10)
        commit(self.store, BeginTerm(TERM + 1))
        commit(self.store, RecordVmOrders(TERM + 1, ('vm1',)))
        self.holds.begin_term(100)
        self.assertThat(self.holds.settled_vms(101), matchers.Equals(()))
        self.assertThat(
            self.holds.take_unreported_answers(), matchers.Equals(())
        )

    def test_vm_with_newer_order_does_not_settle(self) -> None:
        """Its earlier order is answered, the newest is not."""
        self.holds.note_order_answered('vm1', 10)
        self.holds.note_order_started('vm1')
        self.assertThat(self.holds.settled_vms(20), matchers.Equals(()))

    def test_wave_order_is_held_too(self) -> None:
        """A maintenance order interrupts a VM just as a move does."""
        lead = FakeLead(self.store, workers(1))
        lead.start_wave(['vm3'], limit=1)
        lead.record_vm('vm3', VmStep.ORDERED)
        self.holds.refresh(20)
        self.assertThat(self.holds.held_vms(21, 21), matchers.Equals({'vm3'}))

    def test_record_of_former_leader_is_rejected(self) -> None:
        """Its record is rejected, so it sends no order."""
        commit(self.store, BeginTerm(TERM + 1))
        result = commit(self.store, RecordVmOrders(TERM, ('vm4',)))
        self.assertThat(result, matchers.Is(CommandResult.OUTDATED))
        self.holds.refresh(20)
        self.assertThat(self.holds.held_vms(21, 21), matchers.Equals(set()))
