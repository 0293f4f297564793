"""Ask the advisor about steps, as the leader."""

from __future__ import annotations

import asyncio
from typing import Protocol

from wigeonreach.core._clock import steady_s
from wigeonreach.core._term import LeaderTerm
from wigeonreach.observe import Metrics
from wigeonreach.scheduling._advice import Advice, Question

_ROUND_S = 0.05
# The advisor takes one call of a process at a time; a second one waits there.
_AT_ONCE = 2


class AdvisorApi(Protocol):
    """Who knows which workers may run a step."""

    async def advise(self, question: Question) -> Advice | None:
        """Return the tickets, or None if there was no answer."""


class Advising:
    """Put the scheduler's questions to the advisor.

    Parameters
    ----------
    term
        Under which is decided.
    api
        The advisor.
    metrics
        Where calls are counted.
    """

    def __init__(
        self,
        term: LeaderTerm,
        api: AdvisorApi,
        metrics: Metrics,
    ) -> None:
        """Ask nothing yet."""
        self._term = term
        self._api = api
        self._metrics = metrics
        self._turns = asyncio.Semaphore(_AT_ONCE)
        self._asking: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Ask until cancelled."""
        try:
            while True:
                await asyncio.sleep(_ROUND_S)
                for question in self._term.scheduler.advice.questions():
                    task = asyncio.create_task(self._ask(question))
                    self._asking.add(task)
                    task.add_done_callback(self._asking.discard)
        finally:
            for asking in self._asking:
                asking.cancel()

    async def _ask(self, question: Question) -> None:
        async with self._turns:
            began_s = steady_s()
            advice = await self._api.advise(question)
        self._metrics.observe_s('advice', steady_s() - began_s)
        outcome = 'none' if advice is None else 'answered'
        self._metrics.count('advice_calls', outcome)
        if advice is not None and advice.unreadable:
            self._metrics.count('advice_rows_skipped', amount=advice.unreadable)
        # Tickets count from when they were made out, so from the question.
        self._term.scheduler.advice.note(question, advice, began_s)
        self._term.wake.set()
