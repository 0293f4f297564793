"""Relay TCP connections that can be cut, delayed or cut one way."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import threading
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

_HOST = '127.0.0.1'
_CHUNK_BYTES = 64 * 1024
_CUT_POLL_S = 0.02
_Reply = TypeVar('_Reply')


@dataclasses.dataclass(slots=True)
class Link:
    """One directed link: connections that ``source`` opens to ``target``.

    A cut holds bytes back without closing, as a silent network partition
    does: neither side learns of it before its own timeout.
    """

    source: str
    target: str
    address: str
    forward_cut: bool = False
    backward_cut: bool = False
    delay_s: float = 0
    passed_bytes: int = 0
    open_connections: list[_Connection] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class _Connection:
    """One relayed connection: its writers to the source and the target."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    is_silent: bool = False


# Returns the name of the source of a connection, given its first bytes.
SourceOf = Callable[[bytes], str]


class Relay:
    """All relayed links of a fleet, served by a thread of this process."""

    def __init__(self) -> None:
        """Start the thread."""
        self._links: list[Link] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            daemon=True,
        )
        self._thread.start()

    def add(self, source: str, target: str, address: str) -> str:
        """Add a link and return the address that the source shall use.

        Parameters
        ----------
        source, target
            Names of the two processes.
        address
            Where the target really listens.

        Returns
        -------
        str
            Address of the relay for this link.
        """
        link = Link(source, target, address)
        self._links.append(link)
        return self._call(self._listen(link))

    def share(self, target: str, address: str, source_of: SourceOf) -> str:
        """Listen for all sources of a target, identified by their first bytes.

        Parameters
        ----------
        target, address
            Name of the process and where it really listens.
        source_of
            Returns the name of the source, given the first bytes it sent.

        Returns
        -------
        str
            Address of the relay for this target.
        """
        return self._call(self._listen_shared(target, address, source_of))

    def link(self, source: str, target: str, address: str) -> Link:
        """Return the link between two processes, created if missing."""
        for known in self._links:
            if (known.source, known.target) == (source, target):
                known.address = address
                return known
        made = Link(source, target, address)
        self._links.append(made)
        return made

    def reset(self, chosen: Callable[[Link], bool]) -> None:
        """Abort all open connections of the chosen links."""
        self._loop.call_soon_threadsafe(self._reset, list(self._links), chosen)

    def silence(self, chosen: Callable[[Link], bool]) -> None:
        """Block all open connections of the chosen links, but no new ones."""
        for link in filter(chosen, self._links):
            for end in link.open_connections:
                end.is_silent = True

    def cut(self, chosen: Callable[[Link], bool]) -> None:
        """Hold back both directions of the chosen links."""
        for link in filter(chosen, self._links):
            link.forward_cut = True
            link.backward_cut = True

    def cut_forward(self, chosen: Callable[[Link], bool]) -> None:
        """Hold back what the sources of the chosen links send."""
        for link in filter(chosen, self._links):
            link.forward_cut = True

    def cut_one_way(self, source: str, target: str) -> None:
        """Hold back what ``source`` sends to ``target``, not the reverse."""
        for link in self._links:
            if (link.source, link.target) == (source, target):
                link.forward_cut = True
            elif (link.target, link.source) == (source, target):
                link.backward_cut = True

    def cut_between(self, left: set[str], right: set[str]) -> None:
        """Hold back everything between two groups of processes."""
        self.cut(
            lambda link: (
                (link.source in left and link.target in right)
                or (link.source in right and link.target in left)
            ),
        )

    def delay(self, chosen: Callable[[Link], bool], delay_s: float) -> None:
        """Delay each chunk on the chosen links."""
        for link in filter(chosen, self._links):
            link.delay_s = delay_s

    def heal(self) -> None:
        """Remove all cuts and delays; bytes held back are then delivered."""
        for link in self._links:
            link.forward_cut = False
            link.backward_cut = False
            link.delay_s = 0

    def passed_bytes(self, chosen: Callable[[Link], bool]) -> int:
        """Return how many bytes the chosen links carried, both ways."""
        return sum(link.passed_bytes for link in filter(chosen, self._links))

    def close(self) -> None:
        """End all connections and stop the thread."""
        self._call(_cancel_others())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _call(self, work: Coroutine[Any, Any, _Reply]) -> _Reply:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _listen(self, link: Link) -> str:
        return await _listen_at(
            lambda reader, writer: self._accept(link, reader, writer, b''),
        )

    async def _listen_shared(
        self,
        target: str,
        address: str,
        source_of: SourceOf,
    ) -> str:
        async def accept(  # noqa: WPS430 - asyncio wants a callback
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            # The relay may be closed before any byte arrives.
            with contextlib.suppress(asyncio.CancelledError, OSError):
                first = await reader.read(_CHUNK_BYTES)
                link = self.link(source_of(first), target, address)
                await self._accept(link, reader, writer, first)

        return await _listen_at(accept)

    def _reset(
        self,
        links: list[Link],
        chosen: Callable[[Link], bool],
    ) -> None:
        for link in filter(chosen, links):
            for end in link.open_connections:
                for writer in end.writers:
                    writer.transport.abort()

    async def _accept(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: bytes,
    ) -> None:
        host, _, port = link.address.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host,
                int(port),
            )
        except OSError:
            writer.close()
            return
        end = _Connection((writer, far_writer))
        link.open_connections.append(end)
        way = _Direction(link, end, lambda: link.forward_cut)
        way_back = _Direction(link, end, lambda: link.backward_cut)
        # The relay may be closed while connections are open.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                _pump(reader, far_writer, way, first),
                _pump(far_reader, writer, way_back, b''),
            )
        link.open_connections.remove(end)


async def _listen_at(
    accept: Callable[
        [asyncio.StreamReader, asyncio.StreamWriter],
        Coroutine[Any, Any, None],
    ],
) -> str:
    server = await asyncio.start_server(accept, _HOST, 0)
    port = server.sockets[0].getsockname()[1]
    return f'{_HOST}:{port}'


async def _cancel_others() -> None:
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


@dataclasses.dataclass(frozen=True, slots=True)
class _Direction:
    """One direction of one connection."""

    link: Link
    end: _Connection
    is_cut: Callable[[], bool]

    async def wait_until_open(self) -> None:
        """Apply the delay, then wait while the direction is blocked."""
        if self.link.delay_s:
            await asyncio.sleep(self.link.delay_s)
        while self.end.is_silent or self.is_cut():
            await asyncio.sleep(_CUT_POLL_S)


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    way: _Direction,
    first: bytes,
) -> None:
    with contextlib.suppress(OSError):
        chunk = first or await reader.read(_CHUNK_BYTES)
        while True:
            await way.wait_until_open()
            if not chunk:
                break
            writer.write(chunk)
            way.link.passed_bytes += len(chunk)
            await writer.drain()
            chunk = await reader.read(_CHUNK_BYTES)
    writer.close()
