"""Test which targets accept new requests."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals, HasLength, Is, Not

from tests.builders import build_record
from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.entry._target_state import TargetAnswered
from wigeonreach.wire._target_messages import TargetState


class TestMembership(testtools.TestCase):
    """Leases and the order of announcements."""

    def test_lease_ends(self) -> None:
        """A target whose lease ended gets no new requests."""
        membership = Membership()
        membership.merge(build_record(lease_s=2), now_s=10)

        self.assertThat(membership.serving('records', 11.9), HasLength(1))
        self.assertThat(membership.serving('records', 12), HasLength(0))

    def test_leaving(self) -> None:
        """A leaving target gets no new requests from then on."""
        membership = Membership()
        membership.merge(build_record(), now_s=0)

        merged = membership.merge(
            build_record(sequence=2, state=TargetState.LEAVING),
            now_s=0,
        )

        self.assertThat(merged, Equals(Merge.LEFT))
        self.assertThat(membership.serving('records', 0), HasLength(0))

    def test_late_announcement(self) -> None:
        """An announcement that arrives after a leave is ignored."""
        membership = Membership()
        leaving = build_record(sequence=2, state=TargetState.LEAVING)
        membership.merge(leaving, now_s=0)

        for sequence in (1, 3):
            merged = membership.merge(build_record(sequence=sequence), now_s=0)
            self.assertThat(merged, Equals(Merge.NOTHING))

    def test_new_incarnation(self) -> None:
        """A new incarnation of a target that left serves again."""
        membership = Membership()
        leaving = build_record(sequence=9, state=TargetState.LEAVING)
        membership.merge(leaving, now_s=0)

        membership.merge(build_record(incarnation_ns=2, sequence=1), now_s=0)
        late = membership.merge(build_record(sequence=10), now_s=0)

        self.assertThat(late, Equals(Merge.STALE))
        self.assertThat(membership.serving('records', 0), HasLength(1))

    def test_address_taken(self) -> None:
        """Of two targets at one address only the newest incarnation serves."""
        older = build_record()
        newer = build_record(
            target_id='newer',
            address=older.address,
            incarnation_ns=2,
        )
        for records in ((newer, older), (older, newer)):
            membership = Membership()
            for record in records:
                membership.merge(record, now_s=0)

            serving = membership.serving('records', 0)
            names = [member.record.target_id for member in serving]
            self.assertThat(names, Equals(['newer']))

    def test_out_of_contact(self) -> None:
        """Without contact a target must have been confirmed recently."""
        membership = Membership('a', contact_until_s=10)
        membership.merge(build_record(lease_s=60), now_s=5)

        self.assertThat(membership.serving('records', 9.9), HasLength(1))
        self.assertThat(membership.serving('records', 10), HasLength(0))
        membership.see(_answered(TargetState.SERVING, sent_s=10))
        self.assertThat(membership.serving('records', 11.1), HasLength(1))
        self.assertThat(membership.serving('records', 11.2), HasLength(0))

    def test_peer_restarted(self) -> None:
        """After a peer restart a target needs a new confirmation.

        The peer may have lost a leave that no other entry knows of.
        """
        membership = Membership('a')
        membership.merge(build_record(lease_s=60), now_s=0)

        membership.require_confirmation(5)

        self.assertThat(membership.serving('records', 5), HasLength(0))
        membership.merge(build_record(lease_s=60, sequence=2), now_s=6)
        self.assertThat(membership.serving('records', 30), HasLength(1))

    def test_leave_in_response(self) -> None:
        """A target that reports leaving in a response gets no new requests."""
        membership = Membership()
        membership.merge(build_record(), now_s=0)

        stale = _answered(TargetState.LEAVING, incarnation_ns=9)
        self.assertThat(membership.see(stale), Is(None))
        left = membership.see(_answered(TargetState.LEAVING))

        self.assertThat(left, Not(Is(None)))
        self.assertThat(membership.serving('records', 0), HasLength(0))

    def test_relayed_age(self) -> None:
        """Relaying or repeating an announcement doesn't extend the lease."""
        membership = Membership()
        membership.merge(build_record(age_s=1.5), now_s=10)
        membership.merge(build_record(age_s=1.8), now_s=10)

        self.assertThat(membership.serving('records', 10.4), HasLength(1))
        self.assertThat(membership.serving('records', 10.5), HasLength(0))

    def test_tombstone(self) -> None:
        """A leave is kept well past the lease, then removed."""
        membership = Membership()
        membership.merge(build_record(state=TargetState.LEAVING), now_s=0)

        self.assertThat(membership.expire(3), HasLength(1))
        self.assertThat(membership.expire(4), HasLength(0))
        membership.merge(build_record(sequence=9), now_s=100)
        self.assertThat(membership.serving('records', 100), HasLength(0))
        membership.expire(303)
        self.assertThat(membership.near_count, Equals(0))


def _answered(
    state: TargetState,
    sent_s: float = 0,
    incarnation_ns: int = 1,
) -> TargetAnswered:
    address = build_record().address
    return TargetAnswered(address, incarnation_ns, state, sent_s)
