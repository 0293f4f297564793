"""Bring one copy of the text up to another with as few bytes as is simple."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Iterator

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import WireError
from wigeonreach.rollout._delta import apply_edits, checksum_of, split_lines
from wigeonreach.rollout._sections import join_sections, split_sections
from wigeonreach.wire._rollout_messages import (
    ConfigDelta,
    ConfigNeed,
    ConfigSections,
)

_COMPRESSION_LEVEL = 6
_TEXTS = msgspec.msgpack.Decoder(tuple[str, ...])


@dataclasses.dataclass(frozen=True, slots=True)
class TextCopy:
    """A version of the accepted text; version 0 is the empty one."""

    version: int
    text: str
    checksum: int

    def digests(self) -> tuple[int, ...]:
        """Return the digest of each section, in order."""
        return tuple(map(checksum_of, split_sections(self.text)))


def make_copy(version: int, text: str) -> TextCopy:
    """Return a copy with its checksum."""
    return TextCopy(version, text, checksum_of(text))


EMPTY_COPY = make_copy(0, '')


def follow_delta(held: TextCopy, delta: ConfigDelta) -> TextCopy:
    """Return the newer copy that a delta makes of the one held.

    Parameters
    ----------
    held
        The copy that the delta starts from.
    delta
        The step.

    Returns
    -------
    TextCopy
        The newer copy.

    Raises
    ------
    WireError
        If the delta starts from another version or gives a wrong checksum.
    """
    if delta.base_version != held.version:
        raise _unusable(f'delta from {delta.base_version}, {held.version} held')
    lines = apply_edits(split_lines(held.text), delta.edits)
    return _checked(delta.version, ''.join(lines), delta.checksum)


def missing_sections(newest: TextCopy, need: ConfigNeed) -> ConfigSections:
    """Return the sections that an asker lacks.

    Parameters
    ----------
    newest
        The copy to bring the asker to.
    need
        What the asker holds.

    Returns
    -------
    ConfigSections
        The whole text if the asker holds nothing.
    """
    if not need.digests:
        return ConfigSections(
            newest.version,
            newest.checksum,
            (),
            _pack((newest.text,)),
        )
    known = set(need.digests)
    sections = split_sections(newest.text)
    order = tuple(map(checksum_of, sections))
    lacking = tuple(
        section
        for digest, section in zip(order, sections, strict=True)
        if digest not in known
    )
    return ConfigSections(
        newest.version,
        newest.checksum,
        order,
        _pack(lacking),
    )


def merge_sections(held: TextCopy, message: ConfigSections) -> TextCopy:
    """Return the copy that received sections and those held make together.

    Parameters
    ----------
    held
        The copy held.
    message
        What was received.

    Returns
    -------
    TextCopy
        The newer copy.

    Raises
    ------
    WireError
        If a section is missing or the checksum is wrong.
    """
    received = _unpack(message.packed)
    text = join_sections(received)
    if message.order:
        text = join_sections(tuple(_ordered(held, received, message.order)))
    return _checked(message.version, text, message.checksum)


def _ordered(
    held: TextCopy,
    received: tuple[str, ...],
    order: tuple[int, ...],
) -> Iterator[str]:
    sections = (*split_sections(held.text), *received)
    by_digest = {checksum_of(section): section for section in sections}
    for digest in order:
        section = by_digest.get(digest)
        if section is None:
            raise _unusable('a section is missing')
        yield section


def _checked(version: int, text: str, checksum: int) -> TextCopy:
    copy = make_copy(version, text)
    if copy.checksum != checksum:
        raise _unusable(f'version {version} has another checksum')
    return copy


def _pack(texts: tuple[str, ...]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(texts), _COMPRESSION_LEVEL)


def _unpack(packed: bytes) -> tuple[str, ...]:
    try:
        return _TEXTS.decode(zlib.decompress(packed))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise _unusable(str(error)) from error


def _unusable(detail: str) -> WireError:
    return WireError(ResultCode.WIRE_MALFORMED, detail)
