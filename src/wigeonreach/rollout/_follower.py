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

    ``silent_s`` is measured from the source's last message, ``unconfirmed_s``
    from its last confirmation, and ``behind_s`` from when it was chosen.  None
    starts before that, since a healthy source needs some time to show that it
    is confirmed and up to date.
    """

    silent_s: float = 2.5
    unconfirmed_s: float = 3.0
    behind_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Put a newer copy in force; the follower already holds it."""

    copy: TextCopy


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSections:
    """Ask the source for the sections that differ."""

    need: ConfigNeed


Effect: TypeAlias = Hold | RequestSections
SourceMessage: TypeAlias = ConfigBeat | ConfigDelta | ConfigSections
_NO_EFFECTS: tuple[Effect, ...] = ()


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
        self._source_chosen_s = -math.inf
        self._source_heard_s = -math.inf
        self._source_version = 0
        self._source_confirmed_s = -math.inf

    def choose_source(self, now_s: float) -> None:
        """Start monitoring a newly chosen source.

        Parameters
        ----------
        now_s
            Monotonic time in seconds.
        """
        self._source_chosen_s = now_s
        self._source_heard_s = now_s
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
        self._source_heard_s = now_s
        match message:
            case ConfigBeat():
                return self._on_heartbeat(message)
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
            return _NO_EFFECTS
        try:
            return self._install(merge_sections(self.held, message))
        except WireError:
            return _NO_EFFECTS

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
        watched_s = now_s - self._source_chosen_s
        if now_s - self._source_heard_s > limits.silent_s:
            return SourceFault.SILENT
        confirmed_s = max(self._source_confirmed_s, self._source_chosen_s)
        if now_s - confirmed_s > limits.unconfirmed_s:
            return SourceFault.UNCONFIRMED
        is_behind = self._source_version < self.held.version
        if is_behind and watched_s > limits.behind_s:
            return SourceFault.BEHIND
        return None

    def _on_heartbeat(self, heartbeat: ConfigBeat) -> tuple[Effect, ...]:
        self._source_version = heartbeat.version
        if heartbeat.confirmed_age_s >= 0 and heartbeat.echo_s >= 0:
            # ``echo_s`` is a time on the follower's clock, sent back to it.
            # The arrival time would be wrong if the message was delayed.
            self._source_confirmed_s = (
                heartbeat.echo_s - heartbeat.confirmed_age_s
            )
        if heartbeat.version < self.held.version:
            return _NO_EFFECTS
        if heartbeat.checksum != self.held.checksum:
            return (RequestSections(self._sections_request()),)
        if heartbeat.version > self.held.version:
            # The same text under a newer version: nothing has to be sent.
            newer = dataclasses.replace(self.held, version=heartbeat.version)
            return self._install(newer)
        self._confirmed_s = max(self._confirmed_s, self._source_confirmed_s)
        return _NO_EFFECTS

    def _on_delta(self, delta: ConfigDelta) -> tuple[Effect, ...]:
        self._source_version = max(self._source_version, delta.version)
        if delta.version <= self.held.version:
            return _NO_EFFECTS
        try:
            return self._install(follow_delta(self.held, delta))
        except WireError:
            return (RequestSections(self._sections_request()),)

    def _on_sections(self, message: ConfigSections) -> tuple[Effect, ...]:
        self._source_version = max(self._source_version, message.version)
        if message.version < self.held.version:
            return _NO_EFFECTS
        try:
            return self._install(merge_sections(self.held, message))
        except WireError:
            return (RequestSections(ConfigNeed(0, ())),)

    def _install(self, copy: TextCopy) -> tuple[Effect, ...]:
        if copy == self.held:
            return _NO_EFFECTS
        self.held = copy
        return (Hold(copy),)

    def _sections_request(self) -> ConfigNeed:
        return ConfigNeed(self.held.version, self.held.digests())
