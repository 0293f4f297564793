"""Forward the scheduler's advice requests to the advisor while leading."""

from __future__ import annotations

import asyncio
from typing import Protocol

from wigeonreach.core._clock import steady_s
from wigeonreach.core._decision_guard import Decision
from wigeonreach.core._term import LeaderTerm
from wigeonreach.observe import Metrics
from wigeonreach.scheduling.placing._advice import Advice, AdviceRequest

_POLL_INTERVAL_S = 0.05
# The advisor serves one call per process at a time; a second one waits in its
# queue, and is served as soon as the first one ends.
_MAX_CONCURRENT_CALLS = 2


class AdvisorApi(Protocol):
    """Service that knows which workers may run a step."""

    async def advise(self, request: AdviceRequest) -> Advice | None:
        """Return the tickets, or None without an answer."""


class AdvicePoller:
    """Polls the scheduler for advice requests and sends them to the advisor.

    Parameters
    ----------
    term
        The leader's term, whose scheduler is polled.
    api
        The advisor.
    metrics
        Counts and times the calls.
    """

    def __init__(
        self,
        term: LeaderTerm,
        api: AdvisorApi,
        metrics: Metrics,
    ) -> None:
        """Prepare; nothing is sent before ``run``."""
        self._term = term
        self._api = api
        self._metrics = metrics
        self._call_slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                await asyncio.sleep(_POLL_INTERVAL_S)
                with self._term.guard.contain(Decision.ADVICE):
                    self._start_calls()
        finally:
            for running in self._tasks:
                running.cancel()

    def _start_calls(self) -> None:
        for request in self._term.scheduler.advice.pop_requests():
            task = asyncio.create_task(self._ask(request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask(self, request: AdviceRequest) -> None:
        async with self._call_slots:
            sent_s = steady_s()
            advice = await self._api.advise(request)
        self._metrics.observe_s('advice', steady_s() - sent_s)
        outcome = 'none' if advice is None else 'answered'
        self._metrics.count('advice_calls', outcome)
        if advice is not None and advice.unreadable:
            self._metrics.count('advice_rows_skipped', amount=advice.unreadable)
        # The validity of tickets counts from when the request was sent.
        self._term.scheduler.advice.record_advice(request, advice, sent_s)
        self._term.wake.set()
