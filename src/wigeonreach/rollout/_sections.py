"""Split a TOML text at its table headers, to compare and describe sections."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from wigeonreach.rollout._delta import split_lines

_MAX_LINES_SHOWN = 4
_PREAMBLE = 'preamble'


def split_sections(text: str) -> tuple[str, ...]:
    """Split a text before each line that starts with a table header.

    Parameters
    ----------
    text
        The whole text.

    Returns
    -------
    tuple of str
        The sections; joining them gives the text again.
    """
    sections: list[list[str]] = [[]]
    for line in split_lines(text):
        if line.startswith('['):
            sections.append([])
        sections[-1].append(line)
    return tuple(''.join(lines) for lines in sections if lines)


def join_sections(sections: Sequence[str]) -> str:
    """Join the sections of a text."""
    return ''.join(sections)


def describe_changes(old: str, new: str) -> tuple[str, ...]:
    """Summarize the differences between two texts, one string per table.

    Parameters
    ----------
    old, new
        The two texts.

    Returns
    -------
    tuple of str
        Such as ``services.records: -promised_slots = 4; +promised_slots = 8``.
        Lines are compared, not parsed values, so that replicas of different
        releases produce the same summary.
    """
    before = _by_subject(old)
    after = _by_subject(new)
    return tuple(
        _describe(subject, before.get(subject), after.get(subject))
        for subject in sorted(before.keys() | after.keys())
        if before.get(subject) != after.get(subject)
    )


def _by_subject(text: str) -> dict[str, list[str]]:
    subjects: dict[str, list[str]] = {}
    for section in split_sections(text):
        subjects.setdefault(_subject(section), []).append(section)
    return subjects


def _subject(section: str) -> str:
    # ``[services.records.budget]`` is summarized under ``services.records``.
    if not section.startswith('['):
        return _PREAMBLE
    header = section.split(']', maxsplit=1)[0].strip('[ ')
    return '.'.join(header.split('.')[:2])


def _describe(
    subject: str,
    old: list[str] | None,
    new: list[str] | None,
) -> str:
    if old is None:
        return f'{subject}: added'
    if new is None:
        return f'{subject}: removed'
    shown = list(
        _line_changes(
            _lines_of_changed_sections(old, new),
            _lines_of_changed_sections(new, old),
        )
    )
    more = len(shown) - _MAX_LINES_SHOWN
    if more > 0:
        shown = [*shown[:_MAX_LINES_SHOWN], f'{more} more']
    return '{0}: {1}'.format(subject, '; '.join(shown) or 'moved lines')


def _lines_of_changed_sections(
    sections: list[str], others: list[str]
) -> list[str]:
    """Return the lines of the sections that the other text does not have."""
    return [
        line.strip()
        for section in sections
        if section not in others
        for line in section.splitlines()
        if line.strip()
    ]


def _line_changes(old: list[str], new: list[str]) -> Iterator[str]:
    kept = set(new)
    known = set(old)
    yield from (f'-{line}' for line in old if line not in kept)
    yield from (f'+{line}' for line in new if line not in known)
