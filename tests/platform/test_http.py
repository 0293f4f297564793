"""Test what becomes of requests that come while a process ends.

Seen: a caller's request was read whole, 2.8 s after the order to end, and its
connection was closed 0.6 s later without an answer; on one drawn day.

How it came about: the process had found that no request was in flight, and
ended its connections to the core first.  A request that came then waited for a
core until its own connection was closed, 0.5 s after the listener.

Cause, as far as it is known: nothing refused requests between the end of the
waiting and that of the listener.  The close came just that time after it; the
same day, played again, did not show it.
"""

from __future__ import annotations

import asyncio

import testtools
from testtools import matchers

from tests.builders_core import free_addresses
from wigeonreach.platform._http import HttpListener, HttpReply, HttpRequest
from wigeonreach.wire import parse_address

_REQUEST = b'GET /a HTTP/1.1\r\nHost: club.example\r\n\r\n'
# Far above what anything here takes; it only ends a test that hangs.
_PATIENCE_S = 30.0


async def _never(request: HttpRequest) -> HttpReply:
    """Wait for a core that does not come any more."""
    await asyncio.Event().wait()
    raise AssertionError


class TestEnd(testtools.TestCase):
    """A listener that has been found idle, and is about to end."""

    def test_request_that_comes_then_is_refused(self) -> None:
        """It was not passed on, so the refusal is true."""
        status = asyncio.run(self._ask_late())
        self.assertThat(status, matchers.StartsWith(b'HTTP/1.1 503 '))

    async def _ask_late(self) -> bytes:
        """Return the first line of the answer to a late request."""
        address = free_addresses(1)[0]
        listener = HttpListener(parse_address(address, 'listen'), _never, 0)
        async with asyncio.timeout(_PATIENCE_S):
            await listener.start()
            host, _, port = address.partition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            listener.disable_keep_alive()
            await listener.refuse_when_idle(1.0)
            writer.write(_REQUEST)
            answered = asyncio.create_task(reader.readline())
            # Until the request has arrived, which closing would overtake.
            await asyncio.wait((answered,), timeout=0.2)
            await listener.stop()
            writer.close()
            return await answered
