"""HTTP server with numbered errors and limited connections."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, Final

from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._replies import error_reply
from wigeonreach.observe import LogEvent, Logger, Metrics

_MAX_HEADER_BYTES: Final = 8190
_MAX_CONNECTIONS: Final = 4096
_SERVER_ERROR: Final = 500
_LINGER_S: Final = 1.0
# How much a connection may buffer while no handler reads from it.
_READ_AHEAD_BYTES: Final = 32 * 1024
_SOCKET_BUFFER_BYTES: Final = 64 * 1024


class EntryRunner(web.AppRunner):
    """Application runner with the connection limits of an entry.

    Parameters
    ----------
    application
        Handles complete requests.
    head_timeout_s
        How long a caller may take to send a request's head, in seconds.
    shutdown_timeout_s
        How long requests in flight may take at shutdown, in seconds.
    metrics
        Counters of connections and malformed requests that are refused.
    logger
        Where events are logged.
    """

    __slots__ = ('_logger', '_metrics')

    def __init__(
        self,
        application: web.Application,
        head_timeout_s: float,
        shutdown_timeout_s: float,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Set the limits of each connection."""
        super().__init__(
            application,
            access_log=None,
            shutdown_timeout=shutdown_timeout_s,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
            # aiohttp stops this timer at the end of a request's head, not at
            # its beginning, so it limits slow senders as well as idle callers.
            keepalive_timeout=head_timeout_s,
            lingering_time=_LINGER_S,
            read_bufsize=_READ_AHEAD_BYTES,
        )
        self._metrics = metrics
        self._logger = logger

    async def _make_server(self) -> web.Server:
        # Overriding this private method is the only way to customise the
        # response to a malformed request.
        server = await super()._make_server()
        return _EntryServer(server, self._metrics, self._logger)


class _EntryServer(web.Server):
    """Server that creates a handler per connection, up to a limit."""

    def __init__(
        self,
        server: web.Server,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        super().__init__(
            server.request_handler,
            request_factory=server.request_factory,
            **server._kwargs,
        )
        self.metrics = metrics
        self.logger = logger

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        loop = asyncio.get_running_loop()
        return _EntryHandler(self, loop, **self._kwargs)

    def connection_made(
        self,
        handler: web.RequestHandler,
        transport: asyncio.Transport,
    ) -> None:
        """Register a connection, or close it if there are too many."""
        super().connection_made(handler, transport)
        # A smaller kernel buffer limits how much a single read returns.
        transport.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _SOCKET_BUFFER_BYTES,
        )
        if len(self.connections) > _MAX_CONNECTIONS:
            self.metrics.count('connections_refused', 'too_many')
            transport.close()


class _EntryHandler(web.RequestHandler):
    """Connection handler that reports errors as numbered codes."""

    __slots__ = ('_entry_server',)

    def __init__(
        self,
        server: _EntryServer,
        loop: asyncio.AbstractEventLoop,
        **limits: Any,
    ) -> None:
        super().__init__(server, loop=loop, **limits)
        self._entry_server = server

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = _SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Build the response to a malformed request or an internal error.

        Parameters
        ----------
        request
            The part of the request that could be read.
        status
            HTTP status.
        exc, message
            The error.

        Returns
        -------
        aiohttp.web.StreamResponse
            The response; the connection is closed after it.
        """
        if request.writer.output_size:
            raise ConnectionError('the response was already started')
        if status < _SERVER_ERROR:
            reply = error_reply(
                status,
                ResultCode.REQUEST_BAD_HEADER,
                Outcome.NOT_RUN,
                'allowed: HTTP/1.1',
            )
        else:
            self._entry_server.logger.warning(
                LogEvent.REQUEST_FAULT,
                error=repr(exc),
            )
            reply = error_reply(
                status,
                ResultCode.REQUEST_INTERNAL_ERROR,
                Outcome.UNKNOWN,
            )
        self._entry_server.metrics.count(
            'answers',
            reply.headers['X-Result-Code'],
        )
        reply.force_close()
        return reply


async def refuse_unknown_path(_request: web.Request) -> web.Response:
    """Refuse a request to a path that no route matches.

    Returns
    -------
    aiohttp.web.Response
        A refusal with a numbered code.
    """
    return error_reply(
        404,
        ResultCode.REQUEST_UNKNOWN_PATH,
        Outcome.NOT_RUN,
        'allowed: /s/SERVICE/...',
    )
