"""Follow the accepted text and keep the newest version in force."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Sequence
from typing import Protocol

import mode

from wigeonreach.exceptions import FleetTextError, WireError
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.rollout._copy import TextCopy
from wigeonreach.rollout._follower import Effect, Follower, Hold
from wigeonreach.text import FleetText, TextReader
from wigeonreach.wire import Channel, Member, connect
from wigeonreach.wire._rollout_messages import (
    ConfigBeat,
    ConfigDelta,
    ConfigInForce,
    ConfigSections,
    Follow,
    Unfollow,
)

_RETRY_S = 0.2
_BEAT_S = 1.0
_START_BEAT_S = 0.25
# How long a farther replica is followed before the near one is tried again.
_RETURN_S = 5.0
# Reading a text may take this part of a core; a large text that changes
# often is read less often, and never later than the longest pause.
_PARSE_RATIO = 0.02
_LONGEST_PAUSE_S = 2.0


class FollowerSettings(Protocol):
    """What the follower needs to know of its process."""

    @property
    def name(self) -> str:
        """Name of the process."""

    @property
    def zone(self) -> str:
        """Its availability zone."""

    @property
    def replicas_nearest_first(self) -> Sequence[Member]:
        """The replicas, those of the own zone first."""


class ConfigFollower(mode.Service):
    """Follow the nearest replica that is in touch with a quorum.

    Parameters
    ----------
    settings
        Who this process is and where replicas are.
    metrics
        Counters of each reason to leave a replica.
    logger
        Where events are logged.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Start with no text in force."""
        super().__init__()
        self._settings = settings
        self._metrics = metrics
        self._log = logger
        self._started_s = time.monotonic()
        self._pause_ends_s = -math.inf
        self._moved = asyncio.Event()
        self._pending: TextCopy | None = None
        self._channel: Channel | None = None
        self._have_peers_told = False
        self._reader = TextReader()
        self.follower = Follower()
        self.version = 0
        self.text: FleetText | None = None

    @property
    def confirmed_age_s(self) -> float:
        """How long ago the version held was known to be the newest."""
        return self.follower.confirmed_age_s(time.monotonic())

    @property
    def has_caught_up(self) -> bool:
        """Whether the copy held may be put in force.

        A quorum has confirmed it since this process was started or, cut off
        from that, every reachable peer of the zone told what it has.
        """
        running_s = time.monotonic() - self._started_s
        return self.confirmed_age_s <= running_s or self._have_peers_told

    def take(self, effects: tuple[Effect, ...]) -> None:
        """Do what the follower decided on a copy from anywhere."""
        for effect in effects:
            if isinstance(effect, Hold):
                self._pending = effect.copy
            elif self._channel is not None:
                self._channel.post(effect.need)
        self._moved.set()

    def note_peers_told(self) -> None:
        """Note that every reachable peer of the zone told what it has."""
        self._have_peers_told = True
        self._moved.set()

    async def wait_version(self, version: int, timeout_s: float) -> bool:
        """Wait until a version, or a newer one, is in force.

        Parameters
        ----------
        version
            The lowest version to wait for.
        timeout_s
            How long to wait at most, in seconds.

        Returns
        -------
        bool
            Whether it is.
        """
        ends_s = time.monotonic() + timeout_s
        while self.version < version and time.monotonic() < ends_s:
            await asyncio.sleep(min(_RETRY_S, timeout_s))
        return self.version >= version

    async def leave(self) -> None:
        """Tell the replica that this process ends for good."""
        if self._channel is not None:
            self._channel.post(Unfollow(self._settings.name))

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            for replica in self._settings.replicas_nearest_first:
                if await self._follow_one(replica):
                    break
            await self.sleep(_RETRY_S)

    @mode.Service.task
    async def _put_in_force(self) -> None:
        while not self.should_stop:
            await self._moved.wait()
            self._moved.clear()
            await self.sleep(max(0, self._pause_ends_s - time.monotonic()))
            if self._pending is not None and self.has_caught_up:
                self._read(self._pending)

    async def _follow_one(self, replica: Member) -> bool:
        """Follow until there is a reason to leave.

        Returns
        -------
        bool
            Whether the replica is sound and only a nearer one is to be tried.
        """
        try:
            return await self._talk(replica)
        except WireError as error:
            self._note_lost(replica, 'unreachable', error.detail)
        return False

    async def _talk(self, replica: Member) -> bool:
        channel = await connect(replica.address)
        self.follower.choose_source(time.monotonic())
        held = self.follower.held
        settings = self._settings
        channel.post(
            Follow(settings.name, settings.zone, held.version, held.checksum),
        )
        self._channel = channel
        receiving = asyncio.ensure_future(self._receive(channel))
        try:
            return await self._watch(replica, receiving)
        finally:
            receiving.cancel()
            await self._hang_up(channel)

    async def _hang_up(self, channel: Channel) -> None:
        self._channel = None
        await channel.close()

    async def _watch(
        self,
        replica: Member,
        receiving: asyncio.Future[None],
    ) -> bool:
        chosen_s = time.monotonic()
        is_near = replica.zone == self._settings.zone
        while not self.should_stop:
            self._tell_in_force()
            beat_s = _BEAT_S if self.has_caught_up else _START_BEAT_S
            await asyncio.wait((receiving,), timeout=beat_s)
            if receiving.done():
                receiving.result()
            now_s = time.monotonic()
            fault = self.follower.source_fault(now_s)
            if fault is not None:
                self._note_lost(replica, fault.value, '')
                return False
            if not is_near and now_s - chosen_s > _RETURN_S:
                return True
        return False

    async def _receive(self, channel: Channel) -> None:
        while True:
            message = await channel.receive()
            if isinstance(message, (ConfigBeat, ConfigDelta, ConfigSections)):
                now_s = time.monotonic()
                self.take(self.follower.on_message(message, now_s))

    def _tell_in_force(self) -> None:
        if self._channel is not None:
            now_s = time.monotonic()
            self._channel.post(ConfigInForce(self.version, now_s))

    def _note_lost(self, replica: Member, reason: str, detail: str) -> None:
        self._metrics.count('config_sources_left', reason)
        self._log.warning(
            LogEvent.CONFIG_SOURCE_LOST,
            replica=replica.name,
            reason=reason,
            detail=detail,
        )

    def _read(self, copy: TextCopy) -> None:
        self._pending = None
        started_s = time.monotonic()
        try:
            text = self._reader.read(copy.text)
        except FleetTextError as error:
            # A newer release accepted it: go on with what can be read.
            self._log.warning(
                LogEvent.CONFIG_UNREADABLE,
                version=copy.version,
                reason=str(error),
            )
            return
        ended_s = time.monotonic()
        pause_s = (ended_s - started_s) / _PARSE_RATIO
        self._pause_ends_s = ended_s + min(pause_s, _LONGEST_PAUSE_S)
        self.text = text
        self.version = copy.version
        self._log.info(LogEvent.CONFIG_IN_FORCE, version=copy.version)
        self._tell_in_force()
