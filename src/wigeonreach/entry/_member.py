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

    All times are monotonic seconds of this process.  ``renewed_s`` is when
    the lease began last: the target announced itself, or answered.
    ``seen_s`` is the newest time at which it is known to have been serving,
    because an answer to something sent then said so.
    """

    record: TargetRecord
    renewed_s: float
    touched_s: float
    seen_s: float = float('-inf')
    is_superseded: bool = False
    has_expired: bool = False

    @property
    def expires_s(self) -> float:
        """When the lease ends."""
        return self.renewed_s + self.record.lease_s

    @property
    def vouched_s(self) -> float:
        """When the target last vouched for itself.

        An announcement may have been held up under way for any time, so that
        it counts only where the target tells its state in no better way.
        """
        if self.record.state_path:
            return self.seen_s
        return max(self.seen_s, self.renewed_s)

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
        age_s=max(0.0, now_s - member.renewed_s),
    )


def renew(known: Member, record: TargetRecord, now_s: float) -> Merge:
    """Take another record of the same incarnation.

    Parameters
    ----------
    known
        What is known.
    record
        The other record.
    now_s
        Monotonic time of this process, in seconds.

    Returns
    -------
    Merge
        What the record changed.
    """
    # A target that is leaving comes back only as a new incarnation, so that
    # announcements that crossed each other can't bring it back.
    if known.record.state is TargetState.LEAVING:
        return Merge.NOTHING
    is_leaving = record.state is TargetState.LEAVING
    if record.sequence < known.record.sequence and not is_leaving:
        return Merge.NOTHING
    # Two ways of one announcement, or an answer seen since: each time is at
    # or before the true one, so that the latest of them holds.
    known.renewed_s = max(known.renewed_s, now_s - record.age_s)
    known.touched_s = now_s
    known.has_expired = False
    old = known.record
    known.record = record
    if is_leaving:
        return Merge.LEFT
    if record.sequence == old.sequence:
        return Merge.NOTHING
    is_same = record == msgspec.structs.replace(
        old,
        sequence=record.sequence,
        age_s=record.age_s,
    )
    return Merge.RENEWED if is_same else Merge.CHANGED
