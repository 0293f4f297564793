"""Push versions to one follower over its channel."""

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

# How soon the end of a channel is noticed.
_LOOK_S = 1.0
_NEVER_S = -1.0


class TextSource(Protocol):
    """What a subscription needs of its replica."""

    def newest(self) -> TextCopy:
        """Return the newest copy."""

    def step(self, version: int, checksum: int) -> ConfigDelta | None:
        """Return the step from a version to the newest."""

    def missing(self, need: ConfigNeed) -> ConfigSections:
        """Return the sections that a follower lacks."""

    def confirmed_age_s(self) -> float:
        """Return how long ago a quorum confirmed the newest copy."""

    async def wait_newer(self, version: int, timeout_s: float) -> None:
        """Wait for a newer version, but no longer than the timeout."""

    def forget(self, process: str) -> None:
        """Note that a process ended for good."""


class Subscription:
    """One follower: what it was sent and what it acts on.

    Parameters
    ----------
    channel
        The connection to it.
    follow
        What it holds to begin with.
    source
        Where versions come from.
    """

    def __init__(
        self,
        channel: Channel,
        follow: Follow,
        source: TextSource,
    ) -> None:
        """Send nothing yet."""
        self._channel = channel
        self._source = source
        self._sent_version = follow.version
        self._sent_checksum = follow.checksum
        self._echo_s = _NEVER_S
        self.status = FollowerStatus(
            follow.process,
            follow.zone,
            follow.version,
        )

    async def run(self) -> None:
        """Push until the channel ends."""
        reading = asyncio.ensure_future(self._read())
        try:
            await self._push(reading)
        except OSError:
            return
        finally:
            reading.cancel()

    async def _push(self, reading: asyncio.Future[None]) -> None:
        while not reading.done():
            is_behind = self._sent_version < self._source.newest().version
            if is_behind:
                self._post_newest()
            await self._channel.drain()
            await self._source.wait_newer(self._sent_version, _LOOK_S)

    def _post_newest(self) -> None:
        newest = self._source.newest()
        step = self._source.step(self._sent_version, self._sent_checksum)
        self._sent_version = newest.version
        self._sent_checksum = newest.checksum
        if step is None:
            # The follower answers this with what it holds.
            self._post_beat()
        else:
            self._channel.post(step)

    def _post_beat(self) -> None:
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
                    self._channel.post(self._source.missing(message))
                case ConfigInForce():
                    self._note_in_force(message)
                case Unfollow():
                    self._source.forget(message.process)

    def _note_in_force(self, message: ConfigInForce) -> None:
        self.status = FollowerStatus(
            self.status.process,
            self.status.zone,
            message.version,
        )
        self._echo_s = message.sent_s
        self._post_beat()
