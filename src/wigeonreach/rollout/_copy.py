"""Update a copy of the configuration text from deltas or changed sections."""

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
_TEXTS_DECODER = msgspec.msgpack.Decoder(tuple[str, ...])


@dataclasses.dataclass(frozen=True, slots=True)
class TextCopy:
    """A version of the configuration text; version 0 is the empty text."""

    version: int
    text: str
    checksum: int

    def digests(self) -> tuple[int, ...]:
        """Return the checksum of each section, in order."""
        return tuple(map(checksum_of, split_sections(self.text)))


def make_copy(version: int, text: str) -> TextCopy:
    """Return a copy of a version, with the checksum of its text."""
    return TextCopy(version, text, checksum_of(text))


EMPTY_COPY = make_copy(0, '')


def follow_delta(held: TextCopy, delta: ConfigDelta) -> TextCopy:
    """Apply a delta to a copy.

    Parameters
    ----------
    held
        The copy to update.
    delta
        The line edits from its version to a newer one.

    Returns
    -------
    TextCopy
        The copy of the newer version.

    Raises
    ------
    WireError
        If the delta is based on another version, or the result does not
        match its checksum.
    """
    if delta.base_version != held.version:
        raise _malformed(
            f'delta is based on version {delta.base_version}, '
            f'but version {held.version} is held',
        )
    lines = apply_edits(split_lines(held.text), delta.edits)
    return _verified_copy(delta.version, ''.join(lines), delta.checksum)


def missing_sections(newest: TextCopy, need: ConfigNeed) -> ConfigSections:
    """Return the sections that a requester lacks.

    Parameters
    ----------
    newest
        The copy that the requester is updated to.
    need
        The checksums of the sections that the requester holds.

    Returns
    -------
    ConfigSections
        The missing sections, compressed, and the order of all sections; the
        whole text if the requester holds nothing.
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
    """Combine received sections with those of the copy held.

    Parameters
    ----------
    held
        The copy to update.
    message
        The sections received, and the order of all sections.

    Returns
    -------
    TextCopy
        The copy of the version received.

    Raises
    ------
    WireError
        If a section is missing or the checksum does not match.
    """
    received = _unpack(message.packed)
    text = join_sections(received)
    if message.order:
        text = join_sections(
            tuple(_sections_in_order(held, received, message.order))
        )
    return _verified_copy(message.version, text, message.checksum)


def _sections_in_order(
    held: TextCopy,
    received: tuple[str, ...],
    order: tuple[int, ...],
) -> Iterator[str]:
    sections = (*split_sections(held.text), *received)
    by_digest = {checksum_of(section): section for section in sections}
    for digest in order:
        section = by_digest.get(digest)
        if section is None:
            raise _malformed('a section is missing')
        yield section


def _verified_copy(version: int, text: str, checksum: int) -> TextCopy:
    copy = make_copy(version, text)
    if copy.checksum != checksum:
        raise _malformed(f'checksum mismatch in version {version}')
    return copy


def _pack(texts: tuple[str, ...]) -> bytes:
    return zlib.compress(msgspec.msgpack.encode(texts), _COMPRESSION_LEVEL)


def _unpack(packed: bytes) -> tuple[str, ...]:
    try:
        return _TEXTS_DECODER.decode(zlib.decompress(packed))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise _malformed(str(error)) from error


def _malformed(detail: str) -> WireError:
    return WireError(ResultCode.WIRE_MALFORMED, detail)
