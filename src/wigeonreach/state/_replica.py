"""Serve one replica of the durable state."""

from __future__ import annotations

import asyncio
import os

import mode

from wigeonreach.agreement import (
    FolderDisk,
    RaftAgreement,
    ReplicaSettings,
    Storage,
    open_storage,
)
from wigeonreach.codes import ExitCode
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.state._front import Front
from wigeonreach.state._machine import Machine
from wigeonreach.wire import Channel, serve
from wigeonreach.wire._raft_messages import (
    LinkEcho,
    LinkProbe,
    RaftMessage,
)


class Replica(mode.Service):
    """Agree with the other replicas, and let the front serve everybody else.

    Parameters
    ----------
    settings
        Who this replica is.
    logger
        Where events are logged.
    """

    def __init__(self, settings: ReplicaSettings, logger: Logger) -> None:
        """Open the data folder; nothing is served before ``start``."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self._disk = FolderDisk(settings.data_folder)
        storage = Storage(self._disk)
        has_peers = len(settings.members) > 1
        stored = open_storage(storage, has_peers, logger)
        machine = Machine()
        self._agreement = RaftAgreement(
            settings,
            machine,
            storage,
            stored,
            self._leave,
            logger,
        )
        self._front = Front(settings, self._agreement, machine, logger)
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Listen and take part in the agreement."""
        await self.add_runtime_dependency(self._agreement)
        await self.add_runtime_dependency(self._front)
        self._server = await serve(self._settings.listen, self._on_channel)

    async def drain(self) -> None:
        """Do nothing: each acknowledged change is synced already."""

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def on_shutdown(self) -> None:
        """Give the data folder up, once nothing writes to it any more."""
        self._disk.close()

    async def _on_channel(self, channel: Channel) -> None:
        while True:
            message = await channel.receive()
            if isinstance(message, RaftMessage):
                self._agreement.receive(message)
            elif isinstance(message, LinkProbe):
                channel.post(LinkEcho())
            else:
                await self._front.handle(channel, message)

    def _leave(self, error: Exception) -> None:
        # After a failed sync nothing in memory may be told to anybody.
        self._log.warning(LogEvent.REPLICA_FAILED, reason=repr(error))
        os._exit(ExitCode.FAILED)  # noqa: SLF001, WPS437
