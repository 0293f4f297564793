"""Follow the accepted configuration and activate its newest version."""

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
_REPORT_INTERVAL_S = 1.0
_STARTUP_REPORT_INTERVAL_S = 0.25
# How long a replica of another zone is followed before nearer replicas are
# tried again.
_RETRY_NEAREST_S = 5.0
# Parsing may use this fraction of a core.  A large configuration that changes
# often is parsed less often, but at least once per maximum pause.
_PARSE_CPU_RATIO = 0.02
_MAX_PARSE_PAUSE_S = 2.0


class FollowerSettings(Protocol):
    """Settings that the follower requires of its process."""

    @property
    def name(self) -> str:
        """Name of the process."""

    @property
    def zone(self) -> str:
        """Availability zone of the process."""

    @property
    def replicas_nearest_first(self) -> Sequence[Member]:
        """The replicas, those of the same zone first."""


class ConfigFollower(mode.Service):
    """Follows the nearest replica that is in contact with a quorum.

    Parameters
    ----------
    settings
        Name and zone of this process, and the replicas.
    metrics
        Counters of the reasons for leaving a replica.
    logger
        Log for activated versions and lost replicas.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Start without an active configuration."""
        super().__init__()
        self._settings = settings
        self._metrics = metrics
        self._log = logger
        self._started_s = time.monotonic()
        self._next_parse_s = -math.inf
        self._copy_changed = asyncio.Event()
        self._pending: TextCopy | None = None
        self._channel: Channel | None = None
        self._have_peers_replied = False
        self._reader = TextReader()
        self.follower = Follower()
        self.version = 0
        self.text: FleetText | None = None

    @property
    def confirmed_age_s(self) -> float:
        """Time since the held version was last confirmed as newest, in seconds."""
        return self.follower.confirmed_age_s(time.monotonic())

    @property
    def has_caught_up(self) -> bool:
        """Whether the held copy may be activated.

        It may once a quorum has confirmed it since this process started.
        Without contact to a quorum, it may once every reachable peer of the
        zone has had the time to send its copy.
        """
        running_s = time.monotonic() - self._started_s
        return self.confirmed_age_s <= running_s or self._have_peers_replied

    def apply(self, effects: tuple[Effect, ...]) -> None:
        """Apply the follower's effects of a message from a replica or a peer."""
        for effect in effects:
            if isinstance(effect, Hold):
                self._pending = effect.copy
            elif self._channel is not None:
                self._channel.post(effect.need)
        self._copy_changed.set()

    def note_peers_replied(self) -> None:
        """Record that reachable peers of the zone had time to send their copies."""
        self._have_peers_replied = True
        self._copy_changed.set()

    async def wait_version(self, version: int, timeout_s: float) -> bool:
        """Wait until a version, or a newer one, is active.

        Parameters
        ----------
        version
            Minimum version to wait for.
        timeout_s
            Maximum time to wait, in seconds.

        Returns
        -------
        bool
            Whether it became active in time.
        """
        ends_s = time.monotonic() + timeout_s
        while self.version < version and time.monotonic() < ends_s:
            await asyncio.sleep(min(_RETRY_S, timeout_s))
        return self.version >= version

    async def leave(self) -> None:
        """Tell the replica that this process is shutting down permanently."""
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
    async def _activate_pending(self) -> None:
        while not self.should_stop:
            await self._copy_changed.wait()
            self._copy_changed.clear()
            await self.sleep(max(0, self._next_parse_s - time.monotonic()))
            if self._pending is not None and self.has_caught_up:
                self._parse(self._pending)

    async def _follow_one(self, replica: Member) -> bool:
        """Follow a replica until it fails or nearer ones should be tried.

        Returns
        -------
        bool
            Whether the replica still works and nearer ones should be tried.
        """
        try:
            return await self._follow_on_channel(replica)
        except WireError as error:
            self._log_source_lost(replica, 'unreachable', error.detail)
        return False

    async def _follow_on_channel(self, replica: Member) -> bool:
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
            return await self._monitor(replica, receiving)
        finally:
            receiving.cancel()
            await self._close_channel(channel)

    async def _close_channel(self, channel: Channel) -> None:
        self._channel = None
        await channel.close()

    async def _monitor(
        self,
        replica: Member,
        receiving: asyncio.Future[None],
    ) -> bool:
        connected_s = time.monotonic()
        is_same_zone = replica.zone == self._settings.zone
        while not self.should_stop:
            self._report_version()
            interval_s = (
                _REPORT_INTERVAL_S
                if self.has_caught_up
                else _STARTUP_REPORT_INTERVAL_S
            )
            await asyncio.wait((receiving,), timeout=interval_s)
            if receiving.done():
                receiving.result()
            now_s = time.monotonic()
            fault = self.follower.source_fault(now_s)
            if fault is not None:
                self._log_source_lost(replica, fault.value, '')
                return False
            if not is_same_zone and now_s - connected_s > _RETRY_NEAREST_S:
                return True
        return False

    async def _receive(self, channel: Channel) -> None:
        while True:
            message = await channel.receive()
            if isinstance(message, (ConfigBeat, ConfigDelta, ConfigSections)):
                now_s = time.monotonic()
                self.apply(self.follower.on_message(message, now_s))

    def _report_version(self) -> None:
        if self._channel is not None:
            now_s = time.monotonic()
            self._channel.post(ConfigInForce(self.version, now_s))

    def _log_source_lost(
        self, replica: Member, reason: str, detail: str
    ) -> None:
        self._metrics.count('config_sources_left', reason)
        self._log.warning(
            LogEvent.CONFIG_SOURCE_LOST,
            replica=replica.name,
            reason=reason,
            detail=detail,
        )

    def _parse(self, copy: TextCopy) -> None:
        self._pending = None
        started_s = time.monotonic()
        try:
            text = self._reader.read(copy.text)
        except FleetTextError as error:
            # A newer release accepted this text.  Keep the last version that this
            # release can parse.
            self._log.warning(
                LogEvent.CONFIG_UNREADABLE,
                version=copy.version,
                reason=str(error),
            )
            return
        ended_s = time.monotonic()
        pause_s = (ended_s - started_s) / _PARSE_CPU_RATIO
        self._next_parse_s = ended_s + min(pause_s, _MAX_PARSE_PAUSE_S)
        self.text = text
        self.version = copy.version
        self._log.info(LogEvent.CONFIG_IN_FORCE, version=copy.version)
        self._report_version()
