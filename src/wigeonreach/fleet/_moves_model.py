"""Messages, settings and records of moves between pools."""

from __future__ import annotations

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class MoveSettings:
    """How much moves are damped.

    Attributes
    ----------
    gather_s
        Nothing is moved for so long after a loss: VMs of one domain fail
        together but are reported one after another.
    grace_s
        A promise is missed for so long before a VM is moved, unless the
        depth of the budget is reached; most lost VMs come back sooner.
    hold_s
        Usage is high for so long before a VM is moved.
    lag_s
        A move shows in the usage only after this time, so usage measured
        sooner moves nothing more.
    stay_s
        A VM stays in its pool at least so long.
    lend_s
        A VM lent for maintenance stays at least so long.
    flap_window_s, flap_changes
        A VM that was lost so often in this window is not moved.
    used_ratio
        Share of a pool in use above which it wants another VM.
    returns_surplus
        Whether VMs go back to the pool they came from once it lacks nothing.
    """

    gather_s: float = 15.0
    grace_s: float = 300.0
    hold_s: float = 600.0
    lag_s: float = 120.0
    stay_s: float = 3600.0
    lend_s: float = 900.0
    flap_window_s: float = 3600.0
    flap_changes: int = 2
    used_ratio: float = 0.8
    returns_surplus: bool = False


UNDAMPED = MoveSettings(
    gather_s=0.0,
    grace_s=0.0,
    hold_s=0.0,
    lag_s=0.0,
    stay_s=0.0,
    lend_s=0.0,
    flap_window_s=0.0,
    returns_surplus=True,
)


class MoveCause(enum.StrEnum):
    """Why a pool wants another VM."""

    DEPTH = 'depth'
    PROMISE = 'promise'
    USAGE = 'usage'
    MAINTENANCE = 'maintenance'
    SURPLUS = 'surplus'


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """Slots of a pool in use at an earlier time."""

    pool: str
    used_slots: float
    measured_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VmChanged:
    """The inventory holds a VM in a new state."""

    vm: str
    is_lost: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VmWork:
    """What would be disturbed by moving a VM.

    Attributes
    ----------
    in_flight
        Work that has to end first.
    checkpointable
        Work that can be checkpointed and go on elsewhere.
    """

    vm: str
    in_flight: int
    checkpointable: int


@dataclasses.dataclass(frozen=True, slots=True)
class WantSpare:
    """Maintenance of a pool waits for spare that it does not have.

    Attributes
    ----------
    zone
        Where the VM stands that waits; spare in the same zone helps most.
    """

    pool: str
    zone: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class MoveEnded:
    """A move that was asked for is done, or failed."""

    vm: str
    is_done: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRecord:
    """One move and why it was made.

    Attributes
    ----------
    have_slots, need_slots
        What the receiving pool had and wanted.
    candidates
        VMs that were compared.
    in_flight, checkpointable
        What the move disturbs.
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
        """Return the reasons on one line for a person."""
        return (
            f'{self.vm}: {self.from_pool} -> {self.to_pool} because of'
            f' {self.cause}: {self.to_pool} had {self.have_slots:g} of'
            f' {self.need_slots:g} slots; disturbs {self.in_flight} in flight'
            f' and {self.checkpointable} checkpoints, least of'
            f' {self.candidates} VMs'
        )
