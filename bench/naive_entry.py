"""Forward requests without any limit, as a baseline for the entry.

The proxy chooses targets at random, admits all requests, and retries each
failed or slow attempt at once, without a budget, until the caller's deadline.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time

import aiohttp
import msgspec
from aiohttp import web

_MS_PER_S = 1000
_ATTEMPTS_PER_DEADLINE = 3
_SERVER_ERROR = 500


class _Announcement(msgspec.Struct):
    address: str


class NaiveEntry:
    """A proxy with random routing and unbounded retries.

    Parameters
    ----------
    targets
        Number of targets to wait for before it is ready.
    """

    def __init__(self, targets: int) -> None:
        """Start without any known target."""
        self._expected = targets
        self._targets: list[str] = []
        self._rng = random.Random(1)  # noqa: S311
        self._session: aiohttp.ClientSession | None = None

    async def serve(self, address: str) -> None:
        """Serve until the process ends.

        Parameters
        ----------
        address
            ``IP:PORT`` to listen on.
        """
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )
        application = web.Application()
        application.router.add_post('/v1/targets', self._on_announce)
        application.router.add_get('/healthz', self._on_health)
        application.router.add_get('/readyz', self._on_ready)
        application.router.add_route(
            '*',
            '/s/{service}/{tail:.*}',
            self._on_request,
        )
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        host, _, port = address.rpartition(':')
        await web.TCPSite(runner, host, int(port)).start()
        await asyncio.Event().wait()

    async def _on_announce(self, request: web.Request) -> web.Response:
        announced = msgspec.json.decode(
            await request.read(),
            type=_Announcement,
        )
        if announced.address not in self._targets:
            self._targets.append(announced.address)
        return web.Response(status=204)

    async def _on_health(self, _request: web.Request) -> web.Response:
        return web.Response()

    async def _on_ready(self, _request: web.Request) -> web.Response:
        is_ready = len(self._targets) == self._expected
        return web.Response(status=200 if is_ready else 503)

    async def _on_request(self, request: web.Request) -> web.Response:
        deadline_ms = int(request.headers['X-Deadline-Ms'])
        due_s = time.monotonic() + deadline_ms / _MS_PER_S
        attempt_s = deadline_ms / _MS_PER_S / _ATTEMPTS_PER_DEADLINE
        body = await request.read()
        while time.monotonic() < due_s:
            answer = await self._attempt(body, attempt_s)
            if answer is not None:
                return answer
        return web.Response(status=504)

    async def _attempt(
        self,
        body: bytes,
        timeout_s: float,
    ) -> web.Response | None:
        assert self._session is not None
        target = self._rng.choice(self._targets)
        try:
            async with self._session.post(
                f'http://{target}/work',
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as answer:
                whole = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None
        if answer.status >= _SERVER_ERROR:
            return None
        return web.Response(body=whole, headers={'X-Outcome': 'ran'})


if __name__ == '__main__':
    asyncio.run(NaiveEntry(int(sys.argv[2])).serve(sys.argv[1]))
