"""Build and merge the target messages exchanged within a zone."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator

import msgspec

from wigeonreach.entry._contact import PeerContacts
from wigeonreach.entry._member import Member, with_current_age
from wigeonreach.entry._membership import Membership, Merge
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._target_messages import (
    Renewal,
    Renewals,
    TargetRecord,
    Targets,
)

_RELAYED_IN_FULL = frozenset((Merge.JOINED, Merge.CHANGED, Merge.LEFT))


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message to send to another entry of the zone."""

    peer: str
    message: WireMessage


@dataclasses.dataclass(frozen=True, slots=True)
class MergedRecord:
    """A record and the effect of merging it."""

    record: TargetRecord
    merge: Merge


class Dissemination:
    """Relays target records within the zone and merges those received.

    Parameters
    ----------
    membership
        The membership to update.
    contacts
        Heartbeat state of each peer.
    incarnation_ns
        Incarnation of this entry.
    zone_names
        Names of the other entries of the zone.
    """

    def __init__(
        self,
        membership: Membership,
        contacts: PeerContacts,
        incarnation_ns: int,
        zone_names: tuple[str, ...],
    ) -> None:
        """Start with no renewals to send."""
        self._membership = membership
        self._contacts = contacts
        self._incarnation_ns = incarnation_ns
        self._zone_names = zone_names
        self._renewed: set[str] = set()

    def on_announcement(
        self,
        record: TargetRecord,
        now_s: float,
    ) -> tuple[Merge, list[PeerMessage]]:
        """Merge an announcement that a target sent to this entry.

        Parameters
        ----------
        record
            The announced record; its age is the time that it waited here.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        tuple of Merge and list of PeerMessage
            Effect of the record, and the messages to send immediately.
        """
        merged = self._membership.merge(record, now_s)
        if merged is Merge.RENEWED:
            self._renewed.add(record.target_id)
        if merged in _RELAYED_IN_FULL:
            return merged, self.build_announcement(record.target_id, now_s)
        return merged, []

    def build_announcement(
        self, target_id: str, now_s: float
    ) -> list[PeerMessage]:
        """Return the messages that send the record of a target to all peers."""
        members = self._find((target_id,))
        records = tuple(with_current_age(member, now_s) for member in members)
        return [
            PeerMessage(name, self._build_targets(name, records))
            for name in self._zone_names
        ]

    def initial_messages(
        self, name: str, now_s: float
    ) -> Iterator[WireMessage]:
        """Yield the messages that a peer needs before it is in contact."""
        if name in self._zone_names:
            yield self._build_targets(name, self._membership.records(now_s))

    def take_renewals(self, now_s: float) -> list[PeerMessage]:
        """Return the renewals since the last call, one batch for each peer."""
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
            PeerMessage(name, self._build_renewals(name, renewals))
            for name in self._zone_names
        ]

    def on_targets(self, targets: Targets, now_s: float) -> list[MergedRecord]:
        """Merge the records that a peer sent."""
        max_delay_s = self._max_delay_s(targets, now_s)
        return [
            MergedRecord(
                record, self._merge_delayed(record, max_delay_s, now_s)
            )
            for record in targets.records
        ]

    def on_renewals(self, batch: Renewals, now_s: float) -> None:
        """Merge the renewals that a peer sent."""
        max_delay_s = self._max_delay_s(batch, now_s)
        for renewal in batch.renewals:
            self._membership.merge_renewal(
                msgspec.structs.replace(
                    renewal,
                    age_s=renewal.age_s + max_delay_s,
                ),
                now_s,
            )

    def update_contact(self) -> None:
        """Update until when the membership is in contact with the zone."""
        self._membership.set_contact_until(
            self._contacts.in_contact_until_s(self._zone_names),
        )

    def on_restart(self, name: str, now_s: float) -> None:
        """Handle the restart of a peer that may have forgotten a leave."""
        if name in self._zone_names:
            self._membership.require_confirmation(now_s)
            self.update_contact()

    def _merge_delayed(
        self,
        record: TargetRecord,
        max_delay_s: float,
        now_s: float,
    ) -> Merge:
        delayed = msgspec.structs.replace(
            record,
            age_s=record.age_s + max_delay_s,
        )
        return self._membership.merge(delayed, now_s)

    def _max_delay_s(self, batch: Targets | Renewals, now_s: float) -> float:
        """Return an upper bound of a batch's transmission delay, in seconds."""
        if batch.echo_incarnation_ns == self._incarnation_ns:
            return now_s - batch.echo_s
        # Without an echo the delay is unknown, and every lease counts as ended.
        return float('inf')

    def _find(self, target_ids: Iterable[str]) -> Iterator[Member]:
        for target_id in target_ids:
            member = self._membership.find(target_id)
            if member is not None:
                yield member

    def _build_targets(
        self,
        name: str,
        records: tuple[TargetRecord, ...],
    ) -> Targets:
        contact = self._contacts.peer(name)
        return Targets(records, contact.peer_sent_s, contact.incarnation_ns)

    def _build_renewals(
        self, name: str, renewals: tuple[Renewal, ...]
    ) -> Renewals:
        contact = self._contacts.peer(name)
        return Renewals(
            renewals,
            contact.peer_sent_s,
            contact.incarnation_ns,
        )
