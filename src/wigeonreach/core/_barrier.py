"""Share read barriers between concurrent reads."""

from __future__ import annotations

import asyncio

from wigeonreach.agreement import Agreement


class SharedReadBarrier:
    """Runs one read barrier at a time and shares it between all waiters.

    A barrier is only valid for callers that asked before it began, so callers
    that arrive while one is running wait for the next.

    Parameters
    ----------
    agreement
        Runs the barriers.
    """

    def __init__(self, agreement: Agreement) -> None:
        """Prepare; no barrier is run yet."""
        self._agreement = agreement
        self._running: asyncio.Task[None] | None = None
        self._next: asyncio.Task[None] | None = None

    async def wait(self) -> None:
        """Wait until all commands acknowledged before are applied here.

        Raises
        ------
        StateError
            If the leadership was not confirmed in time.
        """
        if self._running is None or self._running.done():
            self._running = asyncio.create_task(self._agreement.read_barrier())
            self._running.add_done_callback(_consume_exception)
            await asyncio.shield(self._running)
            return
        if self._next is None or self._next.done():
            self._next = asyncio.create_task(self._run_after(self._running))
            self._next.add_done_callback(_consume_exception)
        await asyncio.shield(self._next)

    async def _run_after(self, running: asyncio.Task[None]) -> None:
        await asyncio.wait((running,))
        self._running = self._next
        self._next = None
        await self._agreement.read_barrier()


def _consume_exception(barrier: asyncio.Task[None]) -> None:
    """Retrieve the exception of a barrier whose waiters have all gone."""
    if not barrier.cancelled():
        barrier.exception()
