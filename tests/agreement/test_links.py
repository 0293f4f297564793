"""Test links between replicas over connections that go silent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import testtools
from testtools import matchers

from tests.builders_core import free_addresses
from wigeonreach.agreement._links import Links
from wigeonreach.exceptions import WireError
from wigeonreach.observe import Logger
from wigeonreach.wire import Channel, parse_address, serve
from wigeonreach.wire._raft_messages import (
    LinkEcho,
    LinkProbe,
    MemberId,
    RaftMessage,
    ReadRequest,
)

# Far above the duration of any test here; ends a test that hangs.
_TEST_TIMEOUT_S = 20.0
_MESSAGE = ReadRequest(MemberId('sender', 1), 2, 3, 4)


class _Peer:
    """A replica whose first connections go silent.

    Parameters
    ----------
    silent
        How many connections take all bytes and answer nothing.
    """

    def __init__(self, silent: int) -> None:
        self.connections = 0
        self.heard = asyncio.Event()
        self._silent = silent

    async def on_channel(self, channel: Channel) -> None:
        """Serve one connection."""
        self.connections += 1
        if self.connections <= self._silent:
            await asyncio.sleep(_TEST_TIMEOUT_S)
        try:
            await self._answer(channel)
        except WireError:
            return

    async def _answer(self, channel: Channel) -> None:
        while True:
            message = await channel.receive()
            if isinstance(message, LinkProbe):
                channel.post(LinkEcho())
            elif isinstance(message, RaftMessage):
                self.heard.set()


async def _with_link(
    peer: _Peer,
    body: Callable[[Callable[[], None]], Awaitable[None]],
) -> None:
    name = free_addresses(1)[0]
    server = await serve(
        parse_address(name, 'peer'),
        peer.on_channel,
        Logger('test').message_unreadable,
    )
    links = Links((), Logger('sender'))
    await links.start()
    try:
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            await body(lambda: links.post(name, _MESSAGE))
    finally:
        await links.stop()
        server.close()


class TestLinks(testtools.TestCase):
    """Links whose connections go silent."""

    def test_silent_connection_is_given_up(self) -> None:
        """A connection that accepts bytes but answers nothing is replaced."""

        async def run() -> None:
            peer = _Peer(silent=1)

            async def body(post: Callable[[], None]) -> None:
                while not peer.heard.is_set():
                    post()
                    await asyncio.sleep(0.05)

            await _with_link(peer, body)
            self.assertThat(peer.connections, matchers.Equals(2))

        asyncio.run(run())

    def test_quiet_link_stays_open(self) -> None:
        """A link stays open if the peer answers only probes."""

        async def run() -> None:
            peer = _Peer(silent=0)

            async def body(post: Callable[[], None]) -> None:
                post()
                await peer.heard.wait()
                await asyncio.sleep(2.0)

            await _with_link(peer, body)
            self.assertThat(peer.connections, matchers.Equals(1))

        asyncio.run(run())
