"""Decide which slots to lend, which to borrow and which one to use."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

from wigeonreach.entry._credits import LEASE_S, Outgoing, Sharer
from wigeonreach.entry._credits_borrower import Borrower
from wigeonreach.entry._credits_lender import Lender
from wigeonreach.entry._credits_takeover import Takeover
from wigeonreach.entry._demand import Demands
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._slots import SlotPool, SlotSource, TargetKey
from wigeonreach.wire._credit_messages import (
    SlotLoan,
    SlotsAsked,
    SlotsLent,
    SlotsReturned,
    SlotWish,
)
from wigeonreach.wire._target_messages import TargetRecord

_MAX_SLOTS_PER_REQUEST = 32


class CreditExchange:
    """All slots that this entry may use: own, taken over and borrowed.

    Parameters
    ----------
    sharer
        Identity of this entry among those that share the targets.
    membership
        The known targets.
    rng
        Selects the entry of another zone to ask first.
    work_bound_s
        Returns the maximum duration of a request of a service, in seconds.
    """

    def __init__(
        self,
        sharer: Sharer,
        membership: Membership,
        rng: random.Random,
        work_bound_s: Callable[[str], float],
    ) -> None:
        """Start without any loan."""
        self._sharer = sharer
        self._membership = membership
        # A random start keeps the entries from all asking the same one.
        self._foreign_index = rng.randrange(max(1, len(sharer.foreign_peers)))
        self._work_bound_s = work_bound_s
        self._lender = Lender(sharer, work_bound_s)
        self._borrower = Borrower(
            sharer.name,
            sharer.zone,
            sharer.incarnation_ns,
        )
        self._takeover = Takeover(sharer.zone_names)
        self._demands = Demands()

    def own_targets(self, service: str, now_s: float) -> list[TargetRecord]:
        """Return the zone's targets of a service that accept new requests."""
        return [
            member.record
            for member in self._membership.serving(service, now_s)
            if member.record.zone == self._sharer.zone
        ]

    def foreign_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of other zones whose slots this entry borrowed."""
        return [
            record
            for record in self._borrower.targets(service)
            if record.zone != self._sharer.zone
        ]

    def take(self, record: TargetRecord, now_s: float) -> SlotSource | None:
        """Occupy a slot of a target: own, else taken over, else borrowed.

        Parameters
        ----------
        record
            The target.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        SlotSource or None
            Where to release the slot; None if no slot is free.
        """
        if record.zone == self._sharer.zone:
            share = self._lender.share(record)
            if share.free(now_s) > 0:
                share.take(now_s)
                return share.pool
            for pool in self._takeover_pools(record, now_s):
                pool.take()
                return pool
        key = TargetKey(record.target_id, record.incarnation_ns)
        for borrowed in self._borrower.free_slots(key, now_s):
            borrowed.take(now_s)
            return borrowed.pool
        return None

    def note_unmet(self, service: str, now_s: float) -> None:
        """Record that no slot was free for a request."""
        self._demands.note_unmet(service, now_s)

    def note_first_seen(self, key: TargetKey) -> None:
        """Record that this incarnation of a target was unknown to all entries."""
        self._lender.note_first_seen(key)

    def note_connected(self, peer: str) -> None:
        """Record that a peer accepted a connection."""
        self._takeover.note_connected(peer)

    def note_refused(self, peer: str, attempted_s: float) -> None:
        """Record that a connection attempted at ``attempted_s`` was refused."""
        if peer in self._sharer.zone_peers:
            self._takeover.note_refused(peer, attempted_s)

    def on_asked(self, asked: SlotsAsked, now_s: float) -> SlotsLent | None:
        """Handle a loan request of another entry.

        Parameters
        ----------
        asked
            The request.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        SlotsLent or None
            The reply; None if this or a newer request was handled before.
        """
        if self._lender.is_outdated(asked):
            return None
        renewed = self._lender.renew(
            asked,
            lambda service, key: self._may_lend(service, key, now_s),
            now_s,
        )
        loans: list[SlotLoan] = []
        for wish in asked.wishes:
            loans.extend(self._lend(asked, wish, now_s))
        return SlotsLent(
            lender=self._sharer.name,
            lender_incarnation_ns=self._sharer.incarnation_ns,
            borrower_incarnation_ns=asked.borrower_incarnation_ns,
            sequence=asked.sequence,
            lease_s=LEASE_S,
            loans=tuple(loans),
            renewed=renewed,
        )

    def on_lent(self, lent: SlotsLent, now_s: float) -> None:
        """Handle the reply of a lender."""
        for service in self._borrower.on_lent(lent, now_s):
            self._demands.note_granted(service, lent.lender)

    def on_returned(self, returned: SlotsReturned) -> None:
        """Handle loans that a borrower returned."""
        self._lender.on_returned(returned)

    def forget_idle(self, known: set[TargetKey], now_s: float) -> None:
        """Remove the unused state of targets that are no longer known."""
        self._lender.forget_idle(known, now_s)
        self._takeover.forget_idle(known, now_s)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return the messages that return, renew and request loans."""
        outgoing = list(self._borrower.collect_returns(now_s))
        unmet = self._demands.take_unmet()
        unmet_in_zone = self._unmet_in_zone(unmet, now_s)
        lenders = self._borrower.lenders()
        if unmet:
            lenders.update(self._sharer.zone_peers)
        foreign_lender = self._next_foreign_lender() if unmet_in_zone else None
        if foreign_lender is not None:
            lenders.add(foreign_lender)
        for lender in sorted(lenders):
            is_same_zone = lender in self._sharer.zone_peers
            wanted = unmet if is_same_zone else unmet_in_zone
            if not is_same_zone and lender != foreign_lender:
                wanted = {}
            outgoing.extend(self._build_requests(lender, wanted, now_s))
        return outgoing

    def may_spill(self, service: str, now_s: float) -> bool:
        """Whether an entry of another zone may be asked for a service's slots.

        Parameters
        ----------
        service
            Name of the service.
        now_s
            Monotonic time of this process, in seconds.
        """
        return any(
            self._demands.may_ask_far(service, foreign, now_s)
            for foreign in self._sharer.foreign_peers
        )

    def _build_requests(
        self,
        lender: str,
        unmet: dict[str, int],
        now_s: float,
    ) -> Iterator[Outgoing]:
        wishes = tuple(
            SlotWish(
                service,
                min(count, _MAX_SLOTS_PER_REQUEST),
                self._work_bound_s(service),
            )
            for service, count in unmet.items()
            if self._may_ask(service, lender, now_s)
        )
        for wish in wishes:
            self._demands.note_asked(wish.service, lender, now_s)
        asked = self._borrower.build_request(lender, wishes, now_s)
        if asked is not None:
            yield Outgoing(lender, asked)

    def _may_ask(self, service: str, lender: str, now_s: float) -> bool:
        if lender in self._sharer.zone_peers:
            return self._demands.may_ask(service, lender, now_s)
        return self._demands.may_ask_far(service, lender, now_s)

    def _unmet_in_zone(
        self,
        unmet: dict[str, int],
        now_s: float,
    ) -> dict[str, int]:
        return {
            service: count
            for service, count in unmet.items()
            if not any(
                self._demands.may_ask(service, peer, now_s)
                for peer in self._sharer.zone_peers
            )
        }

    def _next_foreign_lender(self) -> str | None:
        peers = self._sharer.foreign_peers
        if not peers:
            return None
        self._foreign_index += 1
        return peers[self._foreign_index % len(peers)]

    def _lend(
        self,
        asked: SlotsAsked,
        wish: SlotWish,
        now_s: float,
    ) -> list[SlotLoan]:
        if self._demands.is_pressed(wish.service, now_s):
            return []
        records = self.own_targets(wish.service, now_s)
        return self._lender.lend(asked, wish, records, now_s)

    def _may_lend(self, service: str, key: TargetKey, now_s: float) -> bool:
        if self._demands.is_pressed(service, now_s):
            return False
        return any(
            record.target_id == key.target_id
            and record.incarnation_ns == key.incarnation_ns
            for record in self.own_targets(service, now_s)
        )

    def _takeover_pools(
        self,
        record: TargetRecord,
        now_s: float,
    ) -> Iterator[SlotPool]:
        return self._takeover.free_pools(
            record,
            self._work_bound_s(record.service),
            now_s,
        )
