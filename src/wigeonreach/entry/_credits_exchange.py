"""Decide what to lend, what to ask for and which slot to fill."""

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

_MOST_WISHED = 32


class CreditExchange:
    """The slots that this entry may fill, from wherever they come.

    Parameters
    ----------
    sharer
        This entry among those that share the targets.
    membership
        The targets that may be given new work.
    rng
        Chooses which entry of another zone is asked first.
    work_bound_s
        Returns the longest run of a service, in seconds.
    """

    def __init__(
        self,
        sharer: Sharer,
        membership: Membership,
        rng: random.Random,
        work_bound_s: Callable[[str], float],
    ) -> None:
        """Start with the own shares alone."""
        self._sharer = sharer
        self._membership = membership
        # Entries start at different places, so as not to ask all the same one.
        self._turn = rng.randrange(max(1, len(sharer.foreign_peers)))
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
        """Return the targets of this zone that may be given new work."""
        return [
            member.record
            for member in self._membership.serving(service, now_s)
            if member.record.zone == self._sharer.zone
        ]

    def foreign_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of other zones that lent slots to this entry."""
        return [
            record
            for record in self._borrower.targets(service)
            if record.zone != self._sharer.zone
        ]

    def take(self, record: TargetRecord, now_s: float) -> SlotSource | None:
        """Fill a slot of a target, the own ones before those lent.

        Parameters
        ----------
        record
            The target.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        SlotSource or None
            Where the slot goes back to; None if no slot is free.
        """
        if record.zone == self._sharer.zone:
            share = self._lender.share(record)
            if share.free(now_s) > 0:
                share.take(now_s)
                return share.pool
            for pool in self._taken_over(record, now_s):
                pool.take()
                return pool
        key = TargetKey(record.target_id, record.incarnation_ns)
        for borrowed in self._borrower.free(key, now_s):
            borrowed.take(now_s)
            return borrowed.pool
        return None

    def note_unmet(self, service: str, now_s: float) -> None:
        """Learn that a request found no slot."""
        self._demands.note_unmet(service, now_s)

    def note_first_seen(self, key: TargetKey) -> None:
        """Learn that no entry knew this incarnation of a target before."""
        self._lender.note_first_seen(key)

    def note_connected(self, peer: str) -> None:
        """Learn that a peer accepted a connection."""
        self._takeover.note_connected(peer)

    def note_refused(self, peer: str, began_s: float) -> None:
        """Learn that a connection tried at ``began_s`` was refused."""
        if peer in self._sharer.zone_peers:
            self._takeover.note_refused(peer, began_s)

    def on_asked(self, asked: SlotsAsked, now_s: float) -> SlotsLent | None:
        """Answer an entry that wants to borrow.

        Parameters
        ----------
        asked
            What it wants.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        SlotsLent or None
            The answer; None to a request that was overtaken.
        """
        if self._lender.is_repeated(asked):
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
        """Take the answer of a lender."""
        for service in self._borrower.accept(lent, now_s):
            self._demands.note_granted(service, lent.lender)

    def on_returned(self, returned: SlotsReturned) -> None:
        """Take loans back that a borrower is done with."""
        self._lender.take_back(returned)

    def forget_idle(self, known: set[TargetKey], now_s: float) -> None:
        """Forget targets that are gone."""
        self._lender.forget_idle(known, now_s)
        self._takeover.forget_idle(known, now_s)

    def tick(self, now_s: float) -> list[Outgoing]:
        """Return loans that are done with and ask for what is missing."""
        outgoing = list(self._borrower.collect_returns(now_s))
        unmet = self._demands.take_unmet()
        short = self._short_in_zone(unmet, now_s)
        lenders = self._borrower.lenders()
        if unmet:
            lenders.update(self._sharer.zone_peers)
        abroad = self._lender_abroad() if short else None
        if abroad is not None:
            lenders.add(abroad)
        for lender in sorted(lenders):
            is_near = lender in self._sharer.zone_peers
            wanted = unmet if is_near else short
            if not is_near and lender != abroad:
                wanted = {}
            outgoing.extend(self._ask(lender, wanted, now_s))
        return outgoing

    def may_spill(self, service: str, now_s: float) -> bool:
        """Whether another zone may still lend slots of a service.

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

    def _ask(
        self,
        lender: str,
        unmet: dict[str, int],
        now_s: float,
    ) -> Iterator[Outgoing]:
        wishes = tuple(
            SlotWish(
                service,
                min(count, _MOST_WISHED),
                self._work_bound_s(service),
            )
            for service, count in unmet.items()
            if self._may_ask(service, lender, now_s)
        )
        for wish in wishes:
            self._demands.note_asked(wish.service, lender, now_s)
        asked = self._borrower.ask(lender, wishes, now_s)
        if asked is not None:
            yield Outgoing(lender, asked)

    def _may_ask(self, service: str, lender: str, now_s: float) -> bool:
        if lender in self._sharer.zone_peers:
            return self._demands.may_ask(service, lender, now_s)
        return self._demands.may_ask_far(service, lender, now_s)

    def _short_in_zone(
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

    def _lender_abroad(self) -> str | None:
        peers = self._sharer.foreign_peers
        if not peers:
            return None
        self._turn += 1
        return peers[self._turn % len(peers)]

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

    def _taken_over(
        self,
        record: TargetRecord,
        now_s: float,
    ) -> Iterator[SlotPool]:
        return self._takeover.free(
            record,
            self._work_bound_s(record.service),
            now_s,
        )
