"""Queue the requests of one service until a target has a free slot."""

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
    ServiceTimeEstimate,
    can_finish_now,
    can_finish_queued,
    retry_after_s,
)
from wigeonreach.entry._queue import FairQueue, Ticket
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._slots import Ending, Slot
from wigeonreach.exceptions import RequestRefusedError

_MAX_WAITING = 256
_CHECK_INTERVAL_S = 0.01
_COMPLETED = frozenset((Ending.ANSWERED, Ending.FAILED))


class SlotProvider(Protocol):
    """Allocator of the slots of targets."""

    def acquire(
        self,
        service: str,
        now_s: float,
        exclude: Collection[str] = (),
    ) -> Slot | None:
        """Return a free slot of a service, or None."""

    def release(self, slot: Slot, ending: Ending, now_s: float) -> None:
        """Release a slot."""

    def is_served(self, service: str, now_s: float) -> bool:
        """Whether a service has a target or may be served by another zone."""


class SlotQueue:
    """The slots of one service and the requests that wait for them.

    Parameters
    ----------
    service
        Name of the service.
    router
        Allocates the slots of targets.
    rng
        Source of the jitter of refused callers' retry times.
    """

    def __init__(
        self,
        service: str,
        router: SlotProvider,
        rng: random.Random,
    ) -> None:
        """Start with an empty queue."""
        self._service = service
        self._router = router
        self._rng = rng
        self._queue = FairQueue(_MAX_WAITING)
        self._waiters: dict[int, asyncio.Future[Slot]] = {}
        self._numbers = itertools.count()
        self._check_timer: asyncio.TimerHandle | None = None
        self._running = 0
        self.service_time = ServiceTimeEstimate()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    async def acquire(self, request: CallerRequest) -> Slot:
        """Wait until it is a request's turn and return its slot.

        Parameters
        ----------
        request
            The request that needs a slot.

        Returns
        -------
        Slot
            A slot, which must be released with ``release``.

        Raises
        ------
        RequestRefusedError
            Immediately if the request is not expected to finish in time or no
            target serves it.  Later if the queue overflows, if too little time
            is left, or if no target remains.
        """
        now_s = time.monotonic()
        load = self._load(request, now_s)
        remaining_s = request.due_s - now_s
        if not can_finish_now(load, remaining_s):
            raise self._build_refusal(
                ResultCode.REQUEST_DEADLINE_TOO_SHORT, load
            )
        slot = None if len(self._queue) else self.try_acquire(now_s)
        if slot is not None:
            return slot
        if not self._router.is_served(self._service, now_s):
            raise self._build_refusal(ResultCode.REQUEST_NO_TARGET, load)
        if not can_finish_queued(load, remaining_s):
            raise self._build_refusal(
                ResultCode.REQUEST_DEADLINE_TOO_SHORT, load
            )
        return await self._wait(request)

    def try_acquire(
        self,
        now_s: float,
        exclude: tuple[str, ...] = (),
    ) -> Slot | None:
        """Return a slot that is free now, or None.

        Parameters
        ----------
        now_s
            Monotonic time, in seconds.
        exclude
            Ids of targets that must not be used.
        """
        slot = self._router.acquire(self._service, now_s, exclude)
        if slot is not None:
            self._running += 1
        return slot

    def release(self, slot: Slot, ending: Ending) -> None:
        """Release a slot and assign a free slot to the next request.

        Parameters
        ----------
        slot
            The slot to release.
        ending
            How the attempt ended.
        """
        now_s = time.monotonic()
        self._running -= 1
        self._router.release(slot, ending, now_s)
        if ending in _COMPLETED:
            self.service_time.record(now_s - slot.acquired_s, now_s)
        # Only one slot became free; a fruitless search for a second one would
        # cost more than everything else in this method.
        if len(self._queue):
            self._assign_one(now_s)

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
        self._schedule_check()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._cancel_wait(ticket, waiter)
            raise

    def _cancel_wait(
        self, ticket: Ticket, waiter: asyncio.Future[Slot]
    ) -> None:
        self._queue.remove(ticket)
        self._waiters.pop(ticket.number, None)
        if waiter.done() and not waiter.cancelled():
            self.release(waiter.result(), Ending.UNUSED)

    def _assign_one(self, now_s: float) -> bool:
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
        # All waiting requests were cancelled in the meantime.
        self._running -= 1
        self._router.release(slot, Ending.UNUSED, now_s)
        return False

    def _schedule_check(self) -> None:
        # Slots also become free without a call of ``release``: a target joins,
        # or another entry lends slots or returns those that it borrowed.
        if self._check_timer is None and len(self._queue):
            loop = asyncio.get_running_loop()
            self._check_timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._check_timer = None
        now_s = time.monotonic()
        bound_s = self.service_time.upper_bound_s(now_s)
        for ticket in self._queue.remove_expired(now_s + bound_s):
            self._refuse(ticket, ResultCode.REQUEST_DEADLINE_PASSED)
        is_assigned = True
        while is_assigned and len(self._queue):
            is_assigned = self._assign_one(now_s)
        if not self._router.is_served(self._service, now_s):
            for unserved in self._queue.remove_expired(math.inf):
                self._refuse(unserved, ResultCode.REQUEST_NO_TARGET)
        self._schedule_check()

    def _refuse(self, ticket: Ticket, code: ResultCode) -> None:
        load = self._load(ticket, time.monotonic())
        waiter = self._waiters.pop(ticket.number)
        waiter.set_exception(self._build_refusal(code, load))

    def _load(self, request: CallerRequest | Ticket, now_s: float) -> Load:
        ahead = self._queue.estimate_ahead(
            request.team,
            request.weight,
            is_urgent=request.is_urgent,
        )
        return Load(
            queued_ahead=ahead,
            running=self._running,
            mean_s=self.service_time.mean_s(now_s),
            upper_bound_s=self.service_time.upper_bound_s(now_s),
        )

    def _build_refusal(
        self, code: ResultCode, load: Load
    ) -> RequestRefusedError:
        return RequestRefusedError(
            code,
            f'{len(self._queue)} requests wait',
            retry_after_s(load.expected_wait_s, self._rng),
        )
