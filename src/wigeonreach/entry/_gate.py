"""HTTP middleware that counts requests and refuses them during shutdown."""

from __future__ import annotations

import asyncio
from typing import Final

from aiohttp import web
from aiohttp.typedefs import Handler

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._lifecycle import Lifecycle, Phase
from wigeonreach.entry._replies import error_reply
from wigeonreach.entry._request_reading import KEY_HEADER
from wigeonreach.observe import Metrics

_SERVICE_PATH_PREFIX: Final = '/s/'
_RETRY_AFTER: Final = 'Retry-After'


class Gate:
    """Middleware in front of every handler of an entry's HTTP server.

    Parameters
    ----------
    lifecycle
        State that decides whether requests are accepted.
    metrics
        Counters of refusals.
    """

    def __init__(self, lifecycle: Lifecycle, metrics: Metrics) -> None:
        """Start with nothing in flight."""
        self._lifecycle = lifecycle
        self._metrics = metrics
        self.in_flight = 0

    @web.middleware
    async def handle(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Answer one request; close its connection if the entry is stopping."""
        if self._lifecycle.phase is Phase.CLOSING:
            # The connection was closed while this request was in transit: no
            # response can be sent, and nothing may run.
            self._metrics.count('answers_impossible', 'closing')
            await asyncio.Event().wait()
        self.in_flight += 1
        try:
            reply = await self._dispatch(request, handler)
        finally:
            self.in_flight -= 1
        if self._lifecycle.is_stopping:
            reply.force_close()
        return reply

    async def _dispatch(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        is_service_request = request.path.startswith(_SERVICE_PATH_PREFIX)
        if is_service_request and not self._lifecycle.takes_work:
            return self._refuse(request)
        return await handler(request)

    def _refuse(self, request: web.Request) -> web.Response:
        code = ResultCode.REQUEST_SHUTTING_DOWN
        self._metrics.count('answers', str(int(code)))
        # Another copy of a request with an idempotency key may have run
        # through another entry.
        has_key = KEY_HEADER in request.headers
        outcome = Outcome.UNKNOWN if has_key else Outcome.NOT_RUN
        reply = error_reply(503, code, outcome)
        # Another entry accepts the request without delay.
        reply.headers[_RETRY_AFTER] = '0'
        return reply
