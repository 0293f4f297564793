"""Have requests run at targets, with another attempt where it is safe."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Protocol

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._attempt import TargetAnswer
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._retry import (
    FailedAttempt,
    NoRetry,
    RetryBudget,
    decide_retry,
)
from wigeonreach.entry._slot_queue import SlotGiver, SlotQueue
from wigeonreach.entry._slots import Ending, Slot, ending_of
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError
from wigeonreach.observe import Metrics


def _never() -> bool:
    return False


class Attempter(Protocol):
    """What has one target run a request."""

    async def run(self, request: CallerRequest, address: str) -> TargetAnswer:
        """Return the target's whole answer."""


class Dispatcher:
    """Give requests to targets that have a free slot.

    Parameters
    ----------
    router
        Hands out the slots of targets.
    attempts
        The connections towards targets.
    metrics
        Counters of retries and of refusals to retry.
    rng
        Source of random choices.
    """

    def __init__(
        self,
        router: SlotGiver,
        attempts: Attempter,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Keep the parts; queues appear with the first request."""
        self._router = router
        self._attempts = attempts
        self._metrics = metrics
        self._rng = rng
        self._queues: dict[str, SlotQueue] = {}
        self._budgets: dict[str, RetryBudget] = {}

    async def run(
        self,
        request: CallerRequest,
        is_gone: Callable[[], bool] = _never,
    ) -> TargetAnswer:
        """Return a target's whole answer.

        Parameters
        ----------
        request
            What to run.
        is_gone
            Whether the caller hung up; what nobody waits for is not begun.

        Returns
        -------
        TargetAnswer
            The answer.

        Raises
        ------
        RequestRefusedError
            If the request is refused before any attempt.
        AttemptFailedError
            If no attempt gave a whole answer.
        """
        queue = self._queue_of(request.service.name)
        slot = await queue.acquire(request)
        if is_gone():
            queue.release(slot, Ending.UNUSED)
            raise RequestRefusedError(ResultCode.REQUEST_CALLER_GONE, '')
        return await self._run_from(slot, request, queue)

    async def _run_from(
        self,
        slot: Slot,
        request: CallerRequest,
        queue: SlotQueue,
    ) -> TargetAnswer:
        service = request.service
        budget = self._budgets.setdefault(service.name, RetryBudget())
        budget.on_first_attempt(service.retry_ratio)
        tried: tuple[str, ...] = ()
        may_have_run: AttemptFailedError | None = None
        while True:
            result = await self._attempt(request, queue, slot)
            if isinstance(result, TargetAnswer):
                return result
            if result.outcome is not Outcome.NOT_RUN:
                may_have_run = result
            tried = (*tried, slot.target_id)
            other = self._retry_slot(request, result, tried)
            if other is None:
                # A last attempt that did not run says nothing of those
                # before it.
                raise may_have_run or result
            slot = other

    def _queue_of(self, service: str) -> SlotQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = SlotQueue(service, self._router, self._rng)
            self._queues[service] = queue
        return queue

    async def _attempt(
        self,
        request: CallerRequest,
        queue: SlotQueue,
        slot: Slot,
    ) -> TargetAnswer | AttemptFailedError:
        # The target may still work on an attempt that is cut off here.
        ending = Ending.ABANDONED
        try:
            answer = await self._attempts.run(request, slot.address)
        except AttemptFailedError as failed:
            ending = Ending.GIVEN_UP
            if failed.outcome is Outcome.NOT_RUN:
                ending = Ending.NOT_SENT
            return failed
        else:
            ending = ending_of(answer.status)
            return answer
        finally:
            queue.release(slot, ending)

    def _retry_slot(
        self,
        request: CallerRequest,
        failed: AttemptFailedError,
        tried: tuple[str, ...],
    ) -> Slot | None:
        queue = self._queues[request.service.name]
        budget = self._budgets[request.service.name]
        now_s = time.monotonic()
        decided = decide_retry(
            FailedAttempt(
                failed.outcome,
                request.is_idempotent,
                request.due_s - now_s,
                queue.times.mean_s(now_s),
            ),
            budget,
        )
        if isinstance(decided, NoRetry):
            self._metrics.count('retry_refusals', decided.value)
            return None
        slot = queue.try_acquire(now_s, tried)
        if slot is None:
            self._metrics.count('retry_refusals', NoRetry.NO_OTHER_TARGET.value)
            return None
        budget.take()
        self._metrics.count('retries', decided.value)
        return slot
