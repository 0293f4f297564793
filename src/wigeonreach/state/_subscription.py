"""Push new versions to one follower over its connection."""

from __future__ import annotations

import asyncio
from typing import Protocol

from wigeonreach.exceptions import WireError
from wigeonreach.rollout._copy import TextCopy
from wigeonreach.wire import Channel
from wigeonreach.wire._rollout_messages import (
    ConfigBeat,
    ConfigDelta,
    ConfigInForce,
    ConfigNeed,
    ConfigSections,
    Follow,
    FollowerStatus,
    Unfollow,
)

# Upper limit of the time until the end of a connection is noticed.
_POLL_INTERVAL_S = 1.0
_NO_ECHO_S = -1.0


class TextSource(Protocol):
    """Access of a subscription to the versions of its replica."""

    def newest(self) -> TextCopy:
        """Return the newest version."""

    def delta_from(self, version: int, checksum: int) -> ConfigDelta | None:
        """Return the delta from a version to the newest, if there is one."""

    def missing_sections(self, need: ConfigNeed) -> ConfigSections:
        """Return the sections that a follower lacks."""

    def confirmed_age_s(self) -> float:
        """Return seconds since a quorum confirmed; -1 if it never did."""

    async def wait_newer(self, version: int, timeout_s: float) -> None:
        """Wait for a newer version, at most ``timeout_s`` seconds."""

    def forget_process(self, process: str) -> None:
        """Unregister a process that has ended and will not come back."""


class Subscription:
    """Subscription of one follower: versions sent to it and in force there.

    Parameters
    ----------
    channel
        Connection to the follower.
    follow
        The request to follow, with the version that the follower holds.
    source
        Where versions come from.
    """

    def __init__(
        self,
        channel: Channel,
        follow: Follow,
        source: TextSource,
    ) -> None:
        """Create a subscription; nothing is sent before ``run``."""
        self._channel = channel
        self._source = source
        self._sent_version = follow.version
        self._sent_checksum = follow.checksum
        self._echo_s = _NO_ECHO_S
        self.status = FollowerStatus(
            follow.process,
            follow.zone,
            follow.version,
        )

    async def run(self) -> None:
        """Push new versions until the connection ends."""
        reader = asyncio.ensure_future(self._read())
        try:
            await self._push(reader)
        except OSError:
            return
        finally:
            reader.cancel()

    async def _push(self, reader: asyncio.Future[None]) -> None:
        while not reader.done():
            is_behind = self._sent_version < self._source.newest().version
            if is_behind:
                self._post_newest()
            await self._channel.drain()
            await self._source.wait_newer(self._sent_version, _POLL_INTERVAL_S)

    def _post_newest(self) -> None:
        newest = self._source.newest()
        delta = self._source.delta_from(self._sent_version, self._sent_checksum)
        self._sent_version = newest.version
        self._sent_checksum = newest.checksum
        if delta is None:
            # The follower then asks for the sections that it lacks.
            self._post_heartbeat()
        else:
            self._channel.post(delta)

    def _post_heartbeat(self) -> None:
        newest = self._source.newest()
        self._channel.post(
            ConfigBeat(
                newest.version,
                newest.checksum,
                self._source.confirmed_age_s(),
                self._echo_s,
            ),
        )

    async def _read(self) -> None:
        while True:
            try:
                message = await self._channel.receive()
            except WireError:
                return
            match message:
                case ConfigNeed():
                    self._channel.post(self._source.missing_sections(message))
                case ConfigInForce():
                    self._note_in_force(message)
                case Unfollow():
                    self._source.forget_process(message.process)

    def _note_in_force(self, message: ConfigInForce) -> None:
        self.status = FollowerStatus(
            self.status.process,
            self.status.zone,
            message.version,
        )
        self._echo_s = message.sent_s
        self._post_heartbeat()
