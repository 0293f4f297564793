"""Lend slots of this entry's own shares and reclaim them safely."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from wigeonreach.entry._credits import (
    LEASE_S,
    Sharer,
    foreign_loan_limit,
    permanent_share,
    reserved_slots,
)
from wigeonreach.entry._slots import SlotPool, TargetKey
from wigeonreach.wire._credit_messages import (
    SlotLoan,
    SlotsAsked,
    SlotsReturned,
    SlotWish,
)
from wigeonreach.wire._target_messages import TargetRecord

_PEAK_WINDOW_S = 1.0


@dataclasses.dataclass(slots=True)
class Loan:
    """A slot lent to another entry until ``reclaim_s``."""

    target: TargetKey
    borrower: str
    is_foreign: bool
    service: str
    work_bound_s: float
    reclaim_s: float

    def renew(self, now_s: float) -> None:
        """Extend the loan by a full lease.

        The borrower counts its lease from before it asked for the renewal, so
        that its lease ends before the lender's.  A target may work for another
        ``work_bound_s`` on a request that the borrower sent at the last moment.
        """
        self.reclaim_s = now_s + LEASE_S + self.work_bound_s


@dataclasses.dataclass(slots=True)
class OwnShare:
    """This entry's share of one target's slots."""

    pool: SlotPool
    usable_from_s: float
    loans: dict[int, Loan] = dataclasses.field(default_factory=dict)
    window_start_s: float = 0
    peak: int = 0
    previous_peak: int = 0

    def free(self, now_s: float) -> int:
        """Return how many slots this entry may occupy now."""
        if now_s < self.usable_from_s:
            return 0
        self._reclaim(now_s)
        return self.pool.size - self.pool.busy(now_s) - len(self.loans)

    def lendable(self, now_s: float) -> int:
        """Return how many more slots may be lent within the zone."""
        self._advance_window(now_s)
        retained = max(
            reserved_slots(self.pool.size), self.peak, self.previous_peak
        )
        available = self.pool.size - len(self.loans) - retained
        return min(available, self.free(now_s))

    def lendable_to_other_zones(self, now_s: float) -> int:
        """Return how many more slots may be lent to other zones.

        Nothing is lent unless more than half of the share is lendable within
        the zone, so that requests of other zones can't starve those of this one.
        """
        idle = self.lendable(now_s)
        if idle * 2 <= self.pool.size:
            return 0
        foreign_loans = sum(loan.is_foreign for loan in self.loans.values())
        return min(idle, foreign_loan_limit(self.pool.size) - foreign_loans)

    def take(self, now_s: float) -> None:
        """Occupy a slot and update the peak usage."""
        self.pool.take()
        self._advance_window(now_s)
        self.peak = max(self.peak, self.pool.busy(now_s))

    def _reclaim(self, now_s: float) -> None:
        ended = [
            loan_id
            for loan_id, loan in self.loans.items()
            if loan.reclaim_s <= now_s
        ]
        for loan_id in ended:
            self.loans.pop(loan_id)

    def _advance_window(self, now_s: float) -> None:
        elapsed_s = now_s - self.window_start_s
        if elapsed_s < _PEAK_WINDOW_S:
            return
        busy = self.pool.busy(now_s)
        self.previous_peak = (
            self.peak if elapsed_s < 2 * _PEAK_WINDOW_S else busy
        )
        self.peak = busy
        self.window_start_s = now_s


class Lender:
    """This entry's shares of all targets of its zone, and its loans.

    Parameters
    ----------
    sharer
        Identity of this entry.  The loans and requests in flight of its
        previous incarnation are unknown; all of them have ended one lease
        plus one maximum request duration after the start.
    work_bound_s
        Returns the maximum duration of a request of a service, in seconds.
    """

    def __init__(
        self,
        sharer: Sharer,
        work_bound_s: Callable[[str], float],
    ) -> None:
        """Start without any share."""
        self._sharer = sharer
        self._work_bound_s = work_bound_s
        self._shares: dict[TargetKey, OwnShare] = {}
        self._first_seen: set[TargetKey] = set()
        self._loans: dict[int, Loan] = {}
        self._sequences: dict[str, tuple[int, int]] = {}
        self._last_loan_id = 0

    def note_first_seen(self, key: TargetKey) -> None:
        """Record that this incarnation of a target was unknown to all entries."""
        self._first_seen.add(key)
        share = self._shares.get(key)
        if share is not None:
            share.usable_from_s = self._sharer.started_s

    def share(self, record: TargetRecord) -> OwnShare:
        """Return this entry's share of a target of its own zone."""
        key = TargetKey(record.target_id, record.incarnation_ns)
        found = self._shares.get(key)
        if found is None:
            found = self._new_share(key, record)
            self._shares[key] = found
        return found

    def is_outdated(self, asked: SlotsAsked) -> bool:
        """Whether this or a newer request of the sender was handled before.

        If not, the request counts as handled from now on.
        """
        newest = (asked.borrower_incarnation_ns, asked.sequence)
        if newest <= self._sequences.get(asked.borrower, (0, 0)):
            return True
        self._sequences[asked.borrower] = newest
        return False

    def renew(
        self,
        asked: SlotsAsked,
        may_renew: Callable[[str, TargetKey], bool],
        now_s: float,
    ) -> tuple[int, ...]:
        """Renew loans and return the identifiers of those renewed.

        Parameters
        ----------
        asked
            The borrower's request.
        may_renew
            Returns whether a loan of a service's target may be renewed.
        now_s
            Monotonic time of this process, in seconds.
        """
        if asked.lender_incarnation_ns != self._sharer.incarnation_ns:
            return ()
        renewed: list[int] = []
        for loan_id in asked.renewals:
            loan = self._active_loan(loan_id, now_s)
            if loan is not None and may_renew(loan.service, loan.target):
                loan.renew(now_s)
                renewed.append(loan_id)
        return tuple(renewed)

    def lend(
        self,
        asked: SlotsAsked,
        wish: SlotWish,
        records: Iterable[TargetRecord],
        now_s: float,
    ) -> list[SlotLoan]:
        """Lend up to the requested number of slots, evenly over the targets.

        Parameters
        ----------
        asked
            The borrower's request.
        wish
            The requested service and number of slots.
        records
            Targets of the service that accept new requests.
        now_s
            Monotonic time of this process, in seconds.

        Returns
        -------
        list of SlotLoan
            The new loans.
        """
        candidates = list(records)
        lent: list[SlotLoan] = []
        while candidates and len(lent) < wish.count:
            candidates = [
                record
                for record in candidates
                if self._lendable(asked, record, now_s) > 0
            ]
            for record in candidates[: wish.count - len(lent)]:
                lent.append(self._lend_one(asked, wish, record, now_s))
        return lent

    def on_returned(self, returned: SlotsReturned) -> None:
        """Handle loans that were returned before their lease ended."""
        if returned.lender_incarnation_ns != self._sharer.incarnation_ns:
            return
        for loan_id in returned.loan_ids:
            loan = self._loans.pop(loan_id, None)
            if loan is not None:
                self._shares[loan.target].loans.pop(loan_id, None)

    def forget_idle(self, known: set[TargetKey], now_s: float) -> None:
        """Remove ended loans, and unused shares of targets no longer known."""
        gone = [
            key
            for key, share in self._shares.items()
            if key not in known
            and not share.loans
            and not share.pool.busy(now_s)
        ]
        for key in gone:
            self._shares.pop(key)
        self._loans = {
            loan_id: loan
            for loan_id, loan in self._loans.items()
            if loan.reclaim_s > now_s
        }
        self._first_seen.intersection_update(known)

    def _active_loan(self, loan_id: int, now_s: float) -> Loan | None:
        loan = self._loans.get(loan_id)
        if loan is None or loan.reclaim_s <= now_s:
            return None
        return loan

    def _new_share(self, key: TargetKey, record: TargetRecord) -> OwnShare:
        size = permanent_share(
            record.slots,
            self._sharer.zone_names,
            self._sharer.name,
            record.target_id,
        )
        usable_from_s = self._sharer.started_s
        if key not in self._first_seen:
            usable_from_s += LEASE_S + self._work_bound_s(record.service)
        return OwnShare(SlotPool(size), usable_from_s)

    def _lendable(
        self,
        asked: SlotsAsked,
        record: TargetRecord,
        now_s: float,
    ) -> int:
        share = self.share(record)
        if asked.zone == self._sharer.zone:
            return share.lendable(now_s)
        return share.lendable_to_other_zones(now_s)

    def _lend_one(
        self,
        asked: SlotsAsked,
        wish: SlotWish,
        record: TargetRecord,
        now_s: float,
    ) -> SlotLoan:
        self._last_loan_id += 1
        loan = Loan(
            target=TargetKey(record.target_id, record.incarnation_ns),
            borrower=asked.borrower,
            is_foreign=asked.zone != self._sharer.zone,
            service=wish.service,
            work_bound_s=wish.work_bound_s,
            reclaim_s=now_s,
        )
        loan.renew(now_s)
        self._loans[self._last_loan_id] = loan
        self.share(record).loans[self._last_loan_id] = loan
        return SlotLoan(self._last_loan_id, record)
