"""Test that messages are decoded however the stream is split into chunks."""

from __future__ import annotations

import asyncio
from unittest import mock

import msgspec
import testtools
from testtools import matchers

from tests.builders_core import free_addresses
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.wire import Channel, connect, parse_address, serve
from wigeonreach.wire._call_messages import CoreHello, CoreNotice

_MESSAGES = (
    CoreHello('entry-1'),
    CoreNotice('core-1', ('core-1', 'core-2'), 7, 3),
    CoreHello('x' * 300),
)


def _channel(reader: asyncio.StreamReader) -> Channel:
    writer = mock.Mock()
    writer.get_extra_info.return_value = None
    return Channel(reader, writer)


async def _receive(chunks: list[bytes], count: int) -> list[object]:
    reader = asyncio.StreamReader()
    channel = _channel(reader)
    waiting = asyncio.create_task(_receive_all(channel, count))
    for chunk in chunks:
        reader.feed_data(chunk)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    return await waiting


async def _receive_all(channel: Channel, count: int) -> list[object]:
    return [await channel.receive() for _ in range(count)]


class TestChannel(testtools.TestCase):
    """The receiving side of a channel."""

    def test_chunks_of_any_size(self) -> None:
        """From single bytes to the whole stream at once."""
        stream = b''.join(map(msgspec.msgpack.encode, _MESSAGES))
        for size in (1, 2, 7, 64, len(stream)):
            chunks = [
                stream[begin : begin + size]
                for begin in range(0, len(stream), size)
            ]
            received = asyncio.run(_receive(chunks, len(_MESSAGES)))
            self.assertThat(received, matchers.Equals(list(_MESSAGES)))

    def test_invalid_message_is_rejected(self) -> None:
        """Malformed msgpack and well-formed values that are no message."""
        for invalid in (b'\xc1', msgspec.msgpack.encode({'a': 1}), b'\x01'):
            error = self.assertRaises(
                WireError,
                asyncio.run,
                _receive([invalid], 1),
            )
            self.assertThat(
                error.code,
                matchers.Equals(ResultCode.WIRE_MALFORMED),
            )


class TestServe(testtools.TestCase):
    """A listening process, and a peer that sends something and leaves."""

    def _codes(self, sent: bytes) -> list[ResultCode]:
        """Return the codes of the faults that were passed on."""
        return asyncio.run(_serve_once(sent))

    def test_unreadable_message_is_passed_on(self) -> None:
        """An operator can see that a peer speaks something else."""
        self.assertThat(
            self._codes(msgspec.msgpack.encode({'kind': 'unknown'})),
            matchers.Equals([ResultCode.WIRE_MALFORMED]),
        )

    def test_disconnected_peer_is_no_fault(self) -> None:
        """Peers come and go."""
        self.assertThat(
            self._codes(msgspec.msgpack.encode(_MESSAGES[0])),
            matchers.Equals([]),
        )


async def _serve_once(sent: bytes) -> list[ResultCode]:
    """Send bytes to a listening process, and return its faults."""
    codes: list[ResultCode] = []
    ended = asyncio.Event()

    async def receive(channel: Channel) -> None:  # noqa: WPS430 - a callback
        try:
            while True:
                await channel.receive()
        finally:
            asyncio.get_running_loop().call_soon(ended.set)

    name = free_addresses(1)[0]
    address = parse_address(name, 'peer')
    server = await serve(
        address, receive, lambda error: codes.append(error.code)
    )
    peer = await connect(address)
    peer._writer.write(sent)  # noqa: SLF001 - bytes that are no message
    await peer.drain()
    await peer.close()
    await ended.wait()
    server.close()
    return codes
