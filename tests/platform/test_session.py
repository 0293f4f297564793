"""Test that calls to the platform reset their connection on a timeout.

Bytes that are held up by a network partition arrive once it heals, even if the
sender has given up the call, unless the connection is reset.
"""

from __future__ import annotations

import asyncio

import testtools
from testtools import matchers

from wigeonreach.observe import Logger
from wigeonreach.platform._session import PlatformSession

_TIMEOUT_S = 0.05


async def _connection_end_after_timeout() -> str:
    """Return how the connection of an unanswered call ends for the server."""
    seen: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    async def read_until_end(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await reader.read()
        except ConnectionResetError:
            seen.set_result('reset')
        else:
            seen.set_result('closed')
        writer.close()

    server = await asyncio.start_server(read_until_end, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = PlatformSession(f'{host}:{port}', _TIMEOUT_S, Logger('test'))
    try:
        assert await session.post('/order', _decode, {}) is None
        return await seen
    finally:
        await session.close()
        server.close()


def _decode(status: int, body: bytes) -> int:
    return status + len(body)


class TestTimeout(testtools.TestCase):
    """A call that times out."""

    def test_connection_is_reset(self) -> None:
        """So that an order can't arrive after one of a later leader."""
        ending = asyncio.run(_connection_end_after_timeout())
        self.assertThat(ending, matchers.Equals('reset'))
