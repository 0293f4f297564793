"""Hold the state that an entry keeps of one target."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from wigeonreach.wire._target_messages import TargetRecord, TargetState


class Merge(enum.Enum):
    """Effect of merging a record."""

    NOTHING = enum.auto()
    STALE = enum.auto()
    RENEWED = enum.auto()
    CHANGED = enum.auto()
    JOINED = enum.auto()
    LEFT = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """State of one target as known to this entry.

    All times are monotonic seconds of this process.  ``renewed_s`` is the
    last start of the lease, by an announcement or a response of the target.
    ``last_serving_s`` is the latest time at which the target is known to
    have been serving: the time when this entry sent a request or probe whose
    response said so.
    """

    record: TargetRecord
    renewed_s: float
    updated_s: float
    last_serving_s: float = float('-inf')
    is_superseded: bool = False
    has_expired: bool = False

    @property
    def expires_s(self) -> float:
        """Time at which the lease ends."""
        return self.renewed_s + self.record.lease_s

    @property
    def confirmed_s(self) -> float:
        """Time at which the target last confirmed its own state.

        An announcement may have been delayed for any time, so it counts only
        for targets that can't be probed.
        """
        if self.record.state_path:
            return self.last_serving_s
        return max(self.last_serving_s, self.renewed_s)

    def is_serving(self, now_s: float) -> bool:
        """Whether the target serves according to its record."""
        return (
            self.record.state is TargetState.SERVING
            and now_s < self.expires_s
            and not self.is_superseded
        )


def with_current_age(member: Member, now_s: float) -> TargetRecord:
    """Return a member's record with its current age."""
    return msgspec.structs.replace(
        member.record,
        age_s=max(0.0, now_s - member.renewed_s),
    )


def merge_same_incarnation(
    member: Member, record: TargetRecord, now_s: float
) -> Merge:
    """Merge another record of the same incarnation into a member.

    Parameters
    ----------
    member
        The known target, which is updated.
    record
        The other record.
    now_s
        Monotonic time of this process, in seconds.

    Returns
    -------
    Merge
        Effect of the record.
    """
    # A leaving target returns only as a new incarnation, so that reordered
    # announcements can't bring it back.
    if member.record.state is TargetState.LEAVING:
        return Merge.NOTHING
    is_leaving = record.state is TargetState.LEAVING
    if record.sequence < member.record.sequence and not is_leaving:
        return Merge.NOTHING
    # The same announcement may arrive by two paths, or a response may have
    # arrived since.  Each time is a lower bound of the true one, so the latest
    # is the best.
    member.renewed_s = max(member.renewed_s, now_s - record.age_s)
    member.updated_s = now_s
    member.has_expired = False
    old = member.record
    member.record = record
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
