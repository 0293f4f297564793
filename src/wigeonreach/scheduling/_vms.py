"""Define what the platform tells about VMs and does to them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol


# From when an order is recorded until the platform has carried it out or not:
# its leader is confirmed, and the call is given up after 2 s.
ORDER_LASTS_S = 3.0


class VmPhase(enum.StrEnum):
    """What a VM does, as the platform sees it."""

    UP = 'up'
    MOVING = 'moving'
    MAINTAINED = 'maintained'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class VmRecord:
    """One VM.

    Attributes
    ----------
    pool
        The service whose worker it runs.
    worker
        The incarnation of its worker, or nothing.
    labels
        What its worker carries, the rack among it.
    """

    vm: str
    pool: str
    phase: VmPhase
    zone: str
    rack: str
    worker: str
    labels: tuple[str, ...] = ()


class OrderResult(enum.StrEnum):
    """What became of an order for a VM.

    ``UNKNOWN`` may have been carried out; it is sent again.
    """

    DONE = 'done'
    BUSY = 'busy'
    FENCED = 'fenced'
    IMPOSSIBLE = 'impossible'
    UNKNOWN = 'unknown'


class VmApi(Protocol):
    """What the platform does to VMs.

    Each order carries who gives it and under which fence, and ends all that
    runs on the VM at once.
    """

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return all VMs, or None if the platform did not answer."""

    async def maintain(self, vm: str, wave: int, fence: int) -> OrderResult:
        """Maintain a VM for a wave."""

    async def move(self, vm: str, pool: str, fence: int) -> OrderResult:
        """Give a VM to another pool."""
