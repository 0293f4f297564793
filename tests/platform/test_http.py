"""Test that requests arriving while a process shuts down get a response.

Guards against a connection that is closed without a response.  In one
simulated run, a request was read 2.8 s after the shutdown began, and its
connection was closed 0.6 s later.  The process had seen no request in flight
and had closed its connections to the core; a request that arrived after that
waited for a core until the listener closed its connection, 0.5 s after it had
stopped listening.  The likely cause is that nothing refused requests in that
interval: its length fits, but a repetition of the run did not reproduce it.
"""

from __future__ import annotations

import asyncio

import testtools
from testtools import matchers

from tests.builders_core import free_addresses
from wigeonreach.platform._http import HttpListener, HttpReply, HttpRequest
from wigeonreach.wire import parse_address

_REQUEST = b'GET /a HTTP/1.1\r\nHost: club.example\r\n\r\n'
# Far above the duration of the test; only ends it if it hangs.
_HANG_TIMEOUT_S = 30.0


async def _never_reply(request: HttpRequest) -> HttpReply:
    """Wait forever, as for a core that is not available any more."""
    await asyncio.Event().wait()
    raise AssertionError


class TestShutdown(testtools.TestCase):
    """A listener that was idle and is about to stop."""

    def test_late_request_is_refused(self) -> None:
        """With 503, which is correct as the request was not forwarded."""
        status = asyncio.run(self._request_late())
        self.assertThat(status, matchers.StartsWith(b'HTTP/1.1 503 '))

    async def _request_late(self) -> bytes:
        """Return the status line of the response to a late request."""
        address = free_addresses(1)[0]
        listener = HttpListener(
            parse_address(address, 'listen'), _never_reply, 0
        )
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            await listener.start()
            host, _, port = address.partition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            listener.disable_keep_alive()
            await listener.refuse_when_idle(1.0)
            writer.write(_REQUEST)
            status_line = asyncio.create_task(reader.readline())
            # Wait until the request has arrived, as stopping would overtake it.
            await asyncio.wait((status_line,), timeout=0.2)
            await listener.stop()
            writer.close()
            return await status_line
