"""Use slots that other entries lent, and never past their lease."""

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
_IDLE_S = LEASE_S


@dataclasses.dataclass(frozen=True, slots=True)
class LoanKey:
    """Names one loan of one incarnation of a lender."""

    lender: str
    lender_incarnation_ns: int
    loan_id: int


@dataclasses.dataclass(slots=True)
class BorrowedSlot:
    """One slot that this entry may fill until its lease ends."""

    key: LoanKey
    record: TargetRecord
    valid_until_s: float
    used_s: float
    pool: SlotPool = dataclasses.field(default_factory=lambda: SlotPool(1))

    def is_free(self, now_s: float) -> bool:
        """Whether a request may be sent on this slot now."""
        return now_s < self.valid_until_s and not self.pool.busy(now_s)

    def take(self, now_s: float) -> None:
        """Fill the slot."""
        self.used_s = now_s
        self.pool.take()

    def is_unwanted(self, now_s: float) -> bool:
        """Whether the slot can be returned: nothing is or will be sent."""
        if self.pool.busy(now_s):
            return False
        return now_s >= self.valid_until_s or now_s - self.used_s >= _IDLE_S


class Borrower:
    """What this entry borrowed from others.

    Parameters
    ----------
    name
        This entry.
    zone
        Its zone.
    incarnation_ns
        Tells one start of this entry from the next; answers to a former
        incarnation are of no use to this one.
    """

    def __init__(self, name: str, zone: str, incarnation_ns: int) -> None:
        """Start with nothing borrowed."""
        self._name = name
        self._zone = zone
        self._incarnation_ns = incarnation_ns
        self._sequence = 0
        self._asked_s: dict[int, float] = {}
        self._slots: dict[LoanKey, BorrowedSlot] = {}
        self._by_target: dict[TargetKey, list[BorrowedSlot]] = {}
        self._lenders: dict[str, int] = {}

    def ask(
        self,
        lender: str,
        wishes: tuple[SlotWish, ...],
        now_s: float,
    ) -> SlotsAsked | None:
        """Return what to send to a lender, or None if there is nothing.

        Parameters
        ----------
        lender
            Name of the lender.
        wishes
            New loans wanted.
        now_s
            Monotonic time of this process; leases count from here.
        """
        renewals = self._renewals(lender, now_s)
        if not wishes and not renewals:
            return None
        self._sequence += 1
        self._asked_s[self._sequence] = now_s
        return SlotsAsked(
            borrower=self._name,
            zone=self._zone,
            borrower_incarnation_ns=self._incarnation_ns,
            sequence=self._sequence,
            wishes=wishes,
            lender_incarnation_ns=self._lenders.get(lender, 0),
            renewals=renewals,
        )

    def accept(self, lent: SlotsLent, now_s: float) -> frozenset[str]:
        """Take the answer of a lender; return services with new loans.

        Parameters
        ----------
        lent
            The answer; one that comes twice or too late changes nothing.
        now_s
            Monotonic time of this process, in seconds.
        """
        if lent.borrower_incarnation_ns != self._incarnation_ns:
            return frozenset()
        asked_s = self._asked_s.pop(lent.sequence, None)
        if asked_s is None:
            return frozenset()
        self._lenders[lent.lender] = lent.lender_incarnation_ns
        valid_until_s = asked_s + lent.lease_s
        for loan_id in lent.renewed:
            slot = self._slots.get(_key(lent, loan_id))
            if slot is not None:
                slot.valid_until_s = max(slot.valid_until_s, valid_until_s)
        for loan in lent.loans:
            self._insert(_key(lent, loan.loan_id), loan, valid_until_s, now_s)
        return frozenset(loan.record.service for loan in lent.loans)

    def free(self, key: TargetKey, now_s: float) -> Iterator[BorrowedSlot]:
        """Iterate over the slots of a target that may be filled now."""
        for slot in self._by_target.get(key, ()):
            if slot.is_free(now_s):
                yield slot

    def targets(self, service: str) -> Iterator[TargetRecord]:
        """Iterate over the targets of a service with a borrowed slot."""
        for slots in self._by_target.values():
            record = slots[0].record
            if record.service == service:
                yield record

    def collect_returns(self, now_s: float) -> Iterator[Outgoing]:
        """Stop using unwanted slots and iterate over what to send for it."""
        if self._asked_s:
            self._forget_questions(now_s)
        unwanted = [
            slot for slot in self._slots.values() if slot.is_unwanted(now_s)
        ]
        for one in unwanted:
            self._remove(one)
            yield Outgoing(one.key.lender, self._returned(one.key))

    def lenders(self) -> set[str]:
        """Return the names of all entries that lent something."""
        return {slot.key.lender for slot in self._slots.values()}

    def _renewals(self, lender: str, now_s: float) -> tuple[int, ...]:
        current = self._lenders.get(lender)
        return tuple(
            slot.key.loan_id
            for slot in self._slots.values()
            if slot.key.lender == lender
            and slot.key.lender_incarnation_ns == current
            and slot.valid_until_s - now_s < _RENEW_BEFORE_END_S
            and not slot.is_unwanted(now_s)
        )

    def _insert(
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

    def _returned(self, key: LoanKey) -> SlotsReturned:
        return SlotsReturned(
            borrower=self._name,
            borrower_incarnation_ns=self._incarnation_ns,
            lender_incarnation_ns=key.lender_incarnation_ns,
            loan_ids=(key.loan_id,),
        )

    def _forget_questions(self, now_s: float) -> None:
        # An answer that comes after the lease it grants is worth nothing.
        self._asked_s = {
            sequence: asked_s
            for sequence, asked_s in self._asked_s.items()
            if now_s - asked_s < LEASE_S
        }


def _key(lent: SlotsLent, loan_id: int) -> LoanKey:
    return LoanKey(lent.lender, lent.lender_incarnation_ns, loan_id)
