"""Null objects for a system without a platform and without an advisor."""

from __future__ import annotations

from wigeonreach.scheduling._vms import OrderResult, VmRecord
from wigeonreach.scheduling.placing._advice import Advice, AdviceRequest


class NullVmApi:
    """VM API that neither lists nor changes VMs.

    Orders are answered as busy, so that a wave over such VMs is never reported
    as done.
    """

    async def list_vms(self) -> tuple[VmRecord, ...] | None:
        """Return no VMs."""
        return ()

    async def maintain(self, vm: str, wave: int, fence: int) -> OrderResult:
        """Refuse the order as busy."""
        return OrderResult.BUSY

    async def move(self, vm: str, pool: str, fence: int) -> OrderResult:
        """Refuse the order as busy."""
        return OrderResult.BUSY


class NullAdvisor:
    """Advisor that allows no worker to run a step."""

    async def advise(
        self, request: AdviceRequest, timeout_s: float
    ) -> Advice | None:
        """Return no tickets."""
        return Advice({}, 0)
