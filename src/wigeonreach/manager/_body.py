"""Encoding of a wave's body in the durable state."""

from __future__ import annotations

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.fleet import WaveState


class WaveBody(msgspec.Struct, frozen=True, array_like=True):
    """Scope that an operator requested for a wave, and its progress.

    Attributes
    ----------
    pools, zones
        Pools and zones whose VMs are included; empty for all.
    state
        Progress; None until a manager has started the wave.
    waits_for
        Human-readable reason why no further VM is started at present.
    """

    pools: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    state: WaveState | None = None
    waits_for: str = ''


def encode_body(body: WaveBody) -> bytes:
    """Serialize a body."""
    return msgspec.msgpack.encode(body)


def decode_body(raw: bytes) -> WaveBody:
    """Deserialize a body.

    Raises
    ------
    StateError
        If the bytes are not a valid body.
    """
    try:
        return msgspec.msgpack.decode(raw, type=WaveBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StateError(ResultCode.WIRE_MALFORMED, str(error)) from error
