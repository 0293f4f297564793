"""Find the line number of a key in a TOML text."""

from __future__ import annotations

from collections.abc import Sequence


def find_line(text: str, path: Sequence[str]) -> int:
    """Return the line that best matches a key path.

    Parameters
    ----------
    text
        The whole TOML text.
    path
        Table names followed by the key, outermost first.

    Returns
    -------
    int
        One-based line number of the key; if the key is absent, that of the
        innermost table that is present, else 1.
    """
    best_line = 1
    best_depth = 0
    table: tuple[str, ...] = ()
    wanted = tuple(path)
    for number, line in enumerate(text.splitlines(), start=1):
        line_path, table = _parse_line(line.strip(), table)
        depth = _common_depth(line_path, wanted)
        if depth > best_depth and depth == len(line_path):
            best_line = number
            best_depth = depth
    return best_line


def _parse_line(
    line: str,
    table: tuple[str, ...],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    if line.startswith('['):
        header = line.split(']', maxsplit=1)[0].strip('[ ')
        opened = _split_key(header)
        return opened, opened
    if '=' in line and not line.startswith('#'):
        key = line.split('=', maxsplit=1)[0]
        return (*table, *_split_key(key)), table
    return (), table


def _split_key(dotted: str) -> tuple[str, ...]:
    return tuple(part.strip().strip('"\'') for part in dotted.split('.'))


def _common_depth(left: Sequence[str], right: Sequence[str]) -> int:
    depth = 0
    for one, other in zip(left, right, strict=False):
        if one != other:
            break
        depth += 1
    return depth
