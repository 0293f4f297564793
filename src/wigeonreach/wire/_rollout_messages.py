"""Messages by which processes follow the accepted text."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.rollout._delta import LineEdit
from wigeonreach.wire._base import WireMessage


class Follow(WireMessage, frozen=True):
    """Ask a replica to push every version after the one held."""

    process: str
    zone: str
    version: int
    checksum: int


class Unfollow(WireMessage, frozen=True):
    """Tell a replica that this process ends for good."""

    process: str


class ConfigBeat(WireMessage, frozen=True):
    """What the sender holds, sent in answer to each ``ConfigInForce``.

    ``confirmed_age_s`` tells how many seconds before this beat a quorum
    confirmed that nothing newer was accepted; it is negative where that never
    was.  ``echo_s`` is the newest ``sent_s`` that arrived from the receiver,
    negative if none did: a beat that was held up on its way confirms no more
    than what was true then.
    """

    version: int
    checksum: int
    confirmed_age_s: float
    echo_s: float


class ConfigDelta(WireMessage, frozen=True):
    """The step from one version to a newer one."""

    base_version: int
    version: int
    checksum: int
    edits: tuple[LineEdit, ...]


class ConfigNeed(WireMessage, frozen=True):
    """Ask for what differs from the sections held, by their digests."""

    version: int
    digests: tuple[int, ...]


class ConfigSections(WireMessage, frozen=True):
    """The sections that the asker lacks.

    ``order`` lists the digests of all sections of the text; empty if
    ``packed`` holds the whole text.  ``packed`` is a compressed list of
    texts.
    """

    version: int
    checksum: int
    order: tuple[int, ...]
    packed: bytes


class ConfigInForce(WireMessage, frozen=True):
    """A follower acts on this version now; sent on change and each second.

    ``sent_s`` is the follower's own monotonic time in seconds.
    """

    version: int
    sent_s: float


class ReplicaStatusRequest(WireMessage, frozen=True):
    """Ask a replica what it holds and who follows it."""


class FollowerStatus(WireMessage, frozen=True):
    """The version that one follower acts on."""

    process: str
    zone: str
    version: int


class ReplicaStatus(WireMessage, frozen=True):
    """What a replica holds and who follows it.

    ``registered`` names every process that is known to follow the text, also
    through other replicas or not at all at present.
    """

    process: str
    zone: str
    role: str
    version: int
    confirmed_age_s: float
    followers: tuple[FollowerStatus, ...]
    registered: tuple[str, ...]


RolloutMessage: TypeAlias = (
    Follow
    | Unfollow
    | ConfigBeat
    | ConfigDelta
    | ConfigNeed
    | ConfigSections
    | ConfigInForce
    | ReplicaStatusRequest
    | ReplicaStatus
)
