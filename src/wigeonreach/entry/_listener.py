"""Accept HTTP connections and stop accepting without resetting any."""

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
        The HTTP server; its ``setup`` must have completed.
    address
        Address to listen on.
    """

    def __init__(self, runner: web.BaseRunner, address: Address) -> None:
        """Create the listener without opening its socket."""
        self._runner = runner
        self._address = address
        self._socket: socket.socket | None = None
        self._site: web.SockSite | None = None

    async def open(self) -> None:
        """Start accepting connections.

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
        """Stop listening, but serve the connections in the accept queue.

        The kernel's queue may hold connections that the event loop has not
        accepted yet; closing the socket would reset them.
        """
        server = self._runner.server
        if self._socket is None or self._site is None or server is None:
            return
        duplicate = self._socket.dup()
        duplicate.setblocking(False)
        await self._site.stop()
        queued = list(_accept_all(duplicate))
        duplicate.close()
        loop = asyncio.get_running_loop()
        for connection in queued:
            connection.setblocking(False)
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(server, connection)


def end_idle_connections(runner: web.BaseRunner) -> None:
    """Half-close every keep-alive connection.

    Only the sending half is closed, so that a request already in transit is
    read and dropped rather than answered with a TCP reset.
    """
    if runner.server is None:
        return
    for connection in runner.server.connections:
        transport = connection.transport
        if transport is not None and transport.can_write_eof():
            transport.write_eof()


def _accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    # The kernel's queue holds at most this many connections.
    for _ in range(_BACKLOG + 1):
        try:
            connection, _address = listening.accept()
        except OSError:
            return
        yield connection
