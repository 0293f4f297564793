"""Test which targets may be given new work."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals, HasLength

from tests.builders import build_record
from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.wire._target_messages import TargetState


class TestMembership(testtools.TestCase):
    """Leases and the order of announcements."""

    def test_lease_ends(self) -> None:
        """A target whose lease ended gets no new work."""
        membership = Membership()
        membership.merge(build_record(lease_left_s=2), now_s=10)

        self.assertThat(membership.serving('records', 11.9), HasLength(1))
        self.assertThat(membership.serving('records', 12), HasLength(0))

    def test_leaving(self) -> None:
        """A target that leaves gets no new work at once."""
        membership = Membership()
        membership.merge(build_record(), now_s=0)

        merged = membership.merge(
            build_record(sequence=2, state=TargetState.LEAVING),
            now_s=0,
        )

        self.assertThat(merged, Equals(Merge.LEFT))
        self.assertThat(membership.serving('records', 0), HasLength(0))

    def test_crossed(self) -> None:
        """An announcement that was overtaken by a leave changes nothing."""
        membership = Membership()
        leaving = build_record(sequence=2, state=TargetState.LEAVING)
        membership.merge(leaving, now_s=0)

        for sequence in (1, 3):
            merged = membership.merge(build_record(sequence=sequence), now_s=0)
            self.assertThat(merged, Equals(Merge.NOTHING))

    def test_restarted(self) -> None:
        """A new incarnation of a target that left serves again."""
        membership = Membership()
        leaving = build_record(sequence=9, state=TargetState.LEAVING)
        membership.merge(leaving, now_s=0)

        membership.merge(build_record(incarnation_ns=2, sequence=1), now_s=0)

        self.assertThat(membership.serving('records', 0), HasLength(1))
