"""Messages with which entries share the announcements of targets."""

from __future__ import annotations

import enum

import msgspec

from wigeonreach.wire._base import WireMessage


class TargetState(enum.StrEnum):
    """State that a target announces for itself."""

    SERVING = 'serving'
    LEAVING = 'leaving'


class TargetRecord(WireMessage, frozen=True):
    """The newest announcement known of one target.

    A higher ``incarnation_ns`` means that the target restarted; within one
    incarnation a higher ``sequence`` is a newer announcement.  The lease ends
    ``lease_s`` after the announcement, which was made ``age_s`` before the
    record was sent.  ``state_path`` is the path at which the target serves
    its state, or empty if it doesn't.
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
    """An announcement in which only the sequence number changed."""

    target_id: str
    incarnation_ns: int
    sequence: int
    age_s: float


class Targets(WireMessage, frozen=True):
    """Some of the records that an entry knows.

    ``echo_s`` is a time on the receiver's own clock; none of the records was
    sent before it, so that the receiver can bound how long they were in
    transit.  ``echo_incarnation_ns`` is the incarnation whose clock it is.
    """

    records: tuple[TargetRecord, ...]
    echo_s: float = 0
    echo_incarnation_ns: int = 0


class Renewals(WireMessage, frozen=True):
    """Announcements since the last batch that only renewed their lease.

    For ``echo_s`` and ``echo_incarnation_ns`` see ``Targets``.
    """

    renewals: tuple[Renewal, ...]
    echo_s: float
    echo_incarnation_ns: int
