"""Probe targets whose state is not confirmed by contact with the peers."""

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

_MIN_TICK_S = 0.1
# Selecting the targets to probe takes at most 1/60 of the time.
_SELECTION_TIME_DIVISOR = 60
# Targets are probed this long before their confirmation expires, so that a
# reply arrives in time.
_PROBE_AHEAD_S = 0.35
_PROBE_TIMEOUT_S = 0.3
_PROBES_PER_TICK = 5
_MAX_CONCURRENT_PROBES = 32


class Verifier(mode.Service):
    """Probes targets whose records are unconfirmed or soon will be.

    Parameters
    ----------
    membership
        Selects the targets to probe.
    spread
        Receives the reported states.
    metrics
        Counters of probes by their result.
    """

    def __init__(
        self,
        membership: Membership,
        spread: Spread,
        metrics: Metrics,
    ) -> None:
        """Start without any probe."""
        super().__init__()
        self._membership = membership
        self._spread = spread
        self._metrics = metrics
        self._in_flight: set[str] = set()

    @mode.Service.task
    async def _probe_periodically(self) -> None:
        connector = aiohttp.TCPConnector(
            limit=_MAX_CONCURRENT_PROBES, force_close=True
        )
        async with (
            aiohttp.ClientSession(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            while not self.should_stop:
                started_s = time.monotonic()
                selected = self._select(started_s)
                selection_s = time.monotonic() - started_s
                for member in selected:
                    self._in_flight.add(member.record.address)
                    group.create_task(self._probe(session, member))
                tick_s = max(_MIN_TICK_S, selection_s * _SELECTION_TIME_DIVISOR)
                await self.sleep(tick_s)

    def _select(self, now_s: float) -> list[Member]:
        eligible = (
            member
            for member in self._membership.lapsing(_PROBE_AHEAD_S, now_s)
            if member.record.state_path
            and member.record.address not in self._in_flight
        )
        return list(itertools.islice(eligible, _PROBES_PER_TICK))

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
            self._in_flight.discard(record.address)
        if answered is None:
            self._metrics.count('probes', 'no_state')
            return
        self._metrics.count('probes', answered.state.value)
        self._spread.see(answered)
