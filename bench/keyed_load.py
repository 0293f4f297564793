"""Drive callers that resend lost requests, with or without keys."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time
from collections.abc import Sequence

import aiohttp
import msgspec

from bench.cluster import Process

_REQUEST_TIMEOUT_S = 1.5
_RETRY_PAUSE_S = 0.2
_MAX_TRIES = 12
_DUPLICATE_RATIO = 0.3
_LOST_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)
_FINAL_OUTCOMES = frozenset(('ran', 'not-run'))


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The response to one copy of a request; empty if none arrived."""

    entry: str
    outcome: str = ''
    code: str = ''
    body: str = ''


@dataclasses.dataclass(slots=True)
class KeyedCall:
    """One work item and all responses that its caller got."""

    work: str
    sent_s: float
    key: str = ''
    replies: list[Reply] = dataclasses.field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """Whether the caller has a target's answer."""
        return any(
            reply.outcome == 'ran' and reply.code == '0'
            for reply in self.replies
        )


class _KeyBody(msgspec.Struct, frozen=True):
    key: str


class KeyedLoad:
    """Callers that choose entries at random, whether or not they are up.

    Parameters
    ----------
    entries
        Entries to choose from, for each copy of a request.
    service
        Service to call.
    rate_per_s
        Work items per second.
    seed
        Seed of every random choice.
    has_keys
        Whether callers use idempotency keys; if not, they resend without.
    """

    def __init__(
        self,
        entries: Sequence[Process],
        service: str,
        rate_per_s: float,
        seed: int,
        *,
        has_keys: bool,
    ) -> None:
        """Prepare; nothing is sent yet."""
        self._entries = entries
        self._service = service
        self._rate_per_s = rate_per_s
        self._rng = random.Random(seed)  # noqa: S311
        self._label = f'{"keyed" if has_keys else "blind"}-{seed}'
        self._has_keys = has_keys
        self.calls: list[KeyedCall] = []

    async def run(self, length_s: float) -> list[KeyedCall]:
        """Drive load for a while and wait for every caller to end.

        Parameters
        ----------
        length_s
            How long to send, in seconds.

        Returns
        -------
        list of KeyedCall
            One for each piece of work.
        """
        connector = aiohttp.TCPConnector(limit=0)
        start_s = time.monotonic()
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
        ) as session:
            async with asyncio.TaskGroup() as group:
                for number in range(int(self._rate_per_s * length_s)):
                    due_s = start_s + number / self._rate_per_s
                    await asyncio.sleep(max(0, due_s - time.monotonic()))
                    group.create_task(self._call(session, number))
        return self.calls

    async def _call(self, session: aiohttp.ClientSession, number: int) -> None:
        call = KeyedCall(f'{self._label}-{number}', time.monotonic())
        self.calls.append(call)
        if self._has_keys:
            call.key = await self._get_key(session)
            if not call.key:
                return
        copies = 1
        if self._has_keys and self._rng.random() < _DUPLICATE_RATIO:
            copies = 2
        await asyncio.gather(
            *(self._send_until_final(session, call) for _ in range(copies)),
        )

    async def _get_key(self, session: aiohttp.ClientSession) -> str:
        for _ in range(_MAX_TRIES):
            entry = self._rng.choice(self._entries)
            try:
                async with session.post(
                    f'http://{entry.http}/v1/keys/{self._service}',
                ) as answer:
                    body = await answer.read()
            except _LOST_ERRORS:
                continue
            if answer.status == 201:
                return msgspec.json.decode(body, type=_KeyBody).key
            await asyncio.sleep(_RETRY_PAUSE_S)
        return ''

    async def _send_until_final(
        self,
        session: aiohttp.ClientSession,
        call: KeyedCall,
    ) -> None:
        for _ in range(_MAX_TRIES):
            entry = self._rng.choice(self._entries)
            try:
                reply = await self._send(session, entry, call)
            except _LOST_ERRORS:
                reply = Reply(entry.name)
            call.replies.append(reply)
            if reply.outcome in _FINAL_OUTCOMES:
                return
            await asyncio.sleep(_RETRY_PAUSE_S)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        entry: Process,
        call: KeyedCall,
    ) -> Reply:
        headers = {'Idempotency-Key': call.key} if call.key else {}
        async with session.post(
            f'http://{entry.http}/s/{self._service}/work',
            data=call.work,
            headers=headers,
        ) as answer:
            return Reply(
                entry=entry.name,
                outcome=answer.headers.get('X-Outcome', ''),
                code=answer.headers.get('X-Result-Code', ''),
                body=await answer.text(),
            )
