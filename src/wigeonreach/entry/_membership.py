"""Decide which targets may be given new work."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from wigeonreach.entry._member import Member, Merge, aged, renew
from wigeonreach.entry._target_state import TargetAnswered
from wigeonreach.wire._target_messages import (
    Renewal,
    TargetRecord,
    TargetState,
)

__all__ = ('Member', 'Membership', 'Merge')

#: How long it stays true that a target serves, in seconds, when nobody could
#: have told this entry otherwise.
TRUST_S = 1.2
#: How long a record is kept after its lease, in seconds, so that a late
#: announcement can't bring back a target that left.
TOMBSTONE_S = 300.0
_NEVER_S = float('-inf')
_ALWAYS_S = float('inf')


class Membership:
    """The newest record of each target, under a lease.

    Parameters
    ----------
    zone
        Zone of this entry; None takes targets of every zone for its own.
    contact_until_s
        Until when this entry is in contact with each peer of its zone.
    """

    def __init__(
        self,
        zone: str | None = None,
        contact_until_s: float = _ALWAYS_S,
    ) -> None:
        """Start with no target known."""
        self._zone = zone
        self._contact_until_s = contact_until_s
        self._distrusted_s = _NEVER_S
        self._members: dict[str, Member] = {}
        self._by_address: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._asked_s: dict[str, float] = {}
        self._unvouched: set[Member] = set()

    @property
    def near_count(self) -> int:
        """How many targets of the zone are known, also of those gone."""
        return sum(map(self._is_near, self._members.values()))

    def merge(self, record: TargetRecord, now_s: float) -> Merge:
        """Take one record, from the target itself or from a peer.

        Parameters
        ----------
        record
            The record; an older one than is known changes nothing.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        Merge
            What the record changed.
        """
        if self._is_address_taken(record):
            return Merge.STALE
        known = self._members.get(record.target_id)
        if known is None:
            return self._insert(record, now_s)
        if record.incarnation_ns > known.record.incarnation_ns:
            self._forget(known)
            return self._insert(record, now_s)
        if record.incarnation_ns < known.record.incarnation_ns:
            return Merge.STALE
        return renew(known, record, now_s)

    def see(self, answered: TargetAnswered) -> TargetRecord | None:
        """Note what a target said of itself in an answer to this entry.

        Parameters
        ----------
        answered
            What it said.

        Returns
        -------
        TargetRecord or None
            The record to pass on if the target leaves and this is news.
        """
        member = self._by_address.get(answered.address)
        if member is None or not member.is_serving(answered.sent_s):
            return None
        if member.record.incarnation_ns != answered.incarnation_ns:
            return None
        if answered.state is TargetState.SERVING:
            member.seen_s = max(member.seen_s, answered.sent_s)
            member.renewed_s = max(member.renewed_s, answered.sent_s)
            return None
        member.record = msgspec.structs.replace(
            member.record,
            state=TargetState.LEAVING,
        )
        return member.record

    def renew(self, renewal: Renewal, now_s: float) -> Merge:
        """Take an announcement that changed nothing but its number."""
        member = self._members.get(renewal.target_id)
        if member is None:
            return Merge.NOTHING
        if member.record.incarnation_ns != renewal.incarnation_ns:
            return Merge.NOTHING
        renewed = msgspec.structs.replace(
            member.record,
            state=TargetState.SERVING,
            sequence=renewal.sequence,
            age_s=renewal.age_s,
        )
        return renew(member, renewed, now_s)

    def find(self, target_id: str) -> Member | None:
        """Return what is known of a target."""
        return self._members.get(target_id)

    def extend_contact(self, until_s: float) -> None:
        """Set until when every peer of the zone is in contact."""
        self._contact_until_s = until_s

    def distrust(self, now_s: float) -> None:
        """Trust no record until its target was seen after ``now_s``.

        A peer that was restarted may have forgotten that a target left, and
        so may this entry itself.
        """
        self._distrusted_s = now_s
        self._unvouched.update(self._members.values())

    def serving(self, service: str, now_s: float) -> list[Member]:
        """Return the zone's targets that may be given new work."""
        self._asked_s[service] = now_s
        in_contact = now_s < self._contact_until_s
        return [
            member
            for member in self._by_service.get(service, ())
            if self._is_near(member)
            and member.is_serving(now_s)
            and self._is_trusted(member, now_s, in_contact=in_contact)
        ]

    def trusted_until_s(self, member: Member) -> float:
        """Return until when a record is trusted without being seen again."""
        alone_s = member.vouched_s + TRUST_S
        is_covered = self._is_near(member) and self._is_since_distrust(member)
        return max(alone_s, self._contact_until_s) if is_covered else alone_s

    def lapsing(self, ahead_s: float, now_s: float) -> list[Member]:
        """Return the zone's targets to look at, the most wanted first.

        Parameters
        ----------
        ahead_s
            Those whose record is trusted for less than this, in seconds.
        now_s
            Monotonic time of this process, in seconds.
        """
        if now_s + ahead_s < self._contact_until_s:
            # The rest is vouched for by contact; this is asked all the time.
            self._forget_vouched()
            members = list(self._unvouched)
        else:
            members = list(self._members.values())
        found = [
            member
            for member in members
            if self._is_near(member)
            and member.is_serving(now_s)
            and self.trusted_until_s(member) < now_s + ahead_s
        ]
        found.sort(key=self._asked_when, reverse=True)
        return found

    def records(self, now_s: float) -> tuple[TargetRecord, ...]:
        """Return all records of the zone with their age, also of those gone."""
        return tuple(
            aged(member, now_s)
            for member in self._members.values()
            if self._is_near(member)
        )

    def known(self) -> Iterator[tuple[str, int]]:
        """Yield name and incarnation of each target, also of those gone."""
        for target_id, member in self._members.items():
            yield target_id, member.record.incarnation_ns

    def expire(self, now_s: float) -> list[TargetRecord]:
        """Return targets whose lease ended; forget those gone for long."""
        ended = [
            member
            for member in self._members.values()
            if member.expires_s <= now_s
        ]
        fresh = [member.record for member in ended if not member.has_expired]
        for one in ended:
            one.has_expired = True
            kept_until_s = one.touched_s + one.record.lease_s + TOMBSTONE_S
            if kept_until_s <= now_s:
                self._forget(one)
        return fresh

    def _is_near(self, member: Member) -> bool:
        return self._zone is None or member.record.zone == self._zone

    def _is_trusted(
        self,
        member: Member,
        now_s: float,
        *,
        in_contact: bool,
    ) -> bool:
        vouched_s = member.vouched_s
        if in_contact and vouched_s >= self._distrusted_s:
            return True
        return now_s < vouched_s + TRUST_S

    def _forget_vouched(self) -> None:
        vouched = filter(self._is_since_distrust, self._unvouched)
        self._unvouched.difference_update(list(vouched))

    def _asked_when(self, member: Member) -> float:
        return self._asked_s.get(member.record.service, _NEVER_S)

    def _is_address_taken(self, record: TargetRecord) -> bool:
        owner = self._by_address.get(record.address)
        if owner is None or owner.record.target_id == record.target_id:
            return False
        return owner.record.incarnation_ns >= record.incarnation_ns

    def _insert(self, record: TargetRecord, now_s: float) -> Merge:
        member = Member(record, now_s - record.age_s, now_s)
        self._members[record.target_id] = member
        self._by_service.setdefault(record.service, []).append(member)
        self._unvouched.add(member)
        self._take_address(member)
        return Merge.JOINED

    def _is_since_distrust(self, member: Member) -> bool:
        return member.vouched_s >= self._distrusted_s

    def _take_address(self, member: Member) -> None:
        owner = self._by_address.get(member.record.address)
        if owner is not None and owner is not member:
            owner.is_superseded = True
        self._by_address[member.record.address] = member

    def _forget(self, member: Member) -> None:
        record = member.record
        self._members.pop(record.target_id)
        self._unvouched.discard(member)
        self._by_service[record.service].remove(member)
        if self._by_address.get(record.address) is member:
            self._by_address.pop(record.address)
