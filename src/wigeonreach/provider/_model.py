"""What the platform tells and what it can be asked to do."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias


class VmPhase(enum.StrEnum):
    """What a VM does, as the platform sees it."""

    SERVING = 'serving'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    BOOTED = 'booted'
    DOWN = 'down'


class ActionKind(enum.StrEnum):
    """What can be done to a VM or to a task."""

    DRAIN = 'drain'
    UNDRAIN = 'undrain'
    REBOOT = 'reboot'
    CHECK = 'check'
    RESTORE = 'restore'
    START = 'start'
    CHECKPOINT = 'checkpoint'
    THROTTLE = 'throttle'
    STOP = 'stop'


@dataclasses.dataclass(frozen=True, slots=True)
class VmView:
    """One VM and its worker as last told.

    Attributes
    ----------
    action_id
        Of the last action that was begun on it; by this an action whose
        answer was lost is found to have had its effect.
    is_healthy
        Result of the last check, or nothing if none has ended since.
    """

    name: str
    zone: str
    rack: str
    phase: VmPhase
    slots: int
    processors: float
    memory_bytes: int
    accelerators: int
    in_flight: int
    open_checkpoints: int
    action_id: str
    is_healthy: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmPage:
    """The VMs that changed after a revision."""

    revision: int
    vms: tuple[VmView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TaskView:
    """One task and its usage, which was measured some time ago."""

    job_id: str
    worker: str
    lease_token: int
    state: str
    used_processors: float
    used_memory_bytes: float
    measured_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VmAction:
    """Ask something of a VM.

    Attributes
    ----------
    action_id
        The same in each resend; the platform does it once.
    fencing_token
        The platform refuses it if it has seen a higher one for this VM.
    """

    kind: ActionKind
    vm: str
    action_id: str
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAction:
    """Ask something of the task of a job on a worker under a lease.

    The lease token is the fencing token: the platform refuses what carries a
    lower one than it has seen for this job.
    """

    kind: ActionKind
    job_id: str
    worker: str
    lease_token: int
    action_id: str
    lease_s: float = 0.0
    ratio: float = 1.0


Action: TypeAlias = VmAction | TaskAction
