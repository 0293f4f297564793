"""Decide which targets may be given new work."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from wigeonreach.wire._target_messages import TargetRecord, TargetState


class Merge(enum.Enum):
    """What a record changed."""

    NOTHING = enum.auto()
    RENEWED = enum.auto()
    JOINED = enum.auto()
    LEFT = enum.auto()


@dataclasses.dataclass(slots=True)
class Member:
    """One target, as this entry knows it."""

    record: TargetRecord
    expires_s: float
    in_flight: int = 0

    def is_serving(self, now_s: float) -> bool:
        """Whether the target may be given new work."""
        return (
            self.record.state is TargetState.SERVING and now_s < self.expires_s
        )


class Membership:
    """The newest record of each target, under a lease."""

    def __init__(self) -> None:
        """Start with no target known."""
        self._members: dict[str, Member] = {}
        self._by_service: dict[str, list[Member]] = {}

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
        known = self._members.get(record.target_id)
        if known is None:
            return self._insert(record, now_s)
        if _age(record) == _age(known.record):
            # Two ways of the same announcement: each expiry is at or before
            # the true one, so that the later of them holds.
            known.expires_s = max(
                known.expires_s,
                now_s + record.lease_left_s,
            )
            return Merge.NOTHING
        if _age(record) < _age(known.record):
            return Merge.NOTHING
        if _is_undone(known.record, record):
            return Merge.NOTHING
        return self._replace(known, record, now_s)

    def serving(self, service: str, now_s: float) -> list[Member]:
        """Return the targets of a service that may be given new work."""
        return [
            member
            for member in self._by_service.get(service, ())
            if member.is_serving(now_s)
        ]

    def records(self, now_s: float) -> tuple[TargetRecord, ...]:
        """Return all records whose lease still runs."""
        return tuple(
            msgspec.structs.replace(
                member.record,
                lease_left_s=member.expires_s - now_s,
            )
            for member in self._members.values()
            if member.expires_s > now_s
        )

    def expire(self, now_s: float) -> list[TargetRecord]:
        """Forget targets whose lease ended and that have nothing in flight."""
        ended = [
            member
            for member in self._members.values()
            if member.expires_s <= now_s and not member.in_flight
        ]
        for one in ended:
            self._forget(one)
        return [gone.record for gone in ended]

    def _insert(self, record: TargetRecord, now_s: float) -> Merge:
        member = Member(record, now_s + record.lease_left_s)
        self._members[record.target_id] = member
        self._by_service.setdefault(record.service, []).append(member)
        return Merge.JOINED

    def _replace(
        self,
        known: Member,
        record: TargetRecord,
        now_s: float,
    ) -> Merge:
        if record.service != known.record.service:
            self._forget(known)
            return self._insert(record, now_s)
        was_serving = known.record.state is TargetState.SERVING
        known.record = record
        known.expires_s = now_s + record.lease_left_s
        if was_serving and record.state is TargetState.LEAVING:
            return Merge.LEFT
        return Merge.RENEWED

    def _forget(self, member: Member) -> None:
        self._members.pop(member.record.target_id)
        self._by_service[member.record.service].remove(member)


def _age(record: TargetRecord) -> tuple[int, int]:
    return record.incarnation_ns, record.sequence


def _is_undone(known: TargetRecord, record: TargetRecord) -> bool:
    # A target that is leaving comes back only as a new incarnation, so that
    # announcements that crossed each other can't bring it back.
    return (
        known.state is TargetState.LEAVING
        and known.incarnation_ns == record.incarnation_ns
    )
