"""Confirm reads together."""

from __future__ import annotations

import asyncio

from wigeonreach.agreement import Agreement


class SharedBarrier:
    """One confirmation at a time for all that wait.

    A confirmation counts only for those who asked before it began, so who
    comes while one is under way waits for the next.

    Parameters
    ----------
    agreement
        Who confirms.
    """

    def __init__(self, agreement: Agreement) -> None:
        """Confirm nothing yet."""
        self._agreement = agreement
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait until all that was acknowledged before is applied here.

        Raises
        ------
        StateError
            If no leader confirmed in time.
        """
        if self._running is None or self._running.done():
            self._running = asyncio.create_task(self._agreement.read_barrier())
            self._running.add_done_callback(_take_failure)
            await asyncio.shield(self._running)
            return
        if self._next is None or self._next.done():
            self._next = asyncio.create_task(self._after(self._running))
            self._next.add_done_callback(_take_failure)
        await asyncio.shield(self._next)

    async def _after(self, running: asyncio.Task[None]) -> None:
        await asyncio.wait((running,))
        self._running = self._next
        self._next = None
        await self._agreement.read_barrier()


def _take_failure(barrier: asyncio.Task[None]) -> None:
    """Take note of a failure that all who waited have left before."""
    if not barrier.cancelled():
        barrier.exception()
