"""Let requests of one service wait until a target has a free slot."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import time
from collections.abc import Collection
from typing import Protocol

from wigeonreach.codes import ResultCode
from wigeonreach.entry._admission import (
    Load,
    ServiceTimes,
    can_queue,
    can_start,
    return_after_s,
)
from wigeonreach.entry._queue import FairQueue, Ticket
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._slots import Ending, Slot
from wigeonreach.exceptions import RequestRefusedError

_MAX_WAITING = 256
_CHECK_S = 0.01
_ANSWERS = frozenset((Ending.ANSWERED, Ending.FAILED))


class SlotGiver(Protocol):
    """What hands out the slots of targets."""

    def acquire(
        self,
        service: str,
        now_s: float,
        exclude: Collection[str] = (),
    ) -> Slot | None:
        """Return a free slot of a service, if there is one."""

    def release(self, slot: Slot, ending: Ending, now_s: float) -> None:
        """Take a slot back."""

    def is_served(self, service: str, now_s: float) -> bool:
        """Whether any target of a service may be given new work."""


class SlotQueue:
    """The slots of one service, and who waits for them.

    Parameters
    ----------
    service
        Name of the service.
    router
        Hands out the slots of targets.
    rng
        Spreads the times at which refused callers shall return.
    """

    def __init__(
        self,
        service: str,
        router: SlotGiver,
        rng: random.Random,
    ) -> None:
        """Start with nobody waiting."""
        self._service = service
        self._router = router
        self._rng = rng
        self._queue = FairQueue(_MAX_WAITING)
        self._waiters: dict[int, asyncio.Future[Slot]] = {}
        self._numbers = itertools.count()
        self._check: asyncio.TimerHandle | None = None
        self._running = 0
        self.times = ServiceTimes()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._queue)

    async def acquire(self, request: CallerRequest) -> Slot:
        """Return a slot as soon as it is this request's turn.

        Parameters
        ----------
        request
            Who asks.

        Returns
        -------
        Slot
            A slot, which must be released here.

        Raises
        ------
        RequestRefusedError
            At once when the request is not expected to finish in time or
            the queue is full.
        """
        now_s = time.monotonic()
        load = self._load(request, now_s)
        left_s = request.due_s - now_s
        if not can_start(load, left_s):
            raise self._refusal(ResultCode.REQUEST_DEADLINE_TOO_SHORT, load)
        slot = None if len(self._queue) else self.try_acquire(now_s)
        if slot is not None:
            return slot
        if not self._router.is_served(self._service, now_s):
            raise self._refusal(ResultCode.REQUEST_NO_TARGET, load)
        if not can_queue(load, left_s):
            raise self._refusal(ResultCode.REQUEST_DEADLINE_TOO_SHORT, load)
        return await self._wait(request)

    def try_acquire(
        self,
        now_s: float,
        exclude: tuple[str, ...] = (),
    ) -> Slot | None:
        """Return a slot that is free now, if there is one.

        Parameters
        ----------
        now_s
            Monotonic time, in seconds.
        exclude
            Targets that are not wanted.
        """
        slot = self._router.acquire(self._service, now_s, exclude)
        if slot is not None:
            self._running += 1
        return slot

    def release(self, slot: Slot, ending: Ending) -> None:
        """Give a slot back and let the next request have it.

        Parameters
        ----------
        slot
            The slot.
        ending
            How the attempt ended.
        """
        now_s = time.monotonic()
        self._running -= 1
        self._router.release(slot, ending, now_s)
        if ending in _ANSWERS:
            self.times.learn(now_s - slot.acquired_s, now_s)
        # One slot became free: to look for a second one in vain would cost
        # more than all else here.
        if len(self._queue):
            self._hand_out_one(now_s)

    async def _wait(self, request: CallerRequest) -> Slot:
        ticket = Ticket(
            next(self._numbers),
            request.team,
            request.weight,
            request.is_urgent,
            request.due_s,
        )
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Slot] = loop.create_future()
        self._waiters[ticket.number] = waiter
        dropped = self._queue.push(ticket)
        if dropped is not None:
            self._refuse(dropped, ResultCode.REQUEST_QUEUE_FULL)
        self._check_later()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._leave(ticket, waiter)
            raise

    def _leave(self, ticket: Ticket, waiter: asyncio.Future[Slot]) -> None:
        self._queue.remove(ticket)
        self._waiters.pop(ticket.number, None)
        if waiter.done() and not waiter.cancelled():
            self.release(waiter.result(), Ending.UNUSED)

    def _hand_out_one(self, now_s: float) -> bool:
        slot = self.try_acquire(now_s)
        if slot is None:
            return False
        while len(self._queue):
            ticket = self._queue.pop()
            assert ticket is not None  # noqa: S101 - the queue is not empty
            waiter = self._waiters.pop(ticket.number)
            if not waiter.done():
                waiter.set_result(slot)
                return True
        # All that waited were cancelled a moment ago.
        self._running -= 1
        self._router.release(slot, Ending.UNUSED, now_s)
        return False

    def _check_later(self) -> None:
        # Slots also become free without a release here: a target joins, or
        # another entry gives some back.
        if self._check is None and len(self._queue):
            loop = asyncio.get_running_loop()
            self._check = loop.call_later(_CHECK_S, self._on_check)

    def _on_check(self) -> None:
        self._check = None
        now_s = time.monotonic()
        needed_s = self.times.needed_s(now_s)
        for ticket in self._queue.remove_due(now_s + needed_s):
            self._refuse(ticket, ResultCode.REQUEST_DEADLINE_PASSED)
        is_handed_out = True
        while is_handed_out and len(self._queue):
            is_handed_out = self._hand_out_one(now_s)
        if not self._router.is_served(self._service, now_s):
            for left_over in self._queue.remove_due(math.inf):
                self._refuse(left_over, ResultCode.REQUEST_NO_TARGET)
        self._check_later()

    def _refuse(self, ticket: Ticket, code: ResultCode) -> None:
        load = self._load(ticket, time.monotonic())
        waiter = self._waiters.pop(ticket.number)
        waiter.set_exception(self._refusal(code, load))

    def _load(self, asking: CallerRequest | Ticket, now_s: float) -> Load:
        ahead = self._queue.ahead_of(
            asking.team,
            asking.weight,
            is_urgent=asking.is_urgent,
        )
        return Load(
            ahead=ahead,
            running=self._running,
            mean_s=self.times.mean_s(now_s),
            needed_s=self.times.needed_s(now_s),
        )

    def _refusal(self, code: ResultCode, load: Load) -> RequestRefusedError:
        return RequestRefusedError(
            code,
            f'{len(self._queue)} requests wait',
            return_after_s(load.wait_s, self._rng),
        )
