"""Base class of all messages between processes."""

from __future__ import annotations

import msgspec


class WireMessage(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=True,
):
    """Base of all messages, encoded as a msgpack array led by the tag.

    The tag is the name of the class: renaming a message changes the wire
    format.
    """
