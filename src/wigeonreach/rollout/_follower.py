"""Track the configuration text of a follower and the health of its source.

A source is the replica or process from which a follower receives versions.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TypeAlias

from wigeonreach.exceptions import WireError
from wigeonreach.rollout._copy import (
    EMPTY_COPY,
    TextCopy,
    follow_delta,
    merge_sections,
)
from wigeonreach.wire._rollout_messages import (
    ConfigBeat,
    ConfigDelta,
    ConfigNeed,
    ConfigSections,
)


class SourceFault(enum.StrEnum):
    """Why a follower should switch to another source."""

    SILENT = 'silent'
    UNCONFIRMED = 'unconfirmed'
    BEHIND = 'behind'


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerLimits:
    """Time limits after which a follower switches sources, in seconds.

    ``silent_s`` is measured from the source's last message.  The others
    start when the source is chosen, since a healthy source needs some time
    to show that it is confirmed and up to date.
    """

    silent_s: float = 2.5
    unconfirmed_s: float = 3.0
    behind_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Put a newer copy in force; the follower already holds it."""

    copy: TextCopy


@dataclasses.dataclass(frozen=True, slots=True)
class SendNeed:
    """Ask the source for the sections that differ."""

    need: ConfigNeed


Effect: TypeAlias = Hold | SendNeed
SourceMessage: TypeAlias = ConfigBeat | ConfigDelta | ConfigSections
_NOTHING: tuple[Effect, ...] = ()


class Follower:
    """State of one follower: its copy, its freshness and its source.

    Parameters
    ----------
    limits
        Time limits after which the source counts as faulty.
    """

    def __init__(self, limits: FollowerLimits | None = None) -> None:
        """Start with the empty version and without a source."""
        self._limits = limits or FollowerLimits()
        self.held = EMPTY_COPY
        self._confirmed_s = -math.inf
        self._chosen_s = -math.inf
        self._heard_s = -math.inf
        self._source_version = 0
        self._source_confirmed_s = -math.inf

    def choose_source(self, now_s: float) -> None:
        """Start monitoring a newly chosen source.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.
        """
        self._chosen_s = now_s
        self._heard_s = now_s
        self._source_version = 0
        self._source_confirmed_s = -math.inf

    def confirmed_age_s(self, now_s: float) -> float:
        """Return seconds since the held copy was last confirmed the newest."""
        return now_s - self._confirmed_s

    def on_message(
        self,
        message: SourceMessage,
        now_s: float,
    ) -> tuple[Effect, ...]:
        """Handle a message of the source.

        Parameters
        ----------
        message
            The message.
        now_s
            Monotonic time in seconds.

        Returns
        -------
        tuple of Effect
            Actions for the caller, in order.
        """
        self._heard_s = now_s
        match message:
            case ConfigBeat():
                return self._on_beat(message)
            case ConfigDelta():
                return self._on_delta(message)
        return self._on_sections(message)

    def on_peer_sections(self, message: ConfigSections) -> tuple[Effect, ...]:
        """Install the copy of a peer in the same zone, if it is newer.

        Parameters
        ----------
        message
            The peer's answer.  One that no longer matches the held copy is
            ignored, since peers are asked repeatedly.

        Returns
        -------
        tuple of Effect
            Actions for the caller.
        """
        if message.version <= self.held.version:
            return _NOTHING
        try:
            return self._hold(merge_sections(self.held, message))
        except WireError:
            return _NOTHING

    def source_fault(self, now_s: float) -> SourceFault | None:
        """Return why the follower should switch to another source.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.

        Returns
        -------
        SourceFault or None
            The first fault found, or None if the source is healthy.
        """
        limits = self._limits
        watched_s = now_s - self._chosen_s
        if now_s - self._heard_s > limits.silent_s:
            return SourceFault.SILENT
        confirmed_s = max(self._source_confirmed_s, self._chosen_s)
        if now_s - confirmed_s > limits.unconfirmed_s:
            return SourceFault.UNCONFIRMED
        is_behind = self._source_version < self.held.version
        if is_behind and watched_s > limits.behind_s:
            return SourceFault.BEHIND
        return None

    def _on_beat(self, beat: ConfigBeat) -> tuple[Effect, ...]:
        self._source_version = beat.version
        if beat.confirmed_age_s >= 0 and beat.echo_s >= 0:
            # ``echo_s`` is the follower's own clock, returned by the source.
            # The arrival time would be wrong if the message was delayed.
            self._source_confirmed_s = beat.echo_s - beat.confirmed_age_s
        if beat.version < self.held.version:
            return _NOTHING
        if beat.checksum != self.held.checksum:
            return (SendNeed(self._need()),)
        if beat.version > self.held.version:
            # The same text under a newer version: nothing has to be sent.
            newer = dataclasses.replace(self.held, version=beat.version)
            return self._hold(newer)
        self._confirmed_s = max(self._confirmed_s, self._source_confirmed_s)
        return _NOTHING

    def _on_delta(self, delta: ConfigDelta) -> tuple[Effect, ...]:
        self._source_version = max(self._source_version, delta.version)
        if delta.version <= self.held.version:
            return _NOTHING
        try:
            return self._hold(follow_delta(self.held, delta))
        except WireError:
            return (SendNeed(self._need()),)

    def _on_sections(self, message: ConfigSections) -> tuple[Effect, ...]:
        self._source_version = max(self._source_version, message.version)
        if message.version < self.held.version:
            return _NOTHING
        try:
            return self._hold(merge_sections(self.held, message))
        except WireError:
            return (SendNeed(ConfigNeed(0, ())),)

    def _hold(self, copy: TextCopy) -> tuple[Effect, ...]:
        if copy == self.held:
            return _NOTHING
        self.held = copy
        return (Hold(copy),)

    def _need(self) -> ConfigNeed:
        return ConfigNeed(self.held.version, self.held.digests())
