"""Write a record to a quorum of synced files, as a baseline for keys."""

from __future__ import annotations

import asyncio
import os
import pathlib

_HOST = '127.0.0.1'
_RECORD = b'key and fingerprint of one request padded to some bytes......\n'
_ACK = b'.'
_END_S = 0.1


class QuorumLog:
    """Three small servers, each syncing its file before it acknowledges.

    Parameters
    ----------
    folder
        Folder for the files.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Choose the file names without starting the servers."""
        self._files = [folder / f'quorum-{number}.log' for number in range(3)]
        self._links: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
        self._links = []
        self._rest: list[asyncio.Future[None]] = []
        self._servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Start the servers and connect to each."""
        for path in self._files:
            server = await asyncio.start_server(_SyncedFile(path), _HOST, 0)
            port = server.sockets[0].getsockname()[1]
            self._servers.append(server)
            self._links.append(await asyncio.open_connection(_HOST, port))

    async def append(self) -> None:
        """Return once two of three have synced a record."""
        waiting = [
            asyncio.ensure_future(_append(*link)) for link in self._links
        ]
        first = asyncio.as_completed(waiting)
        await next(first)
        await next(first)
        self._rest.extend(one for one in waiting if not one.done())

    async def settle(self) -> None:
        """Wait for the slowest servers, so that no record overtakes another."""
        await asyncio.gather(*self._rest)
        self._rest.clear()

    async def close(self) -> None:
        """Close every connection and server."""
        for _, writer in self._links:
            writer.close()
        for server in self._servers:
            server.close()
        # Lets the servers' tasks notice that their connections were closed.
        await asyncio.sleep(_END_S)


async def _append(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(_RECORD)
    await reader.readexactly(1)


class _SyncedFile:
    def __init__(self, path: pathlib.Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o600)

    async def __call__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while await reader.read(len(_RECORD)):
            await asyncio.to_thread(self._sync)
            writer.write(_ACK)
        writer.close()

    def _sync(self) -> None:
        os.write(self._descriptor, _RECORD)
        os.fsync(self._descriptor)
