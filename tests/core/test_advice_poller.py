"""Test the calls to the advisor that a leader makes."""

from __future__ import annotations

import asyncio
import types
from typing import cast
from unittest import mock

import testtools
from testtools import matchers

from wigeonreach.core._advice_poller import AdvicePoller
from wigeonreach.core._decision_guard import DecisionGuard
from wigeonreach.core._term import LeaderTerm
from wigeonreach.observe import Logger, Metrics
from wigeonreach.scheduling.placing._advice import Advice, AdviceRequest

_CALL_S = 0.3
_REQUEST = AdviceRequest(('00000000000000a1', 0, 0), ('w0',), _CALL_S, 3.0)


class _Cache:
    """Has a few requests, and keeps the answers."""

    def __init__(self, requests: list[AdviceRequest]) -> None:
        self.requests = requests
        self.answers: list[Advice | None] = []

    def pop_requests(self) -> list[AdviceRequest]:
        popped = self.requests
        self.requests = []
        return popped

    def record_advice(
        self, request: AdviceRequest, advice: Advice | None, now_s: float
    ) -> None:
        self.answers.append(advice)


class _SlowAdvisor:
    """Allows all workers after some time."""

    def __init__(self, takes_s: float, valid_s: float) -> None:
        self._takes_s = takes_s
        self._valid_s = valid_s

    async def advise(self, request: AdviceRequest, timeout_s: float) -> Advice:
        await asyncio.sleep(self._takes_s)
        return Advice(dict.fromkeys(request.workers, 'paper'), self._valid_s)


class TestValidity(testtools.TestCase):
    """Tickets that are valid for less time than the call for them takes.

    Guards against jobs that never start, as each ticket is taken for expired
    when it is received.
    """

    def test_call_takes_as_long_as_expected(self) -> None:
        """The validity counts from the answer."""
        self._assert_valid(_SlowAdvisor(_CALL_S, 0.2))

    def test_call_takes_longer(self) -> None:
        """It is not known when the answer was given, so a part counts."""
        self._assert_valid(_SlowAdvisor(_CALL_S * 2, 0.2))

    def _assert_valid(self, advisor: _SlowAdvisor) -> None:
        answers = asyncio.run(_answers([_REQUEST], advisor))
        advice = answers[0]
        assert advice is not None
        self.assertThat(advice.valid_s, matchers.GreaterThan(0.09))
        self.assertThat(advice.valid_s, matchers.LessThan(0.21))


async def _answers(
    requests: list[AdviceRequest], advisor: _SlowAdvisor
) -> list[Advice | None]:
    cache = _Cache(list(requests))
    metrics = Metrics()
    logger = mock.create_autospec(Logger, instance=True)
    term = types.SimpleNamespace(
        scheduler=types.SimpleNamespace(advice=cache),
        guard=DecisionGuard(logger, metrics),
        wake=asyncio.Event(),
    )
    poller = AdvicePoller(cast('LeaderTerm', term), advisor, metrics)
    running = asyncio.create_task(poller.run())
    while len(cache.answers) < len(requests):
        await asyncio.sleep(0.01)
    running.cancel()
    return cache.answers
