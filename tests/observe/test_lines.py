"""Test that writing logs never blocks a daemon."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.observe._lines import LineSink


class _Pipe:
    """A pipe that is full while its reader is stopped."""

    def __init__(self) -> None:
        self.is_stopped = False
        self.written = b''
        self.now_s = 0.0

    def write(self, content: bytes) -> int:
        """Write at most ten bytes."""
        if self.is_stopped:
            raise BlockingIOError
        self.written += content[:10]
        return len(content[:10])

    def clock_s(self) -> float:
        """Return the time that the test sets."""
        return self.now_s


class TestLineSink(testtools.TestCase):
    """Lines that can't be written or exceed the rate limit."""

    def setUp(self) -> None:
        """Create a sink that writes into a pipe."""
        super().setUp()
        self.pipe = _Pipe()
        self.sink = LineSink(self.pipe.write, self.pipe.clock_s)

    def test_lines_stay_whole(self) -> None:
        """A partly written line is completed before the next one."""
        self.sink.put(b'a' * 25, is_urgent=False)
        self.pipe.is_stopped = True
        self.sink.put(b'b' * 5, is_urgent=False)
        self.pipe.is_stopped = False
        self.sink.put(b'c' * 5, is_urgent=False)
        self.assertThat(
            self.pipe.written.split(b'\n'),
            matchers.Equals([b'a' * 25, b'b' * 5, b'c' * 5, b'']),
        )

    def test_lines_for_a_stopped_reader_are_counted(self) -> None:
        """Writing does not block on a stopped reader."""
        self.pipe.is_stopped = True
        for _ in range(5):
            self.sink.put(b'line', is_urgent=False)
        self.assertThat(self.sink.take_omitted_count(), matchers.Equals(4))
        self.assertThat(self.sink.take_omitted_count(), matchers.Equals(0))

    def test_ordinary_lines_do_not_displace_warnings(self) -> None:
        """Too many ordinary lines do not suppress a warning."""
        for _ in range(2000):
            self.sink.put(b'ordinary', is_urgent=False)
        self.sink.put(b'refused', is_urgent=True)
        self.assertThat(
            self.pipe.written.endswith(b'refused\n'),
            matchers.Equals(True),
        )
        self.assertThat(
            self.sink.take_omitted_count(),
            matchers.GreaterThan(1000),
        )

    def test_rate_limit_recovers(self) -> None:
        """Lines are written again after the excess has ended."""
        for _ in range(2000):
            self.sink.put(b'ordinary', is_urgent=False)
        self.pipe.now_s += 10
        self.sink.put(b'later', is_urgent=False)
        self.assertThat(
            self.pipe.written.endswith(b'later\n'),
            matchers.Equals(True),
        )
