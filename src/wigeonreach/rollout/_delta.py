"""Compute and apply line edits between two texts."""

from __future__ import annotations

import difflib
from collections.abc import Sequence

import msgspec
import xxhash

# With more pairs of lines to compare, finding a minimal difference takes more
# time than the bytes it saves are worth, so all lines between the common
# beginning and the common end are replaced.
_MAX_COMPARED_PAIRS = 250_000


class LineEdit(msgspec.Struct, frozen=True, array_like=True):
    """Replacement of consecutive lines of the older text.

    Parameters
    ----------
    start
        Zero-based number of the first line that is replaced.
    removed
        Number of lines that are removed.
    added
        Lines inserted in their place, each with its line ending.
    """

    start: int
    removed: int
    added: tuple[str, ...]


def split_lines(text: str) -> list[str]:
    """Split a text into lines, keeping the line endings."""
    return text.splitlines(keepends=True)


def checksum_of(text: str) -> int:
    """Return the 64-bit XXH3 checksum of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


def find_edits(
    old: Sequence[str],
    new: Sequence[str],
) -> tuple[LineEdit, ...]:
    """Return the edits that turn one text into another.

    Parameters
    ----------
    old, new
        Lines of both texts.

    Returns
    -------
    tuple of LineEdit
        Edits in ascending order of ``start``, a line number in ``old``.
    """
    head = _common_prefix_length(old, new)
    tail = _common_suffix_length(old, new, head)
    old_middle = old[head : len(old) - tail]
    new_middle = new[head : len(new) - tail]
    if not old_middle and not new_middle:
        return ()
    if len(old_middle) * len(new_middle) > _MAX_COMPARED_PAIRS:
        return (LineEdit(head, len(old_middle), tuple(new_middle)),)
    matcher = difflib.SequenceMatcher(
        None,
        old_middle,
        new_middle,
        autojunk=False,
    )
    return tuple(
        LineEdit(head + start, end - start, tuple(new_middle[first:last]))
        for kind, start, end, first, last in matcher.get_opcodes()
        if kind != 'equal'
    )


def apply_edits(
    old: Sequence[str],
    edits: Sequence[LineEdit],
) -> list[str]:
    """Apply edits to the lines of a text.

    Parameters
    ----------
    old
        Lines of the older text.
    edits
        Edits in ascending order of ``start``.

    Returns
    -------
    list of str
        Lines of the newer text.  Edits computed for a different text give a
        wrong result without an error, so callers compare the checksum.
    """
    new: list[str] = []
    done = 0
    for edit in edits:
        new.extend(old[done : edit.start])
        new.extend(edit.added)
        done = edit.start + edit.removed
    new.extend(old[done:])
    return new


def _common_prefix_length(old: Sequence[str], new: Sequence[str]) -> int:
    shorter = min(len(old), len(new))
    for number in range(shorter):
        if old[number] != new[number]:
            return number
    return shorter


def _common_suffix_length(
    old: Sequence[str], new: Sequence[str], head: int
) -> int:
    longest = min(len(old), len(new)) - head
    for number in range(longest):
        if old[-1 - number] != new[-1 - number]:
            return number
    return longest
