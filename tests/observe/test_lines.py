"""Test that logs never hold a daemon up."""

from __future__ import annotations

import testtools
from testtools import matchers

from wigeonreach.observe._lines import LineSink


class _Pipe:
    """A reader that takes nothing while it is stopped."""

    def __init__(self) -> None:
        self.is_stopped = False
        self.taken = b''
        self.now_s = 0.0

    def write(self, rest: bytes) -> int:
        """Take at most ten bytes."""
        if self.is_stopped:
            raise BlockingIOError
        self.taken += rest[:10]
        return len(rest[:10])

    def clock_s(self) -> float:
        """Return the time that the test sets."""
        return self.now_s


class TestLineSink(testtools.TestCase):
    """Lines that can't be written, or are too many."""

    def setUp(self) -> None:
        """Make a sink that writes into a pipe."""
        super().setUp()
        self.pipe = _Pipe()
        self.sink = LineSink(self.pipe.write, self.pipe.clock_s)

    def test_lines_stay_whole(self) -> None:
        """A line that was begun is finished before the next one."""
        self.sink.put(b'a' * 25, is_urgent=False)
        self.pipe.is_stopped = True
        self.sink.put(b'b' * 5, is_urgent=False)
        self.pipe.is_stopped = False
        self.sink.put(b'c' * 5, is_urgent=False)
        self.assertThat(
            self.pipe.taken.split(b'\n'),
            matchers.Equals([b'a' * 25, b'b' * 5, b'c' * 5, b'']),
        )

    def test_lines_for_a_stopped_reader_are_counted(self) -> None:
        """Nothing waits for a reader that takes nothing."""
        self.pipe.is_stopped = True
        for _ in range(5):
            self.sink.put(b'line', is_urgent=False)
        self.assertThat(self.sink.omitted_if_due(), matchers.Equals(4))
        self.assertThat(self.sink.omitted_if_due(), matchers.Equals(0))

    def test_ordinary_lines_leave_room_for_warnings(self) -> None:
        """A flood of ordinary lines pushes no warning out."""
        for _ in range(2000):
            self.sink.put(b'ordinary', is_urgent=False)
        self.sink.put(b'refused', is_urgent=True)
        self.assertThat(
            self.pipe.taken.endswith(b'refused\n'),
            matchers.Equals(True),
        )
        self.assertThat(
            self.sink.omitted_if_due(),
            matchers.GreaterThan(1000),
        )

    def test_room_comes_back(self) -> None:
        """Lines are written again once the flood is over."""
        for _ in range(2000):
            self.sink.put(b'ordinary', is_urgent=False)
        self.pipe.now_s += 10
        self.sink.put(b'later', is_urgent=False)
        self.assertThat(
            self.pipe.taken.endswith(b'later\n'),
            matchers.Equals(True),
        )
