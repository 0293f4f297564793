"""Forward the scheduler's advice requests to the advisor while leading."""

from __future__ import annotations

import asyncio
from typing import Protocol

from wigeonreach.core._clock import steady_s
from wigeonreach.core._decision_guard import Decision
from wigeonreach.core._term import LeaderTerm
from wigeonreach.observe import Metrics
from wigeonreach.scheduling.placing._advice import (
    Advice,
    AdviceRequest,
    age_tickets,
)

_POLL_INTERVAL_S = 0.05
# The advisor serves one call per process at a time; a second one waits in its
# queue, and is served as soon as the first one ends.
_MAX_CONCURRENT_CALLS = 2


class AdvisorApi(Protocol):
    """Service that knows which workers may run a step."""

    async def advise(
        self, request: AdviceRequest, timeout_s: float
    ) -> Advice | None:
        """Return the tickets, or None without an answer in time."""


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
        # How long the advisor should take for the calls in flight.
        self._in_flight_s = 0.0

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
            advice = await self._call(request)
        took_s = steady_s() - sent_s
        self._metrics.observe_s('advice', took_s)
        if advice is not None:
            advice = age_tickets(advice, took_s - request.expected_s)
        self._count(request, advice)
        self._term.scheduler.advice.record_advice(request, advice, steady_s())
        self._term.wake.set()

    async def _call(self, request: AdviceRequest) -> Advice | None:
        """Make a call, which may also have to wait for those before it."""
        self._in_flight_s += request.expected_s
        timeout_s = self._in_flight_s + request.margin_s
        try:
            # The step could never be asked for again after an error.
            with self._term.guard.contain(Decision.ADVICE):
                return await self._api.advise(request, timeout_s)
        finally:
            self._in_flight_s -= request.expected_s
        return None

    def _count(self, request: AdviceRequest, advice: Advice | None) -> None:
        outcome = 'none' if advice is None else 'answered'
        self._metrics.count('advice_calls', outcome)
        if advice is None:
            return
        allowed = len(advice.tickets)
        refused = len(request.workers) - allowed
        self._metrics.count('advised_workers', 'allowed', amount=allowed)
        self._metrics.count('advised_workers', 'refused', amount=refused)
        if advice.unreadable:
            self._metrics.count('advice_rows_skipped', amount=advice.unreadable)
