"""Define the platform's interface to VMs."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol


# An order can't be carried out any more this long after its record: the leader
# is confirmed first, and the call to the platform times out after 2 s.
ORDER_TIMEOUT_S = 3.0


class VmPhase(enum.StrEnum):
    """State of a VM, as the platform reports it."""

    UP = 'up'
    MOVING = 'moving'
    MAINTAINED = 'maintained'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class VmRecord:
    """One VM in the platform's list.

    Attributes
    ----------
    vm
        The name of the VM.
    pool
        The service whose worker it runs.
    phase
        Its state.
    zone, rack
        Its location.
    worker
        The worker on it, as the platform names it; empty if there is none.
    labels
        The labels of its worker, including the rack.
    """

    vm: str
    pool: str
    phase: VmPhase
    zone: str
    rack: str
    worker: str
    labels: tuple[str, ...] = ()


class OrderResult(enum.StrEnum):
    """Outcome of an order for a VM.

    An order with the outcome ``UNKNOWN`` may have been carried out; it is sent
    again.
    """

    DONE = 'done'
    BUSY = 'busy'
    FENCED = 'fenced'
    IMPOSSIBLE = 'impossible'
    UNKNOWN = 'unknown'


class VmApi(Protocol):
    """The platform's operations on VMs.

    Each order includes a fence, to which the implementation adds the sender,
    and ends everything that runs on the VM at once.
    """

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return all VMs, or None if the platform did not answer."""

    async def maintain(self, vm: str, wave: int, fence: int) -> OrderResult:
        """Maintain a VM for a wave."""

    async def move(self, vm: str, pool: str, fence: int) -> OrderResult:
        """Move a VM to another pool."""
