"""Messages, settings and records of VM moves between pools."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class MoveSettings:
    """Delays and limits that keep VMs from being moved too often.

    Attributes
    ----------
    loss_delay_s
        Seconds without moves after a loss, because VMs of one failure domain
        fail together but are reported one after another.
    grace_s
        Seconds for which promised slots must be missing before a VM is moved;
        none if the pool has less than its minimum slots.  Most lost VMs come
        back sooner.
    high_usage_s
        Seconds for which usage must be high before a VM is moved.
    usage_lag_s
        Seconds until a move shows in the usage; usage measured sooner
        triggers no further move.
    min_stay_s
        Minimum time between two moves of a VM, in seconds; does not apply if
        the second move is for depth or maintenance.
    min_loan_s
        Minimum time between two moves of a VM, in seconds, if the second move
        is for maintenance.
    flap_window_s, flap_changes
        A VM that was lost this many times within this window, in seconds, is
        not moved.
    max_usage_ratio
        Ratio of used slots above which a pool requests another VM.
    returns_surplus
        Whether VMs return to their original pool as soon as the pool that
        they were moved to can spare them.
    """

    loss_delay_s: float = 15.0
    grace_s: float = 300.0
    high_usage_s: float = 600.0
    usage_lag_s: float = 120.0
    min_stay_s: float = 3600.0
    min_loan_s: float = 900.0
    flap_window_s: float = 3600.0
    flap_changes: int = 2
    max_usage_ratio: float = 0.8
    returns_surplus: bool = False


UNDAMPED = MoveSettings(
    loss_delay_s=0.0,
    grace_s=0.0,
    high_usage_s=0.0,
    usage_lag_s=0.0,
    min_stay_s=0.0,
    min_loan_s=0.0,
    flap_window_s=0.0,
    returns_surplus=True,
)


class MoveCause(enum.StrEnum):
    """Reason why a VM is moved to a pool."""

    DEPTH = 'depth'
    PROMISE = 'promise'
    USAGE = 'usage'
    MAINTENANCE = 'maintenance'
    SURPLUS = 'surplus'


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """Slots of a pool in use, measured at an earlier time."""

    pool: str
    used_slots: float
    measured_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VmChanged:
    """The state of a VM in the inventory has changed."""

    vm: str
    is_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VmWork:
    """Work on a VM that a move would disturb.

    Attributes
    ----------
    in_flight
        Number of requests or tasks that must end before the move.
    checkpointable
        Number of tasks that can be checkpointed and resumed elsewhere.
    """

    vm: str
    in_flight: int
    checkpointable: int


@dataclasses.dataclass(frozen=True, slots=True)
class WantSpare:
    """Maintenance of a pool is blocked by a lack of spare capacity.

    Attributes
    ----------
    zone
        Zone of the waiting VM; spare capacity in the same zone helps most.
    """

    pool: str
    zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MoveEnded:
    """A requested move has completed or failed."""

    vm: str
    is_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRecord:
    """One move and its reasons.

    Attributes
    ----------
    have_slots, need_slots
        Slots that the receiving pool had and needed.
    candidates
        Number of VMs that were compared.
    in_flight, checkpointable
        Work that the move disturbs, as in `VmWork`.
    """

    at_s: float
    vm: str
    from_pool: str
    to_pool: str
    slots: int
    cause: MoveCause
    have_slots: float
    need_slots: float
    candidates: int
    in_flight: int
    checkpointable: int

    def line(self) -> str:
        """Return a one-line explanation of the move for operators."""
        return (
            f'{self.vm}: {self.from_pool} -> {self.to_pool} because of'
            f' {self.cause}: {self.to_pool} had {self.have_slots:g} of'
            f' {self.need_slots:g} slots; disturbs {self.in_flight} in flight'
            f' and {self.checkpointable} checkpoints, least of'
            f' {self.candidates} VMs'
        )
