"""Dispatch requests to targets and retry where that is safe."""

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
    RetryBudget,
    RetryRefusal,
    decide_retry,
)
from wigeonreach.entry._slot_queue import SlotProvider, SlotQueue
from wigeonreach.entry._slots import Ending, Slot, ending_of
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError
from wigeonreach.observe import Metrics


def _never_disconnected() -> bool:
    return False


class AttemptRunner(Protocol):
    """Client that sends a request to one target."""

    async def run(self, request: CallerRequest, address: str) -> TargetAnswer:
        """Return the target's complete response."""


class Dispatcher:
    """Send requests to targets that have a free slot.

    Parameters
    ----------
    router
        Allocates the slots of targets.
    client
        Sends requests to targets.
    metrics
        Counters of retries and of retries not made.
    rng
        Source of random choices.
    """

    def __init__(
        self,
        router: SlotProvider,
        client: AttemptRunner,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Start without queues; one is created per service on first use."""
        self._router = router
        self._client = client
        self._metrics = metrics
        self._rng = rng
        self._queues: dict[str, SlotQueue] = {}
        self._budgets: dict[str, RetryBudget] = {}

    async def run(
        self,
        request: CallerRequest,
        is_disconnected: Callable[[], bool] = _never_disconnected,
    ) -> TargetAnswer:
        """Run a request and return the target's complete response.

        Parameters
        ----------
        request
            What to run.
        is_disconnected
            Whether the caller closed its connection; the request is then not
            sent to a target.

        Returns
        -------
        TargetAnswer
            The response.

        Raises
        ------
        RequestRefusedError
            If the request is refused before any attempt.
        AttemptFailedError
            If no attempt yielded a complete response.
        """
        queue = self._get_queue(request.service.name)
        slot = await queue.acquire(request)
        if is_disconnected():
            queue.release(slot, Ending.UNUSED)
            raise RequestRefusedError(ResultCode.REQUEST_CALLER_GONE, '')
        return await self._run_with_retries(slot, request, queue)

    async def _run_with_retries(
        self,
        slot: Slot,
        request: CallerRequest,
        queue: SlotQueue,
    ) -> TargetAnswer:
        service = request.service
        budget = self._budgets.setdefault(service.name, RetryBudget())
        budget.on_first_attempt(service.retry_ratio)
        tried_targets: tuple[str, ...] = ()
        unknown_failure: AttemptFailedError | None = None
        while True:
            result = await self._attempt(request, queue, slot)
            if isinstance(result, TargetAnswer):
                return result
            if result.outcome is not Outcome.NOT_RUN:
                unknown_failure = result
            tried_targets = (*tried_targets, slot.target_id)
            retry_slot = self._retry_slot(request, result, tried_targets)
            if retry_slot is None:
                # The last attempt did not run, but an earlier one may have:
                # then the outcome of the request is unknown.
                raise unknown_failure or result
            slot = retry_slot

    def _get_queue(self, service: str) -> SlotQueue:
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
        # If this task is cancelled, the target may still be working.
        ending = Ending.ABANDONED
        try:
            answer = await self._client.run(request, slot.address)
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
        tried_targets: tuple[str, ...],
    ) -> Slot | None:
        queue = self._queues[request.service.name]
        budget = self._budgets[request.service.name]
        now_s = time.monotonic()
        decision = decide_retry(
            FailedAttempt(
                failed.outcome,
                request.is_idempotent,
                request.due_s - now_s,
                queue.service_time.mean_s(now_s),
            ),
            budget,
        )
        if isinstance(decision, RetryRefusal):
            self._metrics.count('retry_refusals', decision.value)
            return None
        slot = queue.try_acquire(now_s, tried_targets)
        if slot is None:
            self._metrics.count(
                'retry_refusals', RetryRefusal.NO_OTHER_TARGET.value
            )
            return None
        budget.take()
        self._metrics.count('retries', decision.value)
        return slot
