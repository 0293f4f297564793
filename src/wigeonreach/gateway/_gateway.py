"""Bring calls to the leading core process, whoever that is."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterable

import mode

from wigeonreach.gateway._denials import Denials
from wigeonreach.gateway._link import CoreLink
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.wire._call_messages import READS, AnyCall
from wigeonreach.wire._call_replies import (
    AnyReply,
    NotDone,
    Unknown,
    WhyNot,
    lacks_leader,
)

# How long a call waits for a leader before it is refused: most elections are
# over by then, and a caller that is refused loses at least a second.
_LEADER_WAIT_S = 0.8
# An election takes some 1.5 s.  Without a leader for longer something is
# down: callers are told at once, and had better come back later, as they have
# few tries.
_LONG_OUTAGE_S = 1.5
_RETRY_SOON_S = 1
_RETRY_LATER_S = 2
_RETRY_S = 0.05
# Core processes are named anew at least so often.
_LOOK_S = 1.0
# To a core process that doesn't lead, and from there to the leader.
_HOPS = 1
# Twice the time between two notices: a version that a leader told longer ago may
# have been replaced.
_FRESH_S = 0.8
# A core process that nobody has named for so long is forgotten.
_FORGET_CORE_S = 60.0


class Gateway(mode.Service):
    """Channels to all core processes.

    Parameters
    ----------
    process
        Name of this process.
    seeds
        Addresses of some core processes; the others are learned from them.
    logger, metrics
        Where events are logged and calls counted.
    """

    def __init__(
        self,
        process: str,
        seeds: Iterable[str],
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Connect once started."""
        super().__init__()
        self._process = process
        self._seeds = tuple(seeds)
        self._log = logger
        self._metrics = metrics
        self._links: dict[str, CoreLink] = {}
        self._named_s: dict[str, float] = {}
        self._denials = Denials()
        self._changed = asyncio.Event()
        self._leader = ''
        self._leaderless_since_s: float | None = time.monotonic()

    @property
    def cores(self) -> tuple[str, ...]:
        """Addresses of the core processes that are known."""
        return tuple(sorted(self._links))

    @property
    def leader(self) -> str:
        """Address of the leader, or nothing if none is known."""
        return self._leader

    @property
    def has_leader(self) -> bool:
        """Whether a call would reach a leader, as far as is known."""
        return self._best_link() is not None

    async def on_started(self) -> None:
        """Connect to the seeds."""
        await self._open_links()

    def reaches(self, core: str) -> bool:
        """Whether there is a channel to a core process."""
        link = self._links.get(core)
        return link is not None and link.is_open

    def change_seeds(self, seeds: Iterable[str]) -> None:
        """Take other seeds; known core processes stay known."""
        self._seeds = tuple(seeds)
        self._changed.set()

    async def call(self, call: AnyCall, timeout_s: float) -> AnyReply:
        """Make a call and return the reply of the leader.

        A call is made again if its reply was lost, as each has one effect.

        Parameters
        ----------
        call
            What is asked.
        timeout_s
            How long the caller waits.

        Returns
        -------
        AnyReply
            ``NotDone`` if the call truly had no effect, ``Unknown`` if that
            is not known.
        """
        due_s = time.monotonic() + timeout_s
        denied = self._denials.find(call, self._version_in_force())
        if denied is not None:
            return denied
        may_have_run = False
        while True:
            link = await self._reach_leader(due_s, may_have_run)
            left_s = due_s - time.monotonic()
            if link is None or left_s <= 0:
                return self._give_up(may_have_run)
            reply = await link.call(call, _HOPS, left_s)
            if reply is None:
                may_have_run = not isinstance(call, READS)
                self._metrics.count('call_retries', 'reply-lost')
            elif lacks_leader(reply):
                self._metrics.count('call_retries', 'no-leader')
            else:
                self._denials.note(call, reply)
                return reply
            await asyncio.sleep(_RETRY_S)

    @mode.Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LOOK_S):
                    await self._changed.wait()
            self._changed.clear()
            await self._open_links()
            self._note_leader()

    def _give_up(self, may_have_run: bool) -> AnyReply:
        if may_have_run:
            self._metrics.count('calls_failed', 'outcome-unknown')
            return Unknown()
        self._metrics.count('calls_failed', 'no-leader')
        is_long = self._outage_s() > _LONG_OUTAGE_S
        return NotDone(
            WhyNot.NO_LEADER,
            _RETRY_LATER_S if is_long else _RETRY_SOON_S,
        )

    def _outage_s(self) -> float:
        """Return for how long no leader has been known."""
        since_s = self._leaderless_since_s
        return 0.0 if since_s is None else time.monotonic() - since_s

    async def _reach_leader(
        self,
        due_s: float,
        may_have_run: bool,
    ) -> CoreLink | None:
        """Return a channel to the leader, or None if waiting for one is in vain.

        A call that may have run is waited with for as long as its caller does:
        only the next leader can tell, and a refusal would not be true.
        """
        is_long = self._outage_s() > _LONG_OUTAGE_S
        wait_s = _RETRY_S if is_long else _LEADER_WAIT_S
        wait_until_s = min(due_s, time.monotonic() + wait_s)
        if may_have_run:
            wait_until_s = due_s
        while True:
            link = self._best_link()
            if link is not None or time.monotonic() >= wait_until_s:
                return link
            await asyncio.sleep(_RETRY_S)

    def _best_link(self) -> CoreLink | None:
        """Return the leader's channel, or one to who can reach the leader."""
        told = [
            link
            for link in self._links.values()
            if link.is_open and link.notice is not None and link.notice.leader
        ]
        if not told:
            return None
        newest = max(link.notice.term for link in told if link.notice)
        current = [
            link for link in told if link.notice and link.notice.term == newest
        ]
        leader = current[0].notice.leader if current[0].notice else ''
        direct = self._links.get(leader)
        if direct is not None and direct.is_open:
            return direct
        return current[0]

    async def _open_links(self) -> None:
        now_s = time.monotonic()
        named = set(self._seeds)
        for link in self._links.values():
            if link.notice is not None:
                named.update(link.notice.cores)
        named.discard(self._process)
        for core in named:
            self._named_s[core] = now_s
        for new in sorted(named - self._links.keys()):
            opened = CoreLink(new, self._process, self._changed.set, self._log)
            self._links[new] = opened
            await opened.start()
        await self._close_forgotten(now_s)

    async def _close_forgotten(self, now_s: float) -> None:
        for core, named_s in list(self._named_s.items()):
            if now_s - named_s > _FORGET_CORE_S:
                self._named_s.pop(core)
                await self._links.pop(core).stop()

    def _version_in_force(self) -> int:
        """Return the manifest's version at the leader, or 0 if it is not sure."""
        link = self._best_link()
        if (
            link is None
            or link.notice is None
            or link.core != link.notice.leader
        ):
            return 0
        is_fresh = time.monotonic() - link.noticed_s <= _FRESH_S
        return link.notice.version if is_fresh else 0

    def _note_leader(self) -> None:
        link = self._best_link()
        leader = link.notice.leader if link and link.notice else ''
        if leader == self._leader:
            return
        event = LogEvent.LEADER_KNOWN if leader else LogEvent.LEADER_UNKNOWN
        self._log.info(event, leader=leader, before=self._leader)
        self._leader = leader
        self._leaderless_since_s = None if leader else time.monotonic()

    async def on_stop(self) -> None:
        """Close all channels."""
        for link in self._links.values():
            await link.stop()
