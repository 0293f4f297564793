"""Accept callers' connections, and end that without a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Final

from aiohttp import web

from wigeonreach.wire import Address

_BACKLOG: Final = 128


class Listener:
    """The listening socket of an entry's HTTP server.

    Parameters
    ----------
    runner
        The server, which must be set up.
    address
        Where to listen.
    """

    def __init__(self, runner: web.BaseRunner, address: Address) -> None:
        """Prepare; nothing listens yet."""
        self._runner = runner
        self._address = address
        self._socket: socket.socket | None = None
        self._site: web.SockSite | None = None

    async def open(self) -> None:
        """Begin to accept connections.

        Raises
        ------
        OSError
            If the address is in use.
        """
        host, port = self._address.host, self._address.port
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, port),
            family=family,
            backlog=_BACKLOG,
        )
        self._socket.setblocking(False)
        self._site = web.SockSite(
            self._runner,
            self._socket,
            backlog=_BACKLOG,
        )
        await self._site.start()

    async def close(self) -> None:
        """Accept no connection any more, but each that was already made.

        The kernel has connections in its queue that the event loop did not
        come to yet; closing the socket would reset them.
        """
        server = self._runner.server
        if self._socket is None or self._site is None or server is None:
            return
        last = self._socket.dup()
        last.setblocking(False)
        await self._site.stop()
        waiting = list(_accept_all(last))
        last.close()
        loop = asyncio.get_running_loop()
        for connection in waiting:
            connection.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(server, connection)


def end_idle_connections(runner: web.BaseRunner) -> None:
    """Tell each caller that its kept-alive connection ends.

    Only the sending half is closed, so that a request which crosses the end
    on its way is read and dropped instead of being answered by a reset.
    """
    if runner.server is None:
        return
    for connection in runner.server.connections:
        transport = connection.transport
        if transport is not None and transport.can_write_eof():
            transport.write_eof()


def _accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    # The queue holds no more than this.
    for _ in range(_BACKLOG + 1):
        try:
            connection, _address = listening.accept()
        except OSError:
            return
        yield connection
