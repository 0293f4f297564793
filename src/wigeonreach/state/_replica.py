"""Run one replica of the replicated state."""

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
from wigeonreach.state._machine import Machine
from wigeonreach.state._request_handler import RequestHandler
from wigeonreach.wire import Channel, serve
from wigeonreach.wire._raft_messages import (
    LinkEcho,
    LinkProbe,
    RaftMessage,
)


class Replica(mode.Service):
    """One replica: takes part in the consensus and serves clients.

    Parameters
    ----------
    settings
        Name, addresses and data folder of this replica.
    logger
        Where events are logged.
    """

    def __init__(self, settings: ReplicaSettings, logger: Logger) -> None:
        """Open the data folder; nothing is served until it is started."""
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
            self._exit_on_failure,
            logger,
        )
        self._request_handler = RequestHandler(
            settings, self._agreement, machine, logger
        )
        self._server: asyncio.Server | None = None

    async def on_start(self) -> None:
        """Join the other replicas and start to listen."""
        await self.add_runtime_dependency(self._agreement)
        await self.add_runtime_dependency(self._request_handler)
        self._server = await serve(
            self._settings.listen,
            self._on_channel,
            self._log.message_unreadable,
        )

    async def drain(self) -> None:
        """Do nothing, since each acknowledged change is already synced."""

    async def on_stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def on_shutdown(self) -> None:
        """Close the data folder, after the last write to it has finished."""
        self._disk.close()

    async def _on_channel(self, channel: Channel) -> None:
        while True:
            message = await channel.receive()
            if isinstance(message, RaftMessage):
                self._agreement.receive(message)
            elif isinstance(message, LinkProbe):
                channel.post(LinkEcho())
            else:
                await self._request_handler.handle(channel, message)

    def _exit_on_failure(self, error: Exception) -> None:
        # After a failed sync the state in memory may not be on disk, so the
        # process ends at once, without answering pending requests.
        self._log.warning(LogEvent.REPLICA_FAILED, reason=repr(error))
        os._exit(ExitCode.FAILED)  # noqa: SLF001, WPS437
