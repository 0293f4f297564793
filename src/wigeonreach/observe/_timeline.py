"""Merge the log lines of several processes about one id."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import json
import statistics
from collections.abc import Iterable, Mapping
from typing import Any

_HIDDEN = frozenset(('process', 'number', 'event', 'level', 'timestamp'))
_LEADER_EVENTS = frozenset(('term_began', 'leader_known'))


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line.

    Attributes
    ----------
    at_s
        When it was written, in seconds since 1970 by its machine's clock.
    """

    at_s: float
    process: str
    event: str
    fields: Mapping[str, Any]

    def mentions(self, subject: str) -> bool:
        """Whether any field contains an id."""
        return subject in json.dumps(self.fields)

    def text(self, offset_s: float) -> str:
        """Return the line as readable text.

        Parameters
        ----------
        offset_s
            How far the clock of its process is ahead, in seconds.
        """
        moment = datetime.datetime.fromtimestamp(
            self.at_s - offset_s,
            datetime.UTC,
        )
        shown_fields = ' '.join(
            f'{name}={content}'
            for name, content in self.fields.items()
            if name not in _HIDDEN
        )
        stamp = moment.strftime('%H:%M:%S.%f')
        return f'{stamp} {self.process} {self.event} {shown_fields}'


def parse_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the structured lines, without any prefix before the JSON."""
    found: list[LogLine] = []
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            stamp = datetime.datetime.fromisoformat(fields['timestamp'])
        except (ValueError, KeyError, TypeError):
            # Output of other programs, or a truncated line.
            continue
        found.append(
            LogLine(
                stamp.timestamp(),
                fields.get('process', ''),
                fields.get('event', ''),
                fields,
            ),
        )
    return found


def clock_offsets(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return how far each process's clock is ahead, in seconds.

    All processes learn of a new leader within milliseconds, so their lines
    about it count as written at the same time.  The offset of a process is
    its median distance to the median time of those lines.
    """
    by_leader: dict[str, list[LogLine]] = collections.defaultdict(list)
    term = ''
    for line in sorted(lines, key=lambda found: found.at_s):
        if line.event not in _LEADER_EVENTS:
            continue
        if line.event == 'term_began':
            term = str(line.fields.get('term', ''))
        by_leader[term].append(line)
    deviations_s: dict[str, list[float]] = collections.defaultdict(list)
    for group in by_leader.values():
        median_s = statistics.median(line.at_s for line in group)
        for member in group:
            deviations_s[member.process].append(member.at_s - median_s)
    return {
        process: statistics.median(deviations)
        for process, deviations in deviations_s.items()
    }


def describe_timeline(lines: Iterable[LogLine], subject: str) -> list[str]:
    """Return the lines about an id, in order of corrected time.

    Parameters
    ----------
    lines
        Log lines of all processes.
    subject
        Id of a job, worker, VM or anything else that lines mention.
    """
    known = list(lines)
    offsets_s = clock_offsets(known)
    about = [line for line in known if line.mentions(subject)]
    about.sort(key=lambda line: line.at_s - offsets_s.get(line.process, 0))
    return [line.text(offsets_s.get(line.process, 0)) for line in about]
