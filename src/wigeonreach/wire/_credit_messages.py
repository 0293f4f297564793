"""Messages with which entries lend slots of targets to each other."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._target_messages import TargetRecord


class SlotWish(WireMessage, frozen=True):
    """Number of slots of a service's targets that the sender could use.

    ``work_bound_s`` is the longest time, in seconds, that a target may work
    on a request of this service, counted from when its slot was taken.
    """

    service: str
    count: int
    work_bound_s: float


class SlotsAsked(WireMessage, frozen=True):
    """Request new loans, and renewal of the leases of existing loans.

    ``renewals`` are the ids of loans that the lender's incarnation
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
    """One slot of one target, lent under a unique id."""

    loan_id: int
    record: TargetRecord


class SlotsLent(WireMessage, frozen=True):
    """Reply to the ``SlotsAsked`` of the same sequence.

    The lease of both new and renewed loans starts when the borrower sent its
    request.
    """

    lender: str
    lender_incarnation_ns: int
    borrower_incarnation_ns: int
    sequence: int
    lease_s: float
    loans: tuple[SlotLoan, ...]
    renewed: tuple[int, ...]


class SlotsReturned(WireMessage, frozen=True):
    """Return loans that have no request in flight and won't be used again."""

    borrower: str
    borrower_incarnation_ns: int
    lender_incarnation_ns: int
    loan_ids: tuple[int, ...]


class TargetFirstSeen(WireMessage, frozen=True):
    """Announce an incarnation of a target that no entry knew before."""

    target_id: str
    incarnation_ns: int


CreditMessage: TypeAlias = (
    SlotsAsked | SlotsLent | SlotsReturned | TargetFirstSeen
)
