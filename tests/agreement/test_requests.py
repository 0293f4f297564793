"""Check how outcomes find whoever waits for them."""

from __future__ import annotations

import asyncio

import testtools

from wigeonreach.agreement._requests import Applied, PendingRequests


class TestRequests(testtools.TestCase):
    """Requests of a replica that restarted."""

    def test_answer_to_a_former_process_is_dropped(self) -> None:
        """A late answer never settles a request of the next process."""
        self.assertFalse(asyncio.run(_settles_across_a_restart()))


async def _settles_across_a_restart() -> bool:
    former, present = PendingRequests(), PendingRequests()
    number, _ = former.create()
    _, waiting = present.create()
    present.resolve(number, Applied(b'stored'))
    return waiting.done()
