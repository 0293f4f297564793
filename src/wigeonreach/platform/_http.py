"""HTTP server for one listening address."""

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
# The minimum, as other processes of the zone can serve the retry at once.
_SHUTDOWN_RETRY_AFTER_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response.

    Attributes
    ----------
    retry_after_s
        Value of the Retry-After header, or None to send none.
    """

    status: int
    body: bytes = b''
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes
    ----------
    host
        Host header without the port.
    headers
        Case-insensitive mapping.  Excluded from ``repr`` as headers hold
        secrets.
    """

    method: str
    host: str
    path: str
    body: bytes
    headers: Mapping[str, str] = dataclasses.field(repr=False)


Handler = Callable[[HttpRequest], Awaitable[HttpReply]]


class HttpListener(mode.Service):
    """HTTP server for one address.

    Parameters
    ----------
    address
        Address to listen on.
    handler
        Returns the response to a request.
    max_body_bytes
        Largest accepted request body; a larger one is answered with 413.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        max_body_bytes: int,
    ) -> None:
        """Create a server that listens once started."""
        super().__init__()
        self._address = address
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._in_flight = 0
        self._is_keep_alive_disabled = False
        self._is_refusing = False

    async def on_start(self) -> None:
        """Start listening."""
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

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self._is_keep_alive_disabled = True

    async def refuse_when_idle(self, timeout_s: float) -> None:
        """Refuse new requests with 503 once none is in flight or time is up.

        The service behind the handler is stopped next; a request accepted
        after that would get no response.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while self._in_flight and loop.time() < deadline_s:
            await asyncio.sleep(0.02)  # noqa: WPS432 - far below any timeout
        self._is_refusing = True

    async def on_stop(self) -> None:
        """Stop listening and close all connections."""
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
        if self._is_keep_alive_disabled:
            response.force_close()
        return response

    async def _reply_to(self, request: web.BaseRequest) -> HttpReply:
        if self._is_refusing:
            return error_reply(503, _shutting_down(), _SHUTDOWN_RETRY_AFTER_S)
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
    """Return a response whose body holds the error's code and detail."""
    body = {'code': int(error.code), 'error': error.detail}
    return HttpReply(status, json.dumps(body).encode(), retry_after_s)


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
