"""State that the platform reports, and actions that it accepts."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias


class VmPhase(enum.StrEnum):
    """Lifecycle phase of a VM, as the platform reports it."""

    SERVING = 'serving'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    BOOTED = 'booted'
    DOWN = 'down'


class ActionKind(enum.StrEnum):
    """Kind of action on a VM or a task."""

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
    """One VM and its worker, as last reported.

    Attributes
    ----------
    action_id
        Id of the last action begun on the VM; it shows whether an action
        whose response was lost took effect.
    is_healthy
        Result of the last health check; None until one has completed.
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
    """One task and its usage, measured at ``measured_at_s``."""

    job_id: str
    worker: str
    lease_token: int
    state: str
    used_processors: float
    used_memory_bytes: float
    measured_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VmAction:
    """Request an action on a VM.

    Attributes
    ----------
    action_id
        The same in each resend; the platform executes the action once.
    fencing_token
        The platform refuses the action if it has seen a higher token for
        this VM.
    """

    kind: ActionKind
    vm: str
    action_id: str
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class TaskAction:
    """Request an action on a job's task on a worker, under a lease.

    The lease token is the fencing token: the platform refuses an action with
    a lower token than it has seen for this job.
    """

    kind: ActionKind
    job_id: str
    worker: str
    lease_token: int
    action_id: str
    lease_s: float = 0.0
    ratio: float = 1.0


Action: TypeAlias = VmAction | TaskAction
