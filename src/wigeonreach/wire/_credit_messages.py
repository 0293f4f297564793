"""Messages by which entries lend each other slots of targets."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._target_messages import TargetRecord


class SlotWish(WireMessage, frozen=True):
    """How many slots of a service's targets the sender would fill.

    ``work_bound_s`` is the longest time that a target may work on a request
    of this service, counted from when the slot for it was taken.
    """

    service: str
    count: int
    work_bound_s: float


class SlotsAsked(WireMessage, frozen=True):
    """Ask for new loans and for longer leases on loans already made.

    ``renewals`` are loans that the lender's incarnation
    ``lender_incarnation_ns`` made to the sender.
    """

    borrower: str
    zone: str
    borrower_incarnation_ns: int
    sequence: int
    wishes: tuple[SlotWish, ...]
    lender_incarnation_ns: int
    renewals: tuple[int, ...]


class SlotLoan(WireMessage, frozen=True):
    """One slot of one target, lent under a number of its own."""

    loan_id: int
    record: TargetRecord


class SlotsLent(WireMessage, frozen=True):
    """Answer to the ``SlotsAsked`` of the same sequence.

    The lease of new and of renewed loans alike runs from when the borrower
    asked.
    """

    lender: str
    lender_incarnation_ns: int
    borrower_incarnation_ns: int
    sequence: int
    lease_s: float
    loans: tuple[SlotLoan, ...]
    renewed: tuple[int, ...]


class SlotsReturned(WireMessage, frozen=True):
    """Give loans back that have nothing in flight and never will again."""

    borrower: str
    borrower_incarnation_ns: int
    lender_incarnation_ns: int
    loan_ids: tuple[int, ...]


class TargetFirstSeen(WireMessage, frozen=True):
    """Tell that no entry knew this incarnation of a target before now."""

    target_id: str
    incarnation_ns: int


CreditMessage: TypeAlias = (
    SlotsAsked | SlotsLent | SlotsReturned | TargetFirstSeen
)
