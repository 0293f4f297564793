"""Serve HTTP at one address."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from collections.abc import Awaitable, Callable, Mapping

import mode
from aiohttp import web

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError, WigeonreachError
from wigeonreach.wire import Address

_JSON = 'application/json'
_KEEP_ALIVE_S = 75.0
_CLOSE_TIMEOUT_S = 0.5
# Other processes of the zone go on.
_ANOTHER_AFTER_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole answer.

    Attributes
    ----------
    retry_after_s
        When to come back, or nothing.
    """

    status: int
    body: bytes = b''
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request.

    Attributes
    ----------
    host
        Without its port.
    headers
        By name, whatever its case.  They hold secrets: they are not shown.
    """

    method: str
    host: str
    path: str
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(repr=False)


Handler = Callable[[HttpRequest], Awaitable[HttpReply]]


class HttpListener(mode.Service):
    """One listening address.

    Parameters
    ----------
    address
        Where to listen.
    handler
        Answers a request.
    max_body_bytes
        Of a request; a longer one is answered with 413.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        max_body_bytes: int,
    ) -> None:
        """Listen once started."""
        super().__init__()
        self._address = address
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._in_flight = 0
        self._is_closing = False
        self._is_refusing = False

    async def on_start(self) -> None:
        """Listen."""
        server = web.Server(
            self._on_request,
            keepalive_timeout=_KEEP_ALIVE_S,
            access_log=None,
        )
        self._runner = web.ServerRunner(
            server,
            handle_signals=False,
            shutdown_timeout=_CLOSE_TIMEOUT_S,
        )
        await self._runner.setup()
        self._site = web.TCPSite(
            self._runner,
            self._address.host,
            self._address.port,
        )
        await self._site.start()

    def close_after_next(self) -> None:
        """End each connection with the answer to its next request."""
        self._is_closing = True

    async def wait_idle(self, timeout_s: float) -> None:
        """Wait until no request is in flight; refuse those that come then.

        What answers requests ends next, and would leave them without an answer.
        """
        loop = asyncio.get_running_loop()
        due_s = loop.time() + timeout_s
        while self._in_flight and loop.time() < due_s:
            await asyncio.sleep(0.02)  # noqa: WPS432 - far below any timeout
        self._is_refusing = True

    async def on_stop(self) -> None:
        """Close the address and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _on_request(self, request: web.BaseRequest) -> web.Response:
        self._in_flight += 1
        try:
            reply = await self._reply_to(request)
        finally:
            self._in_flight -= 1
        response = web.Response(
            status=reply.status,
            body=reply.body,
            content_type=_JSON,
        )
        if reply.retry_after_s is not None:
            response.headers['Retry-After'] = str(reply.retry_after_s)
        if self._is_closing:
            response.force_close()
        return response

    async def _reply_to(self, request: web.BaseRequest) -> HttpReply:
        if self._is_refusing:
            return error_reply(503, _shutting_down(), _ANOTHER_AFTER_S)
        length_bytes = request.content_length or 0
        if length_bytes > self._max_body_bytes:
            return error_reply(413, _too_large(self._max_body_bytes))
        body = await request.read()
        if len(body) > self._max_body_bytes:
            return error_reply(413, _too_large(self._max_body_bytes))
        return await self._handler(
            HttpRequest(
                request.method,
                request.host.partition(':')[0],
                request.path,
                body,
                request.headers,
            ),
        )


def error_reply(
    status: int,
    error: WigeonreachError,
    retry_after_s: int | None = None,
) -> HttpReply:
    """Return an answer that tells a numbered error."""
    told = {'code': int(error.code), 'error': error.detail}
    return HttpReply(status, json.dumps(told).encode(), retry_after_s)


def _shutting_down() -> RequestRefusedError:
    return RequestRefusedError(
        ResultCode.REQUEST_SHUTTING_DOWN,
        'this process ends; ask another one',
    )


def _too_large(allowed_bytes: int) -> RequestRefusedError:
    return RequestRefusedError(
        ResultCode.REQUEST_TOO_LARGE,
        f'allowed: {allowed_bytes} bytes',
    )
