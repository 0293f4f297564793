"""Read callers' requests, dispatch them and return the responses."""

from __future__ import annotations

import random
import time

from aiohttp import web

from wigeonreach.codes import ResultCode
from wigeonreach.entry._attempt import (
    StateCallback,
    TargetClient,
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
    max_body_size_bytes,
    read_request,
)
from wigeonreach.entry._routing import Router
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.exceptions import AttemptFailedError, RequestRefusedError
from wigeonreach.observe import Metrics

# How many bodies of the largest size the memory limit allows.  A body takes up
# to three times its size while it is read and sent.
_MAX_BODIES = 16


class Proxy:
    """Serve callers' requests.

    Parameters
    ----------
    settings
        Limits of this entry.
    config
        The fleet configuration in force.
    router
        Allocates the slots of targets.
    metrics
        Counters of responses and of refused key requests.
    rng
        Source of random choices.
    peers
        Channels to the other entries.
    lifecycle
        State that decides whether new requests are accepted.
    on_state
        Called with the state that a target reports in a response.
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
        on_state: StateCallback = ignore_state,
    ) -> None:
        """Create the request handlers; no connection is opened yet."""
        self._settings = settings
        self._config = config
        self._metrics = metrics
        self._rng = rng
        self._target_client = TargetClient(on_state=on_state)
        self._dispatcher = Dispatcher(router, self._target_client, metrics, rng)
        self._lifecycle = lifecycle
        self._key_owner = KeyOwner(settings, self._dispatcher, metrics)
        self._keyed_requests = KeyedRequests(
            settings.name,
            self._key_owner,
            peers,
            config,
            lifecycle,
            metrics,
        )
        self._body_budget = BodyBudget(_MAX_BODIES * settings.max_body_bytes)

    @property
    def forwarded_in_flight(self) -> int:
        """Number of requests in flight that other entries forwarded."""
        return self._keyed_requests.in_flight

    async def open(self) -> None:
        """Open the connection pool for targets."""
        await self._target_client.open()

    async def close(self) -> None:
        """Close all connections to targets."""
        await self._target_client.close()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Answer one request.

        Parameters
        ----------
        request
            What the caller sent to ``/s/SERVICE/...``.

        Returns
        -------
        aiohttp.web.StreamResponse
            The target's response, or an error response.
        """
        started_s = time.monotonic()
        reply = await self._answer(request, started_s)
        self._metrics.count('answers', reply.headers.get(CODE_HEADER, ''))
        self._metrics.observe_s('answer', time.monotonic() - started_s)
        return reply

    async def issue_key(self, request: web.Request) -> web.Response:
        """Answer a request for an idempotency key.

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
            key = self._issue_key(request.match_info['service'])
        except RequestRefusedError as refused:
            self._metrics.count('keys', refused.code.name.lower())
            return refusal_reply(refused, self._rng)
        return issued_reply(key)

    def _issue_key(self, service: str) -> str:
        text = self._config.text
        if text is None:
            raise RequestRefusedError(ResultCode.REQUEST_CONFIG_NOT_READY, '')
        if service not in text.services:
            raise RequestRefusedError(ResultCode.REQUEST_UNKNOWN_SERVICE, '')
        if self._lifecycle.is_stopping:
            # Keys are lost when this process ends.
            raise RequestRefusedError(ResultCode.REQUEST_SHUTTING_DOWN, '')
        return self._key_owner.issue(service)

    async def _answer(
        self,
        request: web.Request,
        started_s: float,
    ) -> web.Response:
        try:
            return await self._run(request, started_s)
        except RequestRefusedError as refused:
            if KEY_HEADER in request.headers:
                # Another copy of this request may have run through another
                # entry.
                return unknown_reply(refused)
            return refusal_reply(refused, self._rng)
        except AttemptFailedError as failed:
            return failure_reply(failed, self._rng)

    async def _run(
        self,
        request: web.Request,
        started_s: float,
    ) -> web.Response:
        size_bytes = max_body_size_bytes(request, self._settings.max_body_bytes)
        if not self._body_budget.try_reserve(size_bytes):
            raise RequestRefusedError(ResultCode.REQUEST_BODIES_FULL, '')
        try:
            caller_request = await read_request(
                request, self._config.text, started_s
            )
            if caller_request.key:
                result = await self._keyed_requests.answer(caller_request)
                return key_reply(result, self._rng)
            answer = await self._dispatcher.run(
                caller_request,
                lambda: request.transport is None,
            )
            return target_reply(answer)
        finally:
            self._body_budget.release(size_bytes)
