"""Encode what the durable state keeps of a wave."""

from __future__ import annotations

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.fleet import WaveState


class WaveBody(msgspec.Struct, frozen=True, array_like=True):
    """What an operator asked for and how far it is.

    Attributes
    ----------
    pools, zones
        Which VMs; empty for all.
    state
        Progress; missing until a manager has taken the wave up.
    waits_for
        Why no further VM is taken at present, for a person.
    """

    pools: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    state: WaveState | None = None
    waits_for: str = ''


def encode_body(body: WaveBody) -> bytes:
    """Return a body as bytes."""
    return msgspec.msgpack.encode(body)


def decode_body(raw: bytes) -> WaveBody:
    """Read a body.

    Raises
    ------
    StateError
        If it can't be understood.
    """
    try:
        return msgspec.msgpack.decode(raw, type=WaveBody)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StateError(ResultCode.WIRE_MALFORMED, str(error)) from error
