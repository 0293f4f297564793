"""Announcement of a stand-in target to the entries."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import time
from typing import Final

import aiohttp
import msgspec

STATE_PATH: Final = '/wigeonreach/state'
_TIMEOUT_S: Final = 0.5
_RETRY_S: Final = 0.05
_FIRST_INTERVAL_S: Final = 0.5
_INTERVALS_PER_LEASE: Final = 4
_FULLY_REPLICATED: Final = 204
_PARTLY_REPLICATED: Final = 202


class Announcement(msgspec.Struct, frozen=True, omit_defaults=True):
    """JSON body of ``POST /v1/targets``."""

    target_id: str
    service: str
    address: str
    incarnation_ns: int
    sequence: int
    state: str
    lease_s: float
    state_path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncerOptions:
    """How a target announces itself.

    A naive target offers its state neither at a path nor in headers, and
    treats any accepted announcement of its leave as sufficient.  An interval
    of 0 means the one that the entries request; a lease of 0 means four
    intervals.
    """

    entries: tuple[str, ...]
    interval_s: float = 0
    lease_s: float = 0
    is_naive: bool = False


class Announcer:
    """Announces a target to the entries, and later that it leaves.

    Parameters
    ----------
    target_id, service, address
        Identity of the target.
    options
        Entries, intervals and behaviour.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        address: str,
        options: AnnouncerOptions,
    ) -> None:
        """Begin a new incarnation."""
        self._target_id = target_id
        self._service = service
        self._address = address
        self._options = options
        self._sequence = 0
        self._interval_s = options.interval_s or _FIRST_INTERVAL_S
        self._informed: set[str] = set()
        self._leaving = asyncio.Event()
        self._rng = random.Random(target_id)  # noqa: S311
        self.incarnation_ns = time.time_ns()

    @property
    def state(self) -> str:
        """State that the target announces."""
        return 'leaving' if self._leaving.is_set() else 'serving'

    @property
    def headers(self) -> dict[str, str]:
        """Headers of each response of the target."""
        if self._options.is_naive:
            return {}
        return {
            'X-Target-State': self.state,
            'X-Target-Incarnation': str(self.incarnation_ns),
        }

    def leave(self) -> None:
        """Announce from now on that the target is leaving."""
        self._leaving.set()

    async def run(self) -> None:
        """Announce until the target leaves and enough entries know of it."""
        async with aiohttp.ClientSession() as session:
            while not self._leaving.is_set():
                await self._announce(session, self._choose_entry())
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._leaving.wait(), self._interval_s
                    )
            while not await self._announce_leave(session):
                await asyncio.sleep(_RETRY_S)

    async def _announce_leave(self, session: aiohttp.ClientSession) -> bool:
        entry = self._choose_entry()
        status = await self._announce(session, entry)
        if status == _PARTLY_REPLICATED:
            self._informed.add(entry)
            is_all = len(self._informed) == len(self._options.entries)
            return is_all or self._options.is_naive
        return status == _FULLY_REPLICATED

    def _choose_entry(self) -> str:
        entries = self._options.entries
        fresh = [entry for entry in entries if entry not in self._informed]
        return self._rng.choice(fresh or entries)

    async def _announce(
        self,
        session: aiohttp.ClientSession,
        entry: str,
    ) -> int:
        # The first announcement must not be lost: it tells the entries that
        # none of them can have a request in flight here yet.
        if not self._sequence and not await _is_up(session, entry):
            return 0
        self._sequence += 1
        try:
            async with session.post(
                f'http://{entry}/v1/targets',
                data=msgspec.json.encode(self._announcement()),
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as answer:
                self._adopt_interval(answer)
                return answer.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    def _adopt_interval(self, answer: aiohttp.ClientResponse) -> None:
        asked_s = float(answer.headers.get('X-Announce-After-S', '0'))
        if asked_s and not self._options.interval_s:
            self._interval_s = asked_s

    def _announcement(self) -> Announcement:
        lease_s = self._options.lease_s
        return Announcement(
            target_id=self._target_id,
            service=self._service,
            address=self._address,
            incarnation_ns=self.incarnation_ns,
            sequence=self._sequence,
            state=self.state,
            lease_s=lease_s or self._interval_s * _INTERVALS_PER_LEASE,
            state_path='' if self._options.is_naive else STATE_PATH,
        )


async def _is_up(session: aiohttp.ClientSession, entry: str) -> bool:
    try:
        async with session.get(
            f'http://{entry}/healthz',
            timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
        ) as answer:
            return answer.ok
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
