"""Lead one request through reading, dispatch and answer."""

from __future__ import annotations

import random
import time

from aiohttp import web

from wigeonreach.codes import ResultCode
from wigeonreach.entry._attempt import (
    Attempts,
    StateListener,
    ignore_state,
)
from wigeonreach.entry._body_budget import BodyBudget
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._dispatch import Dispatcher
from wigeonreach.entry._keys_forward import KeyedRequests
from wigeonreach.entry._keys_owner import KeyOwner
from wigeonreach.entry._keys_replies import issued_reply, key_reply
from wigeonreach.entry._lifecycle import Lifecycle
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._replies import (
    CODE_HEADER,
    failure_reply,
    refusal_reply,
    target_reply,
    unknown_reply,
)
from wigeonreach.entry._request_reading import (
    KEY_HEADER,
    body_bound_bytes,
    read_request,
)
from wigeonreach.entry._routing import Router
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError
from wigeonreach.observe import Metrics

# As many bodies of the largest size may be kept at once, or more smaller ones;
# each takes up to three times its size while it is read and sent.
_MAX_BODIES = 16


class Proxy:
    """Serve callers' requests.

    Parameters
    ----------
    settings
        Limits of this entry.
    config
        The text in force.
    router
        Hands out the slots of targets.
    metrics
        Counters of each refusal.
    rng
        Source of random choices.
    peers
        Channels to the other entries.
    lifecycle
        Whether new work is taken.
    on_state
        Called with what a target says of itself in an answer.
    """

    def __init__(
        self,
        settings: EntrySettings,
        config: ConfigFollower,
        router: Router,
        metrics: Metrics,
        rng: random.Random,
        peers: PeerExchange,
        lifecycle: Lifecycle,
        on_state: StateListener = ignore_state,
    ) -> None:
        """Keep what each request needs; no connection is opened yet."""
        self._settings = settings
        self._config = config
        self._metrics = metrics
        self._rng = rng
        self._attempts = Attempts(on_state=on_state)
        self._dispatcher = Dispatcher(router, self._attempts, metrics, rng)
        self._lifecycle = lifecycle
        self._owner = KeyOwner(settings, self._dispatcher, metrics)
        self._keyed = KeyedRequests(
            settings.name,
            self._owner,
            peers,
            config,
            lifecycle,
            metrics,
        )
        self._bodies = BodyBudget(_MAX_BODIES * settings.max_body_bytes)

    @property
    def forwarded(self) -> int:
        """How many requests of other entries are being answered."""
        return self._keyed.in_flight

    async def open(self) -> None:
        """Open the connections towards targets."""
        await self._attempts.open()

    async def close(self) -> None:
        """Close the connections towards targets."""
        await self._attempts.close()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request.

        Parameters
        ----------
        request
            What the caller sent to ``/s/SERVICE/...``.

        Returns
        -------
        aiohttp.web.StreamResponse
            The target's answer, or a refusal.
        """
        started_s = time.monotonic()
        reply = await self._answer(request, started_s)
        self._metrics.count('answers', reply.headers.get(CODE_HEADER, ''))
        self._metrics.observe_s('answer', time.monotonic() - started_s)
        return reply

    async def issue_key(self, request: web.Request) -> web.Response:
        """Answer a request for a key.

        Parameters
        ----------
        request
            What the caller sent to ``/v1/keys/SERVICE``.

        Returns
        -------
        aiohttp.web.Response
            JSON with a key, or a refusal.
        """
        try:
            key = self._issue(request.match_info['service'])
        except RequestRefusedError as refused:
            self._metrics.count('keys', refused.code.name.lower())
            return refusal_reply(refused, self._rng)
        return issued_reply(key)

    def _issue(self, service: str) -> str:
        text = self._config.text
        if text is None:
            raise RequestRefusedError(ResultCode.REQUEST_CONFIG_NOT_READY, '')
        if service not in text.services:
            raise RequestRefusedError(ResultCode.REQUEST_UNKNOWN_SERVICE, '')
        if self._lifecycle.is_stopping:
            # Its keys would end with this process.
            raise RequestRefusedError(ResultCode.REQUEST_SHUTTING_DOWN, '')
        return self._owner.issue(service)

    async def _answer(
        self,
        request: web.Request,
        started_s: float,
    ) -> web.Response:
        try:
            return await self._run(request, started_s)
        except RequestRefusedError as refused:
            if KEY_HEADER in request.headers:
                # Another copy of it may have run through another entry.
                return unknown_reply(refused)
            return refusal_reply(refused, self._rng)
        except AttemptFailedError as failed:
            return failure_reply(failed, self._rng)

    async def _run(
        self,
        request: web.Request,
        started_s: float,
    ) -> web.Response:
        size_bytes = body_bound_bytes(request, self._settings.max_body_bytes)
        if not self._bodies.take(size_bytes):
            raise RequestRefusedError(ResultCode.REQUEST_BODIES_FULL, '')
        try:
            checked = await read_request(request, self._config.text, started_s)
            if checked.key:
                result = await self._keyed.answer(checked)
                return key_reply(result, self._rng)
            answer = await self._dispatcher.run(
                checked,
                lambda: request.transport is None,
            )
            return target_reply(answer)
        finally:
            self._bodies.give_back(size_bytes)
