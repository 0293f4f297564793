"""Messages by which the accepted text is changed, read and followed."""

from __future__ import annotations

from wigeonreach.wire._base import WireMessage


class ApplyText(WireMessage, frozen=True):
    """An operator's change, based on a version and with an id of its own."""

    change_id: str
    base_version: int
    author: str
    text: str


class ApplyReply(WireMessage, frozen=True):
    """What became of a change."""

    code: int
    detail: str
    version: int


class ReadText(WireMessage, frozen=True):
    """Ask for the newest accepted text."""


class ReadReply(WireMessage, frozen=True):
    """The newest accepted text."""

    version: int
    text: str


class Subscribe(WireMessage, frozen=True):
    """Ask to be told of every version after one."""

    process: str
    zone: str
    version: int


class ConfigUpdate(WireMessage, frozen=True):
    """An accepted text."""

    version: int
    text: str


class ConfigAck(WireMessage, frozen=True):
    """A subscriber acts on this version now."""

    version: int


class StatusRequest(WireMessage, frozen=True):
    """Ask a replica what it holds and whom it serves."""


class SubscriberStatus(WireMessage, frozen=True):
    """The version that one subscriber acts on."""

    process: str
    zone: str
    version: int


class StatusReply(WireMessage, frozen=True):
    """What a replica holds and whom it serves."""

    process: str
    zone: str
    role: str
    version: int
    subscribers: tuple[SubscriberStatus, ...]
