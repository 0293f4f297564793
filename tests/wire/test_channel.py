"""Test that messages arrive whole, however the stream is cut into pieces."""

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

_SENT = (
    CoreHello('entry-1'),
    CoreNotice('core-1', ('core-1', 'core-2'), 7, 3),
    CoreHello('x' * 300),
)


def _channel(reader: asyncio.StreamReader) -> Channel:
    writer = mock.Mock()
    writer.get_extra_info.return_value = None
    return Channel(reader, writer)


async def _receive(pieces: list[bytes], count: int) -> list[object]:
    reader = asyncio.StreamReader()
    channel = _channel(reader)
    waiting = asyncio.create_task(_receive_all(channel, count))
    for piece in pieces:
        reader.feed_data(piece)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    return await waiting


async def _receive_all(channel: Channel, count: int) -> list[object]:
    return [await channel.receive() for _ in range(count)]


class TestChannel(testtools.TestCase):
    """The receiving half."""

    def test_pieces_of_any_size(self) -> None:
        """Byte by byte, all at once, and anything between."""
        stream = b''.join(map(msgspec.msgpack.encode, _SENT))
        for size in (1, 2, 7, 64, len(stream)):
            pieces = [
                stream[begin : begin + size]
                for begin in range(0, len(stream), size)
            ]
            received = asyncio.run(_receive(pieces, len(_SENT)))
            self.assertThat(received, matchers.Equals(list(_SENT)))

    def test_what_is_no_message(self) -> None:
        """It is refused, whether it is well formed or not."""
        for wrong in (b'\xc1', msgspec.msgpack.encode({'a': 1}), b'\x01'):
            error = self.assertRaises(
                WireError,
                asyncio.run,
                _receive([wrong], 1),
            )
            self.assertThat(
                error.code,
                matchers.Equals(ResultCode.WIRE_MALFORMED),
            )
