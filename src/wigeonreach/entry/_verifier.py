"""Ask targets for their state while a peer that may know more is silent."""

from __future__ import annotations

import asyncio
import itertools
import time

import aiohttp
import mode

from wigeonreach.entry._member import Member
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._spread import Spread
from wigeonreach.entry._target_state import read_target_state
from wigeonreach.observe import Metrics

_SHORTEST_TICK_S = 0.1
# Looking for whom to ask may take one part in this many of the time.
_LOOKING_DIVISOR = 60
# Looked at this long before trust lapses, so that it need not lapse.
_AHEAD_S = 0.35
_PROBE_TIMEOUT_S = 0.3
_PROBES_PER_TICK = 5
_AT_ONCE = 32


class Verifier(mode.Service):
    """Probe targets that this entry can't trust from its records alone.

    Parameters
    ----------
    membership
        Says which targets to look at.
    spread
        Told what they answered.
    metrics
        Counters of probes and why they failed.
    """

    def __init__(
        self,
        membership: Membership,
        spread: Spread,
        metrics: Metrics,
    ) -> None:
        """Start with nothing asked."""
        super().__init__()
        self._membership = membership
        self._spread = spread
        self._metrics = metrics
        self._asked: set[str] = set()

    @mode.Service.task
    async def _keep_looking(self) -> None:
        connector = aiohttp.TCPConnector(limit=_AT_ONCE, force_close=True)
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            while not self.should_stop:
                began_s = time.monotonic()
                chosen = self._choose(began_s)
                looked_s = time.monotonic() - began_s
                for member in chosen:
                    self._asked.add(member.record.address)
                    group.create_task(self._probe(session, member))
                tick_s = max(_SHORTEST_TICK_S, looked_s * _LOOKING_DIVISOR)
                await self.sleep(tick_s)

    def _choose(self, now_s: float) -> list[Member]:
        able = (
            member
            for member in self._membership.lapsing(_AHEAD_S, now_s)
            if member.record.state_path
            and member.record.address not in self._asked
        )
        return list(itertools.islice(able, _PROBES_PER_TICK))

    async def _probe(
        self,
        session: aiohttp.ClientSession,
        member: Member,
    ) -> None:
        record = member.record
        sent_s = time.monotonic()
        try:
            async with session.get(
                f'http://{record.address}{record.state_path}',
                timeout=aiohttp.ClientTimeout(total=_PROBE_TIMEOUT_S),
                allow_redirects=False,
            ) as answer:
                answered = read_target_state(
                    answer.headers,
                    record.address,
                    sent_s,
                )
        except (aiohttp.ClientError, OSError, TimeoutError):
            self._metrics.count('probes', 'no_answer')
            return
        finally:
            self._asked.discard(record.address)
        if answered is None:
            self._metrics.count('probes', 'no_state')
            return
        self._metrics.count('probes', answered.state.value)
        self._spread.see(answered)
