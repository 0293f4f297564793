"""Put the log lines of several processes about one id into one story."""

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
    """One structured line.

    Attributes
    ----------
    at_s
        When it was written, by the clock of its machine, since 1970.
    """

    at_s: float
    process: str
    event: str
    fields: Mapping[str, Any]

    def mentions(self, subject: str) -> bool:
        """Whether any of its fields holds an id."""
        return subject in json.dumps(self.fields)

    def text(self, offset_s: float) -> str:
        """Return the line for a person, on a common clock."""
        moment = datetime.datetime.fromtimestamp(
            self.at_s - offset_s,
            datetime.UTC,
        )
        facts = ' '.join(
            f'{name}={told}'
            for name, told in self.fields.items()
            if name not in _HIDDEN
        )
        stamp = moment.strftime('%H:%M:%S.%f')
        return f'{stamp} {self.process} {self.event} {facts}'


def parse_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the structured lines; what stands before a brace is skipped."""
    found: list[LogLine] = []
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            stamp = datetime.datetime.fromisoformat(fields['timestamp'])
        except (ValueError, KeyError, TypeError):
            # Other programs' output, or a line that was cut off.
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
    """Return by how much each process's clock is ahead of the others.

    All processes hear of a new leader within milliseconds, so their lines
    about it were written at the same time.
    """
    by_leader: dict[str, list[LogLine]] = collections.defaultdict(list)
    term = ''
    for line in sorted(lines, key=lambda found: found.at_s):
        if line.event not in _LEADER_EVENTS:
            continue
        if line.event == 'term_began':
            term = str(line.fields.get('term', ''))
        by_leader[term].append(line)
    gaps_s: dict[str, list[float]] = collections.defaultdict(list)
    for told in by_leader.values():
        usual_s = statistics.median(line.at_s for line in told)
        for heard in told:
            gaps_s[heard.process].append(heard.at_s - usual_s)
    return {
        process: statistics.median(gaps) for process, gaps in gaps_s.items()
    }


def describe_timeline(lines: Iterable[LogLine], subject: str) -> list[str]:
    """Return the lines about an id, in the order in which they happened.

    Parameters
    ----------
    lines
        Of all processes.
    subject
        A job, worker, VM or anything else that lines name.
    """
    known = list(lines)
    offsets_s = clock_offsets(known)
    about = [line for line in known if line.mentions(subject)]
    about.sort(key=lambda line: line.at_s - offsets_s.get(line.process, 0))
    return [line.text(offsets_s.get(line.process, 0)) for line in about]
