"""Borrow slots from other entries and use them only within their lease."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator

from wigeonreach.entry._credits import LEASE_S, Outgoing
from wigeonreach.entry._slots import SlotPool, TargetKey
from wigeonreach.wire._credit_messages import (
    SlotLoan,
    SlotsAsked,
    SlotsLent,
    SlotsReturned,
    SlotWish,
)
from wigeonreach.wire._target_messages import TargetRecord

_RENEW_BEFORE_END_S = LEASE_S / 2
_RETURN_AFTER_IDLE_S = LEASE_S


@dataclasses.dataclass(frozen=True, slots=True)
class LoanKey:
    """Identifies a loan made by one incarnation of a lender."""

    lender: str
    lender_incarnation_ns: int
    loan_id: int


@dataclasses.dataclass(slots=True)
class BorrowedSlot:
    """A borrowed slot, usable until its lease ends."""

    key: LoanKey
    record: TargetRecord
    valid_until_s: float
    used_s: float
    pool: SlotPool = dataclasses.field(default_factory=lambda: SlotPool(1))

    def is_free(self, now_s: float) -> bool:
        """Whether a request may be sent on this slot now."""
        return now_s < self.valid_until_s and not self.pool.busy(now_s)

    def take(self, now_s: float) -> None:
        """Occupy the slot."""
        self.used_s = now_s
        self.pool.take()

    def is_returnable(self, now_s: float) -> bool:
        """Whether the slot is unoccupied and is expired or idle."""
        if self.pool.busy(now_s):
            return False
        return (
            now_s >= self.valid_until_s
            or now_s - self.used_s >= _RETURN_AFTER_IDLE_S
        )


class Borrower:
    """The slots that this entry borrowed from other entries.

    Parameters
    ----------
    name
        Name of this entry.
    zone
        Zone of this entry.
    incarnation_ns
        Incarnation of this entry; replies to an earlier one are ignored.
    """

    def __init__(self, name: str, zone: str, incarnation_ns: int) -> None:
        """Start without any loan."""
        self._name = name
        self._zone = zone
        self._incarnation_ns = incarnation_ns
        self._sequence = 0
        self._request_sent_s: dict[int, float] = {}
        self._slots: dict[LoanKey, BorrowedSlot] = {}
        self._by_target: dict[TargetKey, list[BorrowedSlot]] = {}
        self._lenders: dict[str, int] = {}

    def build_request(
        self,
        lender: str,
        wishes: tuple[SlotWish, ...],
        now_s: float,
    ) -> SlotsAsked | None:
        """Return the request to send to a lender, or None if none is needed.

        Parameters
        ----------
        lender
            Name of the lender.
        wishes
            New loans to ask for.
        now_s
            Monotonic time of this process, in seconds, at which the leases
            that the reply grants begin.
        """
        renewals = self._renewals(lender, now_s)
        if not wishes and not renewals:
            return None
        self._sequence += 1
        self._request_sent_s[self._sequence] = now_s
        return SlotsAsked(
            borrower=self._name,
            zone=self._zone,
            borrower_incarnation_ns=self._incarnation_ns,
            sequence=self._sequence,
            wishes=wishes,
            lender_incarnation_ns=self._lenders.get(lender, 0),
            renewals=renewals,
        )

    def on_lent(self, lent: SlotsLent, now_s: float) -> frozenset[str]:
        """Handle the reply of a lender; return services with new loans.

        Parameters
        ----------
        lent
            The reply; a duplicate or late one is ignored.
        now_s
            Monotonic time of this process, in seconds.
        """
        if lent.borrower_incarnation_ns != self._incarnation_ns:
            return frozenset()
        sent_s = self._request_sent_s.pop(lent.sequence, None)
        if sent_s is None:
            return frozenset()
        self._lenders[lent.lender] = lent.lender_incarnation_ns
        valid_until_s = sent_s + lent.lease_s
        for loan_id in lent.renewed:
            slot = self._slots.get(_loan_key(lent, loan_id))
            if slot is not None:
                slot.valid_until_s = max(slot.valid_until_s, valid_until_s)
        for loan in lent.loans:
            self._add_slot(
                _loan_key(lent, loan.loan_id), loan, valid_until_s, now_s
            )
        return frozenset(loan.record.service for loan in lent.loans)

    def free_slots(
        self, key: TargetKey, now_s: float
    ) -> Iterator[BorrowedSlot]:
        """Iterate over the borrowed slots of a target that are free now."""
        for slot in self._by_target.get(key, ()):
            if slot.is_free(now_s):
                yield slot

    def targets(self, service: str) -> Iterator[TargetRecord]:
        """Iterate over the targets of a service that have a borrowed slot."""
        for slots in self._by_target.values():
            record = slots[0].record
            if record.service == service:
                yield record

    def collect_returns(self, now_s: float) -> Iterator[Outgoing]:
        """Remove returnable slots and iterate over the return messages."""
        if self._request_sent_s:
            self._drop_expired_requests(now_s)
        returnable = [
            slot for slot in self._slots.values() if slot.is_returnable(now_s)
        ]
        for slot in returnable:
            self._remove(slot)
            yield Outgoing(slot.key.lender, self._build_return(slot.key))

    def lenders(self) -> set[str]:
        """Return the names of all entries that this one borrows slots from."""
        return {slot.key.lender for slot in self._slots.values()}

    def _renewals(self, lender: str, now_s: float) -> tuple[int, ...]:
        current = self._lenders.get(lender)
        return tuple(
            slot.key.loan_id
            for slot in self._slots.values()
            if slot.key.lender == lender
            and slot.key.lender_incarnation_ns == current
            and slot.valid_until_s - now_s < _RENEW_BEFORE_END_S
            and not slot.is_returnable(now_s)
        )

    def _add_slot(
        self,
        key: LoanKey,
        loan: SlotLoan,
        valid_until_s: float,
        now_s: float,
    ) -> None:
        slot = BorrowedSlot(key, loan.record, valid_until_s, now_s)
        self._slots[key] = slot
        target = TargetKey(loan.record.target_id, loan.record.incarnation_ns)
        self._by_target.setdefault(target, []).append(slot)

    def _remove(self, slot: BorrowedSlot) -> None:
        self._slots.pop(slot.key)
        target = TargetKey(slot.record.target_id, slot.record.incarnation_ns)
        self._by_target[target].remove(slot)
        if not self._by_target[target]:
            self._by_target.pop(target)

    def _build_return(self, key: LoanKey) -> SlotsReturned:
        return SlotsReturned(
            borrower=self._name,
            borrower_incarnation_ns=self._incarnation_ns,
            lender_incarnation_ns=key.lender_incarnation_ns,
            loan_ids=(key.loan_id,),
        )

    def _drop_expired_requests(self, now_s: float) -> None:
        # A reply that arrives after this time grants an already expired lease.
        self._request_sent_s = {
            sequence: sent_s
            for sequence, sent_s in self._request_sent_s.items()
            if now_s - sent_s < LEASE_S
        }


def _loan_key(lent: SlotsLent, loan_id: int) -> LoanKey:
    return LoanKey(lent.lender, lent.lender_incarnation_ns, loan_id)
