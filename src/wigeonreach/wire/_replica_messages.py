"""Messages by which the replicas agree."""

from __future__ import annotations

from wigeonreach.wire._base import WireMessage


class Append(WireMessage, frozen=True):
    """Ask a replica to store one accepted change."""

    version: int
    committed_version: int
    changes: tuple[bytes, ...]


class AppendReply(WireMessage, frozen=True):
    """A replica has synced everything up to a version."""

    process: str
    version: int
