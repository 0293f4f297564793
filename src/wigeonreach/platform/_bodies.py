"""Decode JSON bodies from untrusted or foreign senders."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Annotated, Generic, TypeVar

import msgspec

_Decoded = TypeVar('_Decoded')
# Decoder errors are cut to this length for logs and responses, as they may
# quote parts of the body.
_MAX_ERROR_CHARS = 200
# Larger integers are not exact in JSON parsers that use doubles.
MAX_SAFE_INTEGER = 2**53
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]


class UnreadableBodyError(ValueError):
    """A body can't be decoded; the text names the faulty value or its place."""


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedEntries(Generic[_Decoded]):
    """Result of decoding a list entry by entry.

    Attributes
    ----------
    readable
        The entries that could be decoded.
    unreadable
        Number of entries that could not.
    """

    readable: tuple[_Decoded, ...]
    unreadable: int


def decode_body(
    decoder: msgspec.json.Decoder[_Decoded],
    body: bytes,
) -> _Decoded:
    """Decode a body.

    Parameters
    ----------
    decoder
        Decoder of the expected type.
    body
        Body as received.

    Raises
    ------
    UnreadableBodyError
        If the body is malformed, or a field is missing or of another type.
    """
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableBodyError(str(error)[:_MAX_ERROR_CHARS]) from error


def decode_entries(
    decoder: msgspec.json.Decoder[_Decoded],
    entries: Iterable[msgspec.Raw],
) -> DecodedEntries[_Decoded]:
    """Decode the entries of a list independently of each other.

    One malformed entry does not invalidate the whole list; the caller reports
    how many entries were skipped.
    """
    readable: list[_Decoded] = []
    unreadable = 0
    for entry in entries:
        try:
            readable.append(decode_body(decoder, bytes(entry)))
        except UnreadableBodyError:
            unreadable += 1
    return DecodedEntries(tuple(readable), unreadable)
