"""Test that log lines are ordered despite clocks that differ."""

from __future__ import annotations

import json

import testtools
from testtools import matchers

from wigeonreach.observe._timeline import describe_timeline, parse_lines


def _line(second: float, process: str, event: str, **fields: object) -> str:
    stamp = f'2026-12-02T10:00:{second:09.6f}+00:00'
    record = {'timestamp': stamp, 'process': process, 'event': event, **fields}
    return json.dumps(record)


class TestTimeline(testtools.TestCase):
    """Log lines of an entry whose clock is two seconds ahead."""

    def test_lines_are_in_order_of_events(self) -> None:
        """Clock offsets come from the lines about a new leader."""
        lines = [
            _line(1.0, 'core', 'term_began', term=2),
            _line(1.001, 'other', 'leader_known', leader='core'),
            _line(3.002, 'entry', 'leader_known', leader='core'),
            _line(5.0, 'entry', 'job_refused', path='/q/abc', reason='x'),
            _line(4.0, 'core', 'job_accepted', job='abc'),
            _line(4.5, 'core', 'job_accepted', job='other'),
        ]
        timeline = describe_timeline(parse_lines(lines), 'abc')
        self.assertThat(
            [line.split()[1:3] for line in timeline],
            matchers.Equals(
                [['entry', 'job_refused'], ['core', 'job_accepted']],
            ),
        )

    def test_other_output_is_skipped(self) -> None:
        """Prefixes, tracebacks and truncated lines are ignored."""
        lines = [
            'Traceback (most recent call last):',
            f'  12.5 core-1 {_line(1.0, "core", "job_accepted", job="abc")}',
            '{"timestamp": "2026',
            '{"timestamp": 5}',
        ]
        self.assertThat(
            describe_timeline(parse_lines(lines), 'abc'),
            matchers.HasLength(1),
        )
