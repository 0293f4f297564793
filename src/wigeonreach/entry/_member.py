"""Hold what an entry knows of one target."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from wigeonreach.wire._target_messages import TargetRecord, TargetState


class Merge(enum.Enum):
    """What a record changed."""

    NOTHING = enum.auto()
    STALE = enum.auto()
    RENEWED = enum.auto()
    CHANGED = enum.auto()
    JOINED = enum.auto()
    LEFT = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One target, as this entry knows it.

    ``seen_s`` is the newest time at which the target is known to have been
    as the record says: it announced itself, or answered this entry.
    """

    record: TargetRecord
    seen_s: float
    is_superseded: bool = False
    has_expired: bool = False

    @property
    def expires_s(self) -> float:
        """When the lease ends."""
        return self.seen_s + self.record.lease_s

    def is_serving(self, now_s: float) -> bool:
        """Whether the target serves, as far as its record goes."""
        return (
            self.record.state is TargetState.SERVING
            and now_s < self.expires_s
            and not self.is_superseded
        )


def aged(member: Member, now_s: float) -> TargetRecord:
    """Return a member's record with the age that it has now."""
    return msgspec.structs.replace(
        member.record,
        age_s=max(0.0, now_s - member.seen_s),
    )


def renew(known: Member, record: TargetRecord, seen_s: float) -> Merge:
    """Take another record of the same incarnation.

    Parameters
    ----------
    known
        What is known.
    record
        The other record.
    seen_s
        A time at or before that of the announcement, in the monotonic seconds
        of this process.

    Returns
    -------
    Merge
        What the record changed.
    """
    # A target that is leaving comes back only as a new incarnation, so that
    # announcements that crossed each other can't bring it back.
    if known.record.state is TargetState.LEAVING:
        return Merge.NOTHING
    if record.state is TargetState.LEAVING:
        known.record = record
        known.seen_s = max(known.seen_s, seen_s)
        return Merge.LEFT
    if record.sequence < known.record.sequence:
        return Merge.NOTHING
    # Two ways of one announcement, or an answer seen since: each time is at
    # or before the true one, so that the latest of them holds.
    known.seen_s = max(known.seen_s, seen_s)
    if record.sequence == known.record.sequence:
        return Merge.NOTHING
    known.has_expired = False
    old = known.record
    known.record = record
    is_same = record == msgspec.structs.replace(
        old,
        sequence=record.sequence,
        age_s=record.age_s,
    )
    return Merge.RENEWED if is_same else Merge.CHANGED
