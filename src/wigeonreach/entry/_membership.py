"""Track the targets and decide which ones accept new requests."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from wigeonreach.entry._member import (
    Member,
    Merge,
    merge_same_incarnation,
    with_current_age,
)
from wigeonreach.entry._target_state import TargetAnswered
from wigeonreach.wire._target_messages import (
    Renewal,
    TargetRecord,
    TargetState,
)

__all__ = ('Member', 'Membership', 'Merge')

#: How long a confirmation by the target itself stays valid, in seconds, while
#: this entry is out of contact with a peer that may know of a leave.
CONFIRMATION_VALID_S = 1.2
#: How long a record is kept after its lease, in seconds, so that a late
#: announcement can't bring back a target that left.
TOMBSTONE_S = 300.0
_NEVER_S = float('-inf')
_ALWAYS_S = float('inf')


class Membership:
    """The latest record of each target, valid for the target's lease.

    Parameters
    ----------
    zone
        Zone of this entry; None treats the targets of all zones as its own.
    contact_until_s
        Monotonic time, in seconds, until which this entry is in contact with
        all peers of its zone.
    """

    def __init__(
        self,
        zone: str | None = None,
        contact_until_s: float = _ALWAYS_S,
    ) -> None:
        """Start without any target."""
        self._zone = zone
        self._contact_until_s = contact_until_s
        self._confirmed_after_s = _NEVER_S
        self._members: dict[str, Member] = {}
        self._by_address: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}
        self._last_lookup_s: dict[str, float] = {}
        self._unconfirmed: set[Member] = set()

    @property
    def near_count(self) -> int:
        """Number of known targets of the zone, expired ones included."""
        return sum(map(self._is_in_zone, self._members.values()))

    def merge(self, record: TargetRecord, now_s: float) -> Merge:
        """Merge a record received from its target or from a peer.

        Parameters
        ----------
        record
            The record; one older than the known record is ignored.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        Merge
            Effect of the record.
        """
        if self._is_address_taken(record):
            return Merge.STALE
        known = self._members.get(record.target_id)
        if known is None:
            return self._insert(record, now_s)
        if record.incarnation_ns > known.record.incarnation_ns:
            self._remove(known)
            return self._insert(record, now_s)
        if record.incarnation_ns < known.record.incarnation_ns:
            return Merge.STALE
        return merge_same_incarnation(known, record, now_s)

    def see(self, answered: TargetAnswered) -> TargetRecord | None:
        """Handle the state that a target reported in a response.

        Parameters
        ----------
        answered
            The reported state, and when the request for it was sent.

        Returns
        -------
        TargetRecord or None
            The record to relay if the target is newly known to be leaving.
        """
        member = self._by_address.get(answered.address)
        if member is None or not member.is_serving(answered.sent_s):
            return None
        if member.record.incarnation_ns != answered.incarnation_ns:
            return None
        if answered.state is TargetState.SERVING:
            member.last_serving_s = max(member.last_serving_s, answered.sent_s)
            member.renewed_s = max(member.renewed_s, answered.sent_s)
            return None
        member.record = msgspec.structs.replace(
            member.record,
            state=TargetState.LEAVING,
        )
        return member.record

    def merge_renewal(self, renewal: Renewal, now_s: float) -> Merge:
        """Merge an announcement that changes only its sequence number."""
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
        return merge_same_incarnation(member, renewed, now_s)

    def find(self, target_id: str) -> Member | None:
        """Return the state of a target, or None if it is unknown."""
        return self._members.get(target_id)

    def set_contact_until(self, until_s: float) -> None:
        """Set until when all peers of the zone are in contact."""
        self._contact_until_s = until_s

    def require_confirmation(self, now_s: float) -> None:
        """Require that each target confirms its state after ``now_s``.

        Called after a restart of a peer or of this entry: the restarted
        process may have lost the information that a target left.
        """
        self._confirmed_after_s = now_s
        self._unconfirmed.update(self._members.values())

    def serving(self, service: str, now_s: float) -> list[Member]:
        """Return the zone's targets of a service that accept new requests."""
        self._last_lookup_s[service] = now_s
        in_contact = now_s < self._contact_until_s
        return [
            member
            for member in self._by_service.get(service, ())
            if self._is_in_zone(member)
            and member.is_serving(now_s)
            and self._is_trusted(member, now_s, in_contact=in_contact)
        ]

    def trusted_until_s(self, member: Member) -> float:
        """Return until when a record is trusted without a new confirmation."""
        confirmed_until_s = member.confirmed_s + CONFIRMATION_VALID_S
        is_covered = self._is_in_zone(member) and self._is_confirmed(member)
        return (
            max(confirmed_until_s, self._contact_until_s)
            if is_covered
            else confirmed_until_s
        )

    def lapsing(self, ahead_s: float, now_s: float) -> list[Member]:
        """Return the zone's targets to probe, those of services in use first.

        Parameters
        ----------
        ahead_s
            Selects targets whose record is trusted for less than this, in
            seconds.
        now_s
            Monotonic time of this process, in seconds.
        """
        if now_s + ahead_s < self._contact_until_s:
            # Contact covers all confirmed targets.  This method is called
            # often, so only the unconfirmed ones are scanned.
            self._drop_confirmed()
            members = list(self._unconfirmed)
        else:
            members = list(self._members.values())
        found = [
            member
            for member in members
            if self._is_in_zone(member)
            and member.is_serving(now_s)
            and self.trusted_until_s(member) < now_s + ahead_s
        ]
        found.sort(key=self._last_lookup_of, reverse=True)
        return found

    def records(self, now_s: float) -> tuple[TargetRecord, ...]:
        """Return all records of the zone with their current ages."""
        return tuple(
            with_current_age(member, now_s)
            for member in self._members.values()
            if self._is_in_zone(member)
        )

    def known(self) -> Iterator[tuple[str, int]]:
        """Yield identifier and incarnation of each target, also expired ones."""
        for target_id, member in self._members.items():
            yield target_id, member.record.incarnation_ns

    def expire(self, now_s: float) -> list[TargetRecord]:
        """Return newly expired targets; remove those past ``TOMBSTONE_S``."""
        ended = [
            member
            for member in self._members.values()
            if member.expires_s <= now_s
        ]
        newly_expired = [
            member.record for member in ended if not member.has_expired
        ]
        for member in ended:
            member.has_expired = True
            kept_until_s = (
                member.updated_s + member.record.lease_s + TOMBSTONE_S
            )
            if kept_until_s <= now_s:
                self._remove(member)
        return newly_expired

    def _is_in_zone(self, member: Member) -> bool:
        return self._zone is None or member.record.zone == self._zone

    def _is_trusted(
        self,
        member: Member,
        now_s: float,
        *,
        in_contact: bool,
    ) -> bool:
        confirmed_s = member.confirmed_s
        if in_contact and confirmed_s >= self._confirmed_after_s:
            return True
        return now_s < confirmed_s + CONFIRMATION_VALID_S

    def _drop_confirmed(self) -> None:
        confirmed = filter(self._is_confirmed, self._unconfirmed)
        self._unconfirmed.difference_update(list(confirmed))

    def _last_lookup_of(self, member: Member) -> float:
        return self._last_lookup_s.get(member.record.service, _NEVER_S)

    def _is_address_taken(self, record: TargetRecord) -> bool:
        owner = self._by_address.get(record.address)
        if owner is None or owner.record.target_id == record.target_id:
            return False
        return owner.record.incarnation_ns >= record.incarnation_ns

    def _insert(self, record: TargetRecord, now_s: float) -> Merge:
        member = Member(record, now_s - record.age_s, now_s)
        self._members[record.target_id] = member
        self._by_service.setdefault(record.service, []).append(member)
        self._unconfirmed.add(member)
        self._claim_address(member)
        return Merge.JOINED

    def _is_confirmed(self, member: Member) -> bool:
        return member.confirmed_s >= self._confirmed_after_s

    def _claim_address(self, member: Member) -> None:
        owner = self._by_address.get(member.record.address)
        if owner is not None and owner is not member:
            owner.is_superseded = True
        self._by_address[member.record.address] = member

    def _remove(self, member: Member) -> None:
        record = member.record
        self._members.pop(record.target_id)
        self._unconfirmed.discard(member)
        self._by_service[record.service].remove(member)
        if self._by_address.get(record.address) is member:
            self._by_address.pop(record.address)
