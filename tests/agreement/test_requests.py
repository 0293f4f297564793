"""Test that outcomes are matched to the requests that wait for them."""

from __future__ import annotations

import asyncio

import testtools

from wigeonreach.agreement._pending_requests import Applied, PendingRequests


class TestRequests(testtools.TestCase):
    """Requests of a replica that restarted."""

    def test_answer_to_a_former_process_is_dropped(self) -> None:
        """A late reply never resolves a request of the next process."""
        self.assertFalse(asyncio.run(_settles_across_a_restart()))


async def _settles_across_a_restart() -> bool:
    former, present = PendingRequests(), PendingRequests()
    number, _ = former.create()
    _, waiting = present.create()
    present.resolve(number, Applied(b'stored'))
    return waiting.done()
