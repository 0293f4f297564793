"""Decide what a follower does with what its source sends."""

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
    """Why a source should be left for another one."""

    SILENT = 'silent'
    UNCONFIRMED = 'unconfirmed'
    BEHIND = 'behind'


@dataclasses.dataclass(frozen=True, slots=True)
class FollowerLimits:
    """When a source is left, in seconds.

    ``silent_s`` counts from its last message, the others from when the
    source was chosen: a healthy one needs a moment to show that it is.
    """

    silent_s: float = 2.5
    unconfirmed_s: float = 3.0
    behind_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Keep a newer copy and put it in force."""

    copy: TextCopy


@dataclasses.dataclass(frozen=True, slots=True)
class SendNeed:
    """Ask the source for what differs."""

    need: ConfigNeed


Effect: TypeAlias = Hold | SendNeed
SourceMessage: TypeAlias = ConfigBeat | ConfigDelta | ConfigSections
_NOTHING: tuple[Effect, ...] = ()


class Follower:
    """The copy held, how fresh it is, and how the source behaves.

    Parameters
    ----------
    limits
        When a source is left.
    """

    def __init__(self, limits: FollowerLimits | None = None) -> None:
        """Hold nothing yet."""
        self._limits = limits or FollowerLimits()
        self.held = EMPTY_COPY
        self._confirmed_s = -math.inf
        self._chosen_s = -math.inf
        self._heard_s = -math.inf
        self._source_version = 0
        self._source_confirmed_s = -math.inf

    def choose_source(self, now_s: float) -> None:
        """Begin to judge a new source."""
        self._chosen_s = now_s
        self._heard_s = now_s
        self._source_version = 0
        self._source_confirmed_s = -math.inf

    def confirmed_age_s(self, now_s: float) -> float:
        """Return how long ago the copy held was known to be the newest."""
        return now_s - self._confirmed_s

    def on_message(
        self,
        message: SourceMessage,
        now_s: float,
    ) -> tuple[Effect, ...]:
        """Take one message of the source.

        Parameters
        ----------
        message
            The message.
        now_s
            Monotonic time in seconds.

        Returns
        -------
        tuple of Effect
            What to do, in order.
        """
        self._heard_s = now_s
        match message:
            case ConfigBeat():
                return self._on_beat(message)
            case ConfigDelta():
                return self._on_delta(message)
        return self._on_sections(message)

    def on_peer_sections(self, message: ConfigSections) -> tuple[Effect, ...]:
        """Take what a peer of the zone holds, if it is newer.

        Parameters
        ----------
        message
            The peer's answer; one that does not fit any more is ignored,
            since a peer is asked again and again.

        Returns
        -------
        tuple of Effect
            What to do.
        """
        if message.version <= self.held.version:
            return _NOTHING
        try:
            return self._hold(merge_sections(self.held, message))
        except WireError:
            return _NOTHING

    def source_fault(self, now_s: float) -> SourceFault | None:
        """Return why the source should be left, or None.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.

        Returns
        -------
        SourceFault or None
            The first fault found.
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
            # Not counted from the arrival: a beat may be held up for long.
            self._source_confirmed_s = beat.echo_s - beat.confirmed_age_s
        if beat.version < self.held.version:
            return _NOTHING
        if beat.checksum != self.held.checksum:
            return (SendNeed(self._need()),)
        if beat.version > self.held.version:
            # The same text under a newer number: nothing has to be sent.
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
