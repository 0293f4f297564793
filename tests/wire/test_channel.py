"""Test that messages are decoded however the stream is split into chunks."""

from __future__ import annotations

import asyncio
from unittest import mock

import msgspec
import testtools
from testtools import matchers

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.wire import Channel
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
