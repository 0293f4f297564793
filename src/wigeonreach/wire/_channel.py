"""Send and receive typed messages over one TCP connection."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator

import msgpack
import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.wire._address import Address
from wigeonreach.wire._base import WireMessage
from wigeonreach.wire._messages import Message

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_READ_BYTES = 64 * 1024
_MESSAGES: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
_CONNECT_TIMEOUT_S = 2.0
# A connection may go silent without a reset.  Bytes that are not acknowledged
# for so long, or two probes without an answer, end it: a silent peer is found
# within about 3 s, also where nothing is sent.
_UNACKNOWLEDGED_MS = 1500
_PROBE_AFTER_S = 1
_PROBES = 2


class Channel:
    """One connection to another process.

    Parameters
    ----------
    reader, writer
        The two halves of the TCP connection.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take the connection over."""
        self._reader = reader
        self._writer = writer
        _find_silence(writer.get_extra_info('socket'))
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_MESSAGE_BYTES)
        self._ready: collections.deque[Message] = collections.deque()
        # What arrived of messages that are not decoded yet.
        self._held = bytearray()
        self._decoded_bytes = 0
        self.sent_bytes = 0
        self.received_bytes = 0

    async def send(self, message: WireMessage) -> None:
        """Send one message and wait while the connection is congested."""
        self.post(message)
        await self.drain()

    def post(self, message: WireMessage) -> None:
        """Queue one message without waiting; a closed channel drops it."""
        if self._writer.is_closing():
            return
        encoded = msgspec.msgpack.encode(message)
        self.sent_bytes += len(encoded)
        self._writer.write(encoded)

    async def drain(self) -> None:
        """Wait while the connection is congested."""
        await self._writer.drain()

    async def receive(self) -> Message:
        """Return the next message.

        Raises
        ------
        WireError
            If the peer closed, or sent what can't be understood.
        """
        while not self._ready:
            chunk = await self._read_chunk()
            self.received_bytes += len(chunk)
            self._decode(chunk)
        return self._ready.popleft()

    async def request(self, message: WireMessage, timeout_s: float) -> Message:
        """Send one message and return the reply to it.

        Raises
        ------
        WireError
            If no reply came in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.send(message)
                return await self.receive()
        except (TimeoutError, OSError) as error:
            raise WireError(
                ResultCode.WIRE_UNREACHABLE,
                f'no reply: {error!r}',
            ) from error

    async def close(self) -> None:
        """Close the connection; errors of a dead peer are of no interest."""
        self._writer.close()
        with contextlib.suppress(OSError):
            await self._writer.wait_closed()

    def abort(self) -> None:
        """Drop the connection and what was not sent yet."""
        self._writer.transport.abort()

    async def _read_chunk(self) -> bytes:
        try:
            chunk = await self._reader.read(_READ_BYTES)
        except OSError as error:
            raise WireError(ResultCode.WIRE_UNREACHABLE, str(error)) from error
        if not chunk:
            raise WireError(ResultCode.WIRE_UNREACHABLE, 'the peer closed')
        return chunk

    def _decode(self, chunk: bytes) -> None:
        try:
            self._unpacker.feed(chunk)
        except msgpack.BufferFull as error:
            raise WireError(
                ResultCode.WIRE_TOO_LARGE,
                f'allowed: {MAX_MESSAGE_BYTES} bytes',
            ) from error
        self._held.extend(chunk)
        try:
            self._decode_whole()
        except (ValueError, msgpack.UnpackException) as error:
            raise WireError(ResultCode.WIRE_MALFORMED, str(error)) from error

    def _decode_whole(self) -> None:
        """Decode the messages that have arrived in full.

        The stream is only looked through for their ends: a decoder that is made
        once reads a message in a fraction of what it takes to build it from values.
        """
        begin = 0
        for end in self._ends():
            self._ready.append(_MESSAGES.decode(self._held[begin:end]))
            begin = end
        self._held = self._held[begin:]
        self._decoded_bytes += begin

    def _ends(self) -> Iterator[int]:
        """Yield where messages end in what is held."""
        while True:
            try:
                self._unpacker.skip()
            except msgpack.OutOfData:
                return
            yield self._unpacker.tell() - self._decoded_bytes


def _find_silence(connection: socket.socket | None) -> None:
    """Have the kernel end a connection on which nothing gets through."""
    if connection is None:
        return
    tcp = socket.IPPROTO_TCP
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_AFTER_S)
    connection.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_AFTER_S)
    connection.setsockopt(tcp, socket.TCP_KEEPCNT, _PROBES)
    connection.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)


async def connect(
    address: Address,
    timeout_s: float = _CONNECT_TIMEOUT_S,
) -> Channel:
    """Open a channel.

    Parameters
    ----------
    address
        Where the peer listens.
    timeout_s
        How long to wait for the connection, in seconds.

    Returns
    -------
    Channel
        The open channel.

    Raises
    ------
    WireError
        If the peer can't be reached in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                address.host,
                address.port,
            )
    except (OSError, TimeoutError) as error:
        raise WireError(
            ResultCode.WIRE_UNREACHABLE,
            f'{address}: {error!r}',
        ) from error
    return Channel(reader, writer)


async def serve(
    address: Address,
    on_channel: Callable[[Channel], Awaitable[None]],
) -> asyncio.Server:
    """Listen and run a coroutine for each channel that is opened.

    Parameters
    ----------
    address
        Where to listen.
    on_channel
        Called with each new channel; the channel is closed when it returns.

    Returns
    -------
    asyncio.Server
        The listening server.
    """

    async def accept(  # noqa: WPS430 - asyncio wants a callback of two streams
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        channel = Channel(reader, writer)
        try:
            await on_channel(channel)
        except (WireError, asyncio.CancelledError):
            # The peer went away, or this process ends.
            return
        finally:
            await channel.close()

    return await asyncio.start_server(accept, address.host, address.port)
