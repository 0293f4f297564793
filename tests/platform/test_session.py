"""Test what becomes of calls to the platform that get no answer.

Answers cut links: bytes that a cut holds up arrive once it heals, also after
their sender has given the call up, unless the connection is reset.
"""

from __future__ import annotations

import asyncio

import testtools
from testtools import matchers

from wigeonreach.observe import Logger
from wigeonreach.platform._session import PlatformSession

_TIMEOUT_S = 0.05


async def _ending_of_a_call_without_answer() -> str:
    """Return how a server sees the end of a call that it does not answer."""
    seen: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    async def silent(
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

    server = await asyncio.start_server(silent, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    session = PlatformSession(f'{host}:{port}', _TIMEOUT_S, Logger('test'))
    try:
        assert await session.post('/order', _decoded, {}) is None
        return await seen
    finally:
        await session.close()
        server.close()


def _decoded(status: int, body: bytes) -> int:
    return status + len(body)


class TestUnanswered(testtools.TestCase):
    """A call that is given up."""

    def test_connection_is_reset(self) -> None:
        """So an order can't arrive after another leader has given one."""
        ending = asyncio.run(_ending_of_a_call_without_answer())
        self.assertThat(ending, matchers.Equals('reset'))
