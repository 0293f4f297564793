"""Messages by which entries share what targets announced."""

from __future__ import annotations

import enum

import msgspec

from wigeonreach.wire._base import WireMessage


class TargetState(enum.StrEnum):
    """What a target says of itself."""

    SERVING = 'serving'
    LEAVING = 'leaving'


class TargetRecord(WireMessage, frozen=True):
    """The newest announcement known of one target.

    A higher ``incarnation_ns`` is a restart of the target; within one
    incarnation the higher ``sequence`` is the newer announcement.  The lease
    ends ``lease_s`` after the announcement, which was ``age_s`` ago when the
    record was sent.  ``state_path`` is where the target tells its state, or
    empty if it can't.
    """

    target_id: str
    service: str
    zone: str
    address: str
    incarnation_ns: int
    sequence: int
    state: TargetState
    slots: int
    connections: int
    lease_s: float
    age_s: float = 0
    state_path: str = ''


class Renewal(
    msgspec.Struct,
    frozen=True,
    array_like=True,
):
    """An announcement that changed nothing but its number."""

    target_id: str
    incarnation_ns: int
    sequence: int
    age_s: float


class Targets(WireMessage, frozen=True):
    """Some of the records that an entry knows.

    ``echo_s`` is a time on the receiver's own clock before which none of the
    records was sent, so that a receiver can count how long they were under
    way; ``echo_incarnation_ns`` says which incarnation's clock it is.
    """

    records: tuple[TargetRecord, ...]
    echo_s: float = 0
    echo_incarnation_ns: int = 0


class Renewals(WireMessage, frozen=True):
    """Announcements since the last batch that changed nothing.

    ``echo_s`` and ``echo_incarnation_ns`` are those of ``Targets``.
    """

    renewals: tuple[Renewal, ...]
    echo_s: float
    echo_incarnation_ns: int
