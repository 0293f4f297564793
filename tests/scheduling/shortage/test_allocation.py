"""Test how the VMs of a short fleet are divided between the pools."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.scheduling.shortage import fair_shares, late_share


class TestFairShares(testtools.TestCase):
    """Max-min fair numbers of VMs."""

    def test_all_needs_are_met_if_they_fit(self) -> None:
        """Nothing is given beyond the needs."""
        needs = {'a': 4, 'b': 1, 'c': 0}
        self.assertThat(fair_shares(needs, 9), matchers.Equals(needs))

    def test_flood_takes_nothing_from_small_needs(self) -> None:
        """The pool that asks for most gets what is left."""
        self.assertThat(
            fair_shares({'flood': 100, 'b': 3, 'c': 2}, 12),
            matchers.Equals({'flood': 7, 'b': 3, 'c': 2}),
        )

    def test_equal_floods_share_evenly(self) -> None:
        """Each VM is given to one of them."""
        shares = fair_shares({'a': 100, 'b': 100, 'c': 100}, 10)
        self.assertThat(sum(shares.values()), matchers.Equals(10))
        self.assertThat(
            max(shares.values()) - min(shares.values()), matchers.Equals(1)
        )

    def test_no_vms(self) -> None:
        """All may be gone at once."""
        self.assertThat(fair_shares({'a': 2}, -1), matchers.Equals({'a': 0}))


class TestLateShare(testtools.TestCase):
    """What late work keeps while VMs are short."""

    def test_late_work_always_goes_on(self) -> None:
        """However little it asks for, it keeps a VM."""
        for late_vms, kept in ((0, 0), (1, 1), (10, 1), (11, 2), (100, 10)):
            self.assertThat(late_share(late_vms), matchers.Equals(kept))
