"""Messages that distribute the accepted text to the processes following it."""

from __future__ import annotations

from typing import TypeAlias

from wigeonreach.rollout._delta import LineEdit
from wigeonreach.wire._base import WireMessage


class Follow(WireMessage, frozen=True):
    """Subscribe to every version after the one that the sender holds."""

    process: str
    zone: str
    version: int
    checksum: int


class Unfollow(WireMessage, frozen=True):
    """Tell a replica that this process is gone permanently."""

    process: str


class ConfigBeat(WireMessage, frozen=True):
    """Version that the sender holds.

    Sent in reply to each ``ConfigInForce``, and for a new version to which
    there is no delta.  ``confirmed_age_s`` is how many seconds before this
    message a quorum last confirmed that no newer version was accepted;
    negative if it never did.  ``echo_s`` is the newest ``sent_s`` that arrived
    from the receiver, negative if none did.  This message may have been
    delayed in the network ever since that time, so it confirms only what was
    true then.
    """

    version: int
    checksum: int
    confirmed_age_s: float
    echo_s: float


class ConfigDelta(WireMessage, frozen=True):
    """The line edits that turn one version into a newer one."""

    base_version: int
    version: int
    checksum: int
    edits: tuple[LineEdit, ...]


class ConfigNeed(WireMessage, frozen=True):
    """Request the sections that the sender lacks, given those that it holds.

    ``digests`` are the digests of the sections held.
    """

    version: int
    digests: tuple[int, ...]


class ConfigSections(WireMessage, frozen=True):
    """The sections that the requester lacks.

    ``order`` lists the digests of all sections of the text; empty if
    ``packed`` holds the whole text.  ``packed`` is a compressed list of
    sections' texts.
    """

    version: int
    checksum: int
    order: tuple[int, ...]
    packed: bytes


class ConfigInForce(WireMessage, frozen=True):
    """The version that a follower applies; sent on change and every second.

    ``sent_s`` is the follower's own monotonic time in seconds.
    """

    version: int
    sent_s: float


class ReplicaStatusRequest(WireMessage, frozen=True):
    """Request the status of a replica and of its followers."""


class FollowerStatus(WireMessage, frozen=True):
    """The version that one follower applies."""

    process: str
    zone: str
    version: int


class ReplicaStatus(WireMessage, frozen=True):
    """Status of a replica and of its followers.

    ``registered`` names every process registered as a follower of the text,
    including those connected to other replicas or to none at present.
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
