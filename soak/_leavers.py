"""Let workers leave, some without an acknowledgement of their end."""

from __future__ import annotations

import asyncio
import random

from soak._workers import Workers
from wigeonreach.gateway import Gateway
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._call_messages import DropWorker
from wigeonreach.wire._call_replies import Done

_MAX_PAUSE_S = 1.5
# Short, so that runs have not ended when the end is announced.
_MAX_DRAIN_S = 0.3
# How long a worker stays that gets no acknowledgement.
_MAX_STAY_S = 3.5
_CALL_TIMEOUT_S = 1.0


class Leavers:
    """Drains a worker at a time, announces its end and replaces it.

    A worker that gets no acknowledgement stays for a while and goes on with its
    runs, heard or not.

    Parameters
    ----------
    gateway
        Gateway through which ends are announced.
    workers
        The workers.
    rng
        Random generator for who leaves, when and how.
    """

    def __init__(
        self, gateway: Gateway, workers: Workers, rng: random.Random
    ) -> None:
        """Prepare; nobody leaves before ``run``."""
        self._gateway = gateway
        self._workers = workers
        self._rng = rng

    async def run(self) -> None:
        """Let workers leave until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, _MAX_PAUSE_S))
            await self._leave(self._rng.randrange(len(self._workers.current())))

    async def _leave(self, number: int) -> None:
        leaving = self._workers.current()[number]
        leaving.is_draining = True
        try:
            await self._announce_end(number, leaving)
        finally:
            self._workers.set_heard(number, is_heard=True)
            if self._workers.current()[number] is leaving:
                self._workers.crash(number)

    async def _announce_end(self, number: int, leaving: StandInWorker) -> None:
        await asyncio.sleep(self._rng.uniform(0, _MAX_DRAIN_S))
        reply = await self._gateway.call(
            DropWorker(leaving.incarnation), _CALL_TIMEOUT_S
        )
        if isinstance(reply, Done) and self._rng.randrange(2):
            return
        self._workers.set_heard(number, bool(self._rng.randrange(2)))
        await asyncio.sleep(self._rng.uniform(0, _MAX_STAY_S))
