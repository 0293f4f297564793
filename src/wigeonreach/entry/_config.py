"""Follow the accepted text and keep the newest version in force."""

from __future__ import annotations

import mode

from wigeonreach.entry._settings import EntrySettings
from wigeonreach.exceptions import WireError
from wigeonreach.observe import LogEvent, Logger
from wigeonreach.text import FleetText, parse_fleet_text
from wigeonreach.wire import Member, connect
from wigeonreach.wire._config_messages import (
    ConfigAck,
    ConfigUpdate,
    Subscribe,
)

_RETRY_S = 0.2


class ConfigFollower(mode.Service):
    """Subscribe to the nearest replica that answers.

    Parameters
    ----------
    settings
        Who this entry is and where replicas are.
    logger
        Where events are logged.
    """

    def __init__(self, settings: EntrySettings, logger: Logger) -> None:
        """Start with no text in force."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self.version = 0
        self.text: FleetText | None = None

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            for replica in self._settings.replicas_nearest_first:
                await self._follow_one(replica)
            await self.sleep(_RETRY_S)

    async def _follow_one(self, replica: Member) -> None:
        try:
            await self._subscribe(replica)
        except WireError:
            self._log.warning(
                LogEvent.CONFIG_SOURCE_LOST,
                replica=replica.name,
            )

    async def _subscribe(self, replica: Member) -> None:
        channel = await connect(replica.address)
        settings = self._settings
        try:
            await channel.send(
                Subscribe(settings.name, settings.zone, self.version),
            )
            while not self.should_stop:
                message = await channel.receive()
                if isinstance(message, ConfigUpdate):
                    self._put_in_force(message)
                    await channel.send(ConfigAck(self.version))
        finally:
            await channel.close()

    def _put_in_force(self, update: ConfigUpdate) -> None:
        # An older version than the one in force is never acted on.
        if update.version <= self.version:
            return
        self.text = parse_fleet_text(update.text)
        self.version = update.version
        self._log.info(LogEvent.CONFIG_IN_FORCE, version=update.version)
