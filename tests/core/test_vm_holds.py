"""Test which VMs a new leader has to leave alone for a while.

Pattern: leaders change in the middle of a peak, and the pools that lack VMs
must not wait for VMs that nobody has ordered for long.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import TERM, FakeLead, store_with, workers
from wigeonreach.core._vm_holds import VmHolds
from wigeonreach.jobs import (
    BeginTerm,
    JobStore,
    RecordVmOrders,
    Verdict,
    VmStep,
)
from wigeonreach.lab import commit

_PAUSE_S = 3.0
_HELD_S = 3.5
_SETTLED_S = 6.5


class TestVmHolds(testtools.TestCase):
    """One process that follows, then leads."""

    def setUp(self) -> None:
        """Follow a leader that ordered one VM at second 10."""
        super().setUp()
        self.store = store_with()
        commit(self.store, RecordVmOrders(TERM, ('vm1',)))
        self.holds = VmHolds(self.store, _PAUSE_S)
        self.holds.refresh(10)

    def test_vm_that_was_just_ordered_is_held(self) -> None:
        """Until no earlier order can be followed too closely."""
        began_s = 11.0
        held = self.holds.held(began_s, began_s)
        self.assertThat(held, matchers.Equals({'vm1'}))
        later = self.holds.held(began_s, began_s + _HELD_S)
        self.assertThat(later, matchers.Equals(set()))

    def test_vm_that_was_ordered_long_ago_is_free(self) -> None:
        """Also at the very beginning of a term."""
        began_s = 10 + _SETTLED_S
        held = self.holds.held(began_s, began_s)
        self.assertThat(held, matchers.Equals(set()))

    def test_answered_order_holds_for_less(self) -> None:
        """It is over since its answer was recorded, at the latest."""
        commit(self.store, RecordVmOrders(TERM, (), answered=('vm1',)))
        self.holds.refresh(10.4)
        held = self.holds.held(11, 13.8)
        self.assertThat(held, matchers.Equals({'vm1'}))
        later = self.holds.held(11, 10.4 + _HELD_S)
        self.assertThat(later, matchers.Equals(set()))

    def test_newer_order_is_not_answered(self) -> None:
        """The answer was to the one before."""
        answer = RecordVmOrders(TERM, ('vm1',), answered=('vm1',))
        commit(self.store, answer)
        self.holds.refresh(12)
        held = self.holds.held(12.5, 15.6)
        self.assertThat(held, matchers.Equals({'vm1'}))

    def test_own_orders_hold_nothing(self) -> None:
        """One leader may order a VM as often as it likes."""
        began_s = 20.0
        commit(self.store, RecordVmOrders(TERM, ('vm2',)))
        self.holds.refresh(began_s + 1)
        held = self.holds.held(began_s, began_s + 1)
        self.assertThat(held, matchers.Equals(set()))

    def test_what_a_snapshot_holds_may_be_recent(self) -> None:
        """Its age is not known."""
        restored = JobStore()
        restored.restore(self.store.snapshot())
        holds = VmHolds(restored, _PAUSE_S)
        holds.refresh(50)
        self.assertThat(holds.held(51, 51), matchers.Equals({'vm1'}))

    def test_answered_order_settles(self) -> None:
        """After its time a restart holds the VM no more."""
        self.holds.note_answered('vm1', 10)
        self.assertThat(self.holds.settled(13.4), matchers.Equals(()))
        settled = self.holds.settled(10 + _HELD_S)
        self.assertThat(settled, matchers.Equals(('vm1',)))
        commit(self.store, RecordVmOrders(TERM, (), settled))
        restored = JobStore()
        restored.restore(self.store.snapshot())
        holds = VmHolds(restored, _PAUSE_S)
        holds.refresh(50)
        self.assertThat(holds.held(51, 51), matchers.Equals(set()))

    def test_answer_of_an_earlier_term_settles_nothing(self) -> None:
        """Another leader may have ordered the VM in between."""
        self.holds.note_answered('vm1', 10)
        commit(self.store, BeginTerm(TERM + 1))
        commit(self.store, RecordVmOrders(TERM + 1, ('vm1',)))
        self.holds.begin_term(100)
        self.assertThat(self.holds.settled(101), matchers.Equals(()))
        self.assertThat(self.holds.take_answered(), matchers.Equals(()))

    def test_vm_that_is_ordered_again_does_not_settle(self) -> None:
        """Its earlier order is over, the newest is not."""
        self.holds.note_answered('vm1', 10)
        self.holds.note_begun('vm1')
        self.assertThat(self.holds.settled(20), matchers.Equals(()))

    def test_order_of_a_wave_counts(self) -> None:
        """It ends what runs on a VM like a move."""
        lead = FakeLead(self.store, workers(1))
        lead.start_wave(['vm3'], limit=1)
        lead.record_vm('vm3', VmStep.ORDERED)
        self.holds.refresh(20)
        self.assertThat(self.holds.held(21, 21), matchers.Equals({'vm3'}))

    def test_former_leader_records_nothing(self) -> None:
        """What it can't record it does not order."""
        commit(self.store, BeginTerm(TERM + 1))
        verdict = commit(self.store, RecordVmOrders(TERM, ('vm4',)))
        self.assertThat(verdict, matchers.Is(Verdict.OUTDATED))
        self.holds.refresh(20)
        self.assertThat(self.holds.held(21, 21), matchers.Equals(set()))
