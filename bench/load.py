"""Drive open-loop load through the entries, as a load balancer would."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Sequence

import aiohttp

from bench.cluster import Process

_BALANCER_POLL_S = 0.1
_CALLER_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One request and the response that its caller got."""

    work: str
    service: str
    entry: str
    due_s: float
    answered_s: float
    status: int
    outcome: str
    code: str
    body: str

    @property
    def is_answered(self) -> bool:
        """Whether the caller has a target's answer."""
        return self.outcome == 'ran'


class Load:
    """Send requests at a fixed rate, independent of responses.

    Parameters
    ----------
    entries
        The entries behind the balancer.
    services
        Services asked for, chosen evenly.
    rate_per_s
        Requests a second.
    seed
        Seed of every random choice.
    """

    def __init__(
        self,
        entries: Sequence[Process],
        services: Sequence[str],
        rate_per_s: float,
        seed: int = 1,
    ) -> None:
        """Prepare; nothing is sent yet."""
        self._entries = entries
        self._services = services
        self._rate_per_s = rate_per_s
        self._rng = random.Random(seed)  # noqa: S311
        self._ready = list(entries)
        self.calls: list[Call] = []

    async def run(self, length_s: float) -> list[Call]:
        """Drive load for a while and wait for the last answer.

        Parameters
        ----------
        length_s
            How long to send, in seconds.

        Returns
        -------
        list of Call
            One for each request sent.
        """
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            balancer = asyncio.ensure_future(self._watch_readiness(session))
            try:
                await self._send_all(session, length_s)
            finally:
                balancer.cancel()
        return self.calls

    async def _send_all(
        self,
        session: aiohttp.ClientSession,
        length_s: float,
    ) -> None:
        start_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(int(self._rate_per_s * length_s)):
                due_s = start_s + number / self._rate_per_s
                await asyncio.sleep(max(0, due_s - time.monotonic()))
                group.create_task(self._send(session, number, due_s))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        number: int,
        due_s: float,
    ) -> None:
        work = f'w{number}-{self._rng.getrandbits(32):08x}'
        service = self._services[number % len(self._services)]
        tried: set[str] = set()
        while True:
            entry = self._pick(tried)
            tried.add(entry.name)
            try:
                call = await self._request(session, entry, service, work, due_s)
            except aiohttp.ClientConnectorError:
                # Nothing was sent, so a load balancer may try another entry.
                if len(tried) < len(self._entries):
                    continue
                call = _lost(work, service, entry, due_s, 'not-run')
            except (aiohttp.ClientError, OSError, TimeoutError):
                call = _lost(work, service, entry, due_s, 'lost')
            self.calls.append(call)
            return

    def _pick(self, tried: set[str]) -> Process:
        ready = [one for one in self._ready if one.name not in tried]
        fresh = [one for one in self._entries if one.name not in tried]
        return self._rng.choice(ready or fresh)

    async def _request(
        self,
        session: aiohttp.ClientSession,
        entry: Process,
        service: str,
        work: str,
        due_s: float,
    ) -> Call:
        async with session.post(
            f'http://{entry.http}/s/{service}/work',
            data=work,
            timeout=aiohttp.ClientTimeout(total=_CALLER_TIMEOUT_S),
        ) as answer:
            body = await answer.text()
            return Call(
                work=work,
                service=service,
                entry=entry.name,
                due_s=due_s,
                answered_s=time.monotonic(),
                status=answer.status,
                outcome=answer.headers.get('X-Outcome', ''),
                code=answer.headers.get('X-Result-Code', ''),
                body=body,
            )

    async def _watch_readiness(self, session: aiohttp.ClientSession) -> None:
        while True:
            readiness = await asyncio.gather(
                *(_is_ready(session, entry) for entry in self._entries),
            )
            self._ready = [
                entry
                for entry, ready in zip(self._entries, readiness, strict=True)
                if ready
            ]
            await asyncio.sleep(_BALANCER_POLL_S)


async def _is_ready(session: aiohttp.ClientSession, entry: Process) -> bool:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
        async with session.get(
            f'http://{entry.http}/readyz',
            timeout=aiohttp.ClientTimeout(total=1),
        ) as answer:
            return answer.status == 200
    return False


def _lost(
    work: str,
    service: str,
    entry: Process,
    due_s: float,
    outcome: str,
) -> Call:
    now_s = time.monotonic()
    return Call(work, service, entry.name, due_s, now_s, 0, outcome, '', '')
