"""Decide what to tell the zone's entries, and how old what they tell is."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

import msgspec

from wigeonreach.entry._contact import Contacts
from wigeonreach.entry._member import Member, aged
from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._target_messages import (
    Renewal,
    Renewals,
    TargetRecord,
    Targets,
)

_PASSED_ON_WHOLE = frozenset((Merge.JOINED, Merge.CHANGED, Merge.LEFT))


@dataclasses.dataclass(frozen=True, slots=True)
class ToPeer:
    """One message to send to one entry of the zone."""

    peer: str
    message: WireMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Merged:
    """What one record changed."""

    record: TargetRecord
    merge: Merge


class Spreading:
    """What this entry tells the others of its zone, and hears from them.

    Parameters
    ----------
    membership
        Table that is kept up to date.
    contacts
        Contact with each peer.
    incarnation_ns
        Incarnation of this entry.
    zone_names
        The other entries of the zone.
    """

    def __init__(
        self,
        membership: Membership,
        contacts: Contacts,
        incarnation_ns: int,
        zone_names: tuple[str, ...],
    ) -> None:
        """Start with nothing to tell."""
        self._membership = membership
        self._contacts = contacts
        self._incarnation_ns = incarnation_ns
        self._zone_names = zone_names
        self._renewed: set[str] = set()

    def learn(
        self,
        record: TargetRecord,
        now_s: float,
    ) -> tuple[Merge, list[ToPeer]]:
        """Merge what a target announced here.

        Parameters
        ----------
        record
            What the target announced, with the time that it waited as age.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        tuple of Merge and list of ToPeer
            What it changed, and what to send at once.
        """
        merged = self._membership.merge(record, now_s)
        if merged is Merge.RENEWED:
            self._renewed.add(record.target_id)
        if merged in _PASSED_ON_WHOLE:
            return merged, self.tell(record.target_id, now_s)
        return merged, []

    def tell(self, target_id: str, now_s: float) -> list[ToPeer]:
        """Return messages that tell every entry of one target."""
        members = self._find((target_id,))
        records = tuple(aged(member, now_s) for member in members)
        return [
            ToPeer(name, self._addressed(name, records))
            for name in self._zone_names
        ]

    def sync(self, name: str, now_s: float) -> Iterator[WireMessage]:
        """Yield what a peer must know before it is in contact."""
        if name in self._zone_names:
            yield self._addressed(name, self._membership.records(now_s))

    def take_renewed(self, now_s: float) -> list[ToPeer]:
        """Return the renewals since the last call, batched for each peer."""
        renewals = tuple(
            Renewal(
                member.record.target_id,
                member.record.incarnation_ns,
                member.record.sequence,
                now_s - member.renewed_s,
            )
            for member in self._find(self._renewed)
        )
        self._renewed.clear()
        if not renewals:
            return []
        return [
            ToPeer(name, self._batched(name, renewals))
            for name in self._zone_names
        ]

    def on_targets(self, targets: Targets, now_s: float) -> list[Merged]:
        """Merge the records that a peer sent."""
        under_way_s = self._under_way_s(targets, now_s)
        return [
            Merged(record, self._merge_old(record, under_way_s, now_s))
            for record in targets.records
        ]

    def on_renewals(self, batch: Renewals, now_s: float) -> None:
        """Merge the renewals that a peer sent."""
        under_way_s = self._under_way_s(batch, now_s)
        for renewal in batch.renewals:
            self._membership.renew(
                msgspec.structs.replace(
                    renewal,
                    age_s=renewal.age_s + under_way_s,
                ),
                now_s,
            )

    def extend_contact(self) -> None:
        """Let the membership know until when the zone is in contact."""
        self._membership.extend_contact(
            self._contacts.covered_until_s(self._zone_names),
        )

    def on_restart(self, name: str, now_s: float) -> None:
        """Learn that a peer was restarted and may have forgotten a leave."""
        if name in self._zone_names:
            self._membership.distrust(now_s)
            self.extend_contact()

    def _merge_old(
        self,
        record: TargetRecord,
        under_way_s: float,
        now_s: float,
    ) -> Merge:
        older = msgspec.structs.replace(
            record,
            age_s=record.age_s + under_way_s,
        )
        return self._membership.merge(older, now_s)

    def _under_way_s(self, batch: Targets | Renewals, now_s: float) -> float:
        """Return the longest time that a batch can have been under way."""
        if batch.echo_incarnation_ns == self._incarnation_ns:
            return now_s - batch.echo_s
        # Without an echo nothing is known of the age, and no lease is left.
        return float('inf')

    def _find(self, target_ids: Iterable[str]) -> Iterator[Member]:
        for target_id in target_ids:
            member = self._membership.find(target_id)
            if member is not None:
                yield member

    def _addressed(
        self,
        name: str,
        records: tuple[TargetRecord, ...],
    ) -> Targets:
        contact = self._contacts.peer(name)
        return Targets(records, contact.their_sent_s, contact.incarnation_ns)

    def _batched(self, name: str, renewals: tuple[Renewal, ...]) -> Renewals:
        contact = self._contacts.peer(name)
        return Renewals(
            renewals,
            contact.their_sent_s,
            contact.incarnation_ns,
        )
