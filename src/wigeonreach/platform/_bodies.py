"""Decode bodies that may come from any writer."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Annotated, Generic, TypeVar

import msgspec

_Read = TypeVar('_Read')
# What a log line or an answer tells of a body; it may be long.
_MOST_TOLD_CHARS = 200
# Whole numbers above this are not exact in every JSON reader.
MOST_EXACT = 2**53
Amount = Annotated[int, msgspec.Meta(ge=0, le=MOST_EXACT)]


class UnreadableBodyError(ValueError):
    """A body is not what it should be; the text says where."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entries(Generic[_Read]):
    """The entries of a list that can be read.

    Attributes
    ----------
    unreadable
        How many others there were.
    """

    sound: tuple[_Read, ...]
    unreadable: int


def decode_body(decoder: msgspec.json.Decoder[_Read], body: bytes) -> _Read:
    """Return a body as its type.

    Parameters
    ----------
    decoder
        Of that type.
    body
        As it arrived.

    Raises
    ------
    UnreadableBodyError
        If it can't be read, or a part is missing or of another type.
    """
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableBodyError(str(error)[:_MOST_TOLD_CHARS]) from error


def decode_entries(
    decoder: msgspec.json.Decoder[_Read],
    entries: Iterable[msgspec.Raw],
) -> Entries[_Read]:
    """Return the entries that can be read, each by itself.

    Another writer's entry among them does not void the list; whoever calls
    tells how many were left out.
    """
    sound: list[_Read] = []
    unreadable = 0
    for entry in entries:
        try:
            sound.append(decode_body(decoder, bytes(entry)))
        except UnreadableBodyError:
            unreadable += 1
    return Entries(tuple(sound), unreadable)
