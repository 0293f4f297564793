"""Stand where no platform is: VMs are left alone, nobody advises."""

from __future__ import annotations

from wigeonreach.scheduling._advice import Advice, Question
from wigeonreach.scheduling._vms import OrderResult, VmRecord


class UnmanagedVms:
    """VMs that this system neither lists nor changes.

    An order is answered as busy, so that a wave over such VMs is never said
    to be done.
    """

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return no VM: no list is kept."""
        return ()

    async def maintain(self, vm: str, wave: int, fence: int) -> OrderResult:
        """Leave the VM as it is."""
        return OrderResult.BUSY

    async def move(self, vm: str, pool: str, fence: int) -> OrderResult:
        """Leave the VM where it is."""
        return OrderResult.BUSY


class NoAdvisor:
    """Nobody who knows which workers may run a step."""

    async def advise(self, question: Question) -> Advice | None:
        """Return no ticket: nobody says that a worker may run it."""
        return Advice({}, 0)
