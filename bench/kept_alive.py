"""Drive closed-loop load on kept-alive connections to one entry."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools

from bench.cluster import Process

_HEAD_END = b'\r\n\r\n'
_PAUSE_S = 0.001


class KeptAliveCallers:
    """Callers that ignore readiness and refusals.

    Each sends its next request right after a response, so that some request
    is always in flight when the entry closes a connection.

    Parameters
    ----------
    entry
        Entry to call.
    service
        Service to call.
    """

    def __init__(self, entry: Process, service: str) -> None:
        """Prepare; nothing is sent yet."""
        host, _, port = entry.http.rpartition(':')
        self._host = host
        self._port = int(port)
        self._service = service
        self._numbers = itertools.count()
        #: How many requests ended in which way; ``lost`` are those that were
        #: sent and neither answered nor refused.
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def run(self, callers: int) -> None:
        """Call until connections are refused.

        Parameters
        ----------
        callers
            How many connections are used at once.
        """
        async with asyncio.TaskGroup() as group:
            for _ in range(callers):
                group.create_task(self._call_until_refused())

    async def _call_until_refused(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self._host,
                    self._port,
                )
            except OSError:
                self.outcomes['refused'] += 1
                return
            await self._call_until_closed(reader, writer)
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def _call_until_closed(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_open = True
        while is_open and not reader.at_eof():
            writer.write(self._request())
            try:
                outcome, is_open = await _read_answer(reader)
            except (OSError, EOFError):
                self.outcomes['lost'] += 1
                return
            self.outcomes[outcome] += 1
            await asyncio.sleep(_PAUSE_S)

    def _request(self) -> bytes:
        body = f'k{next(self._numbers)}'.encode()
        head = (
            f'POST /s/{self._service}/work HTTP/1.1\r\n'
            f'Host: {self._host}:{self._port}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body


async def _read_answer(reader: asyncio.StreamReader) -> tuple[str, bool]:
    head = await reader.readuntil(_HEAD_END)
    headers: dict[str, str] = {}
    for line in head.decode().split('\r\n')[1:]:
        name, _, text = line.partition(': ')
        headers[name.lower()] = text
    await reader.readexactly(int(headers.get('content-length', '0')))
    is_open = headers.get('connection', '').lower() != 'close'
    return headers.get('x-outcome', ''), is_open
