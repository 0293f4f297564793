"""Write to disk in a thread, with one sync for all queued writes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from concurrent import futures

import mode

from wigeonreach.agreement._raft_types import Write
from wigeonreach.agreement._storage import Storage
from wigeonreach.exceptions import StateError
from wigeonreach.observe import LogEvent, Logger

_RETRY_S = 1.0


class DiskWriter(mode.Service):
    """Passes writes to the storage in the order in which they are posted.

    Parameters
    ----------
    storage
        Storage to write to; nothing else may use it at the same time.
    on_synced
        Called with the number of the last write that is synced.
    on_failed
        Called if a sync failed, or if a partial write could not be undone; the
        process must then exit.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        storage: Storage,
        on_synced: Callable[[int], None],
        on_failed: Callable[[Exception], None],
        logger: Logger,
    ) -> None:
        """Create a writer; it writes once it is started."""
        super().__init__()
        self._storage = storage
        self._on_synced = on_synced
        self._on_failed = on_failed
        self._log = logger
        self._queue: list[Write] = []
        self._has_write = asyncio.Event()
        self._thread = futures.ThreadPoolExecutor(max_workers=1)

    async def on_shutdown(self) -> None:
        """Wait for the current write, as its files are closed after this."""
        await asyncio.to_thread(self._thread.shutdown)

    def post(self, writes: Sequence[Write]) -> None:
        """Queue writes."""
        if writes:
            self._queue.extend(writes)
            self._has_write.set()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            await self._has_write.wait()
            self._has_write.clear()
            batch = self._queue
            self._queue = []
            await self._write(batch)

    async def _write(self, batch: Sequence[Write]) -> None:
        while batch and not self.should_stop:
            try:
                await asyncio.get_running_loop().run_in_executor(
                    self._thread,
                    self._storage.write,
                    batch,
                )
            except StateError as error:
                self._on_failed(error)
                return
            except OSError as error:
                # Nothing of this batch was acknowledged, so it can be
                # retried; the other replicas continue in the meantime.
                self._log.warning(LogEvent.DISK_REFUSED, reason=str(error))
                await self.sleep(_RETRY_S)
            else:
                self._on_synced(batch[-1].number)
                return
