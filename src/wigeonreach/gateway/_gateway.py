"""Route calls to the current leader of the core processes."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterable

import mode

from wigeonreach.gateway._denials import DenialCache
from wigeonreach.gateway._link import CoreLink
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.wire._call_messages import READS, AnyCall
from wigeonreach.wire._call_replies import (
    AnyReply,
    NotDone,
    Unknown,
    WhyNot,
    is_refusal,
    lacks_leader,
)

# How long a call waits for a leader before it is rejected: most elections are
# over by then, and a rejected caller loses at least a second.
_LEADER_WAIT_S = 0.8
# An election takes about 1.5 s.  If there is no leader for longer, something is
# down: callers are rejected immediately and told to retry later, as they only
# retry a few times.
_LONG_OUTAGE_S = 1.5
_SHORT_RETRY_AFTER_S = 1
_LONG_RETRY_AFTER_S = 2
_POLL_INTERVAL_S = 0.05
# Links are refreshed from the seeds and notices at least this often.
_REFRESH_INTERVAL_S = 1.0
# A core process that does not lead may forward the call to the leader.
_MAX_HOPS = 1
# Twice the interval of notices: the manifest version in an older notice may have
# been replaced.
_MAX_NOTICE_AGE_S = 0.8
# A core process that no seed or notice has listed for this long is removed.
_CORE_EXPIRY_S = 60.0


class Gateway(mode.Service):
    """Keeps links to all core processes, and makes calls to the leader.

    Parameters
    ----------
    process
        Name of this process.
    seeds
        Addresses of some core processes; the others are discovered from them.
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
        """Create a gateway; connections are opened on start."""
        super().__init__()
        self._process = process
        self._seeds = tuple(seeds)
        self._log = logger
        self._metrics = metrics
        self._links: dict[str, CoreLink] = {}
        self._last_listed_s: dict[str, float] = {}
        self._denials = DenialCache()
        self._changed = asyncio.Event()
        self._leader = ''
        self._leaderless_since_s: float | None = time.monotonic()

    @property
    def cores(self) -> tuple[str, ...]:
        """Addresses of the known core processes."""
        return tuple(sorted(self._links))

    @property
    def leader(self) -> str:
        """Address of the leader, or an empty string if none is known."""
        return self._leader

    @property
    def has_leader(self) -> bool:
        """Whether an open link can reach the leader, directly or forwarded."""
        return self._best_link() is not None

    async def on_started(self) -> None:
        """Connect to the seeds."""
        await self._open_links()

    def reaches(self, core: str) -> bool:
        """Whether the link to a core process is open."""
        link = self._links.get(core)
        return link is not None and link.is_open

    def change_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds; links to known core processes stay."""
        self._seeds = tuple(seeds)
        self._changed.set()

    async def call(self, call: AnyCall, timeout_s: float) -> AnyReply:
        """Make a call and return the leader's reply.

        A call is retried if its reply was lost or the core process knew no
        leader; this is safe, as all calls are idempotent.

        Parameters
        ----------
        call
            The call to make.
        timeout_s
            How long the caller waits, in seconds.

        Returns
        -------
        AnyReply
            A refusal, such as ``NotDone``, if the call certainly had no effect,
            ``Unknown`` if it may have had one.
        """
        due_s = time.monotonic() + timeout_s
        denial = self._denials.find(call, self._leader_manifest_version())
        if denial is not None:
            return denial
        may_have_run = False
        while True:
            link = await self._wait_for_leader(due_s, may_have_run)
            left_s = due_s - time.monotonic()
            if link is None or left_s <= 0:
                return self._failure_reply(may_have_run)
            reply = await link.call(call, _MAX_HOPS, left_s)
            if reply is None:
                may_have_run = not isinstance(call, READS)
                self._metrics.count('call_retries', 'reply-lost')
            elif lacks_leader(reply):
                self._metrics.count('call_retries', 'no-leader')
            else:
                self._denials.add(call, reply)
                return self._final_reply(reply, may_have_run)
            await asyncio.sleep(_POLL_INTERVAL_S)

    @mode.Service.task
    async def _refresh_links(self) -> None:
        while not self.should_stop:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_REFRESH_INTERVAL_S):
                    await self._changed.wait()
            self._changed.clear()
            await self._open_links()
            self._update_leader()

    def _final_reply(self, reply: AnyReply, may_have_run: bool) -> AnyReply:
        """Return the reply for the caller of a call.

        A refusal is true of the last try only: a manifest may have dropped the
        queue or withdrawn the credential since an earlier try took effect.
        """
        if may_have_run and is_refusal(reply):
            self._metrics.count('calls_failed', 'refused-after-lost-reply')
            return Unknown()
        return reply

    def _failure_reply(self, may_have_run: bool) -> AnyReply:
        if may_have_run:
            self._metrics.count('calls_failed', 'outcome-unknown')
            return Unknown()
        self._metrics.count('calls_failed', 'no-leader')
        is_long = self._outage_s() > _LONG_OUTAGE_S
        return NotDone(
            WhyNot.NO_LEADER,
            _LONG_RETRY_AFTER_S if is_long else _SHORT_RETRY_AFTER_S,
        )

    def _outage_s(self) -> float:
        """Return for how many seconds no leader has been known."""
        since_s = self._leaderless_since_s
        return 0.0 if since_s is None else time.monotonic() - since_s

    async def _wait_for_leader(
        self,
        due_s: float,
        may_have_run: bool,
    ) -> CoreLink | None:
        """Return a link to the leader, or None if there is none in time.

        A call that may have run waits until its caller's timeout: only the next
        leader knows the outcome, and it could be wrong to report a failure.
        """
        is_long = self._outage_s() > _LONG_OUTAGE_S
        wait_s = _POLL_INTERVAL_S if is_long else _LEADER_WAIT_S
        wait_until_s = min(due_s, time.monotonic() + wait_s)
        if may_have_run:
            wait_until_s = due_s
        while True:
            link = self._best_link()
            if link is not None or time.monotonic() >= wait_until_s:
                return link
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _best_link(self) -> CoreLink | None:
        """Return the link to the leader, or one that can forward to it."""
        informed = [
            link
            for link in self._links.values()
            if link.is_open and link.notice is not None and link.notice.leader
        ]
        if not informed:
            return None
        newest = max(link.notice.term for link in informed if link.notice)
        current = [
            link
            for link in informed
            if link.notice and link.notice.term == newest
        ]
        leader = current[0].notice.leader if current[0].notice else ''
        direct = self._links.get(leader)
        if direct is not None and direct.is_open:
            return direct
        return current[0]

    async def _open_links(self) -> None:
        now_s = time.monotonic()
        listed = set(self._seeds)
        for link in self._links.values():
            if link.notice is not None:
                listed.update(link.notice.cores)
        listed.discard(self._process)
        for core in listed:
            self._last_listed_s[core] = now_s
        for new in sorted(listed - self._links.keys()):
            new_link = CoreLink(
                new, self._process, self._changed.set, self._log
            )
            self._links[new] = new_link
            await new_link.start()
        await self._close_expired(now_s)

    async def _close_expired(self, now_s: float) -> None:
        for core, listed_s in list(self._last_listed_s.items()):
            if now_s - listed_s > _CORE_EXPIRY_S:
                self._last_listed_s.pop(core)
                await self._links.pop(core).stop()

    def _leader_manifest_version(self) -> int:
        """Return the leader's manifest version, or 0 if it is uncertain."""
        link = self._best_link()
        if (
            link is None
            or link.notice is None
            or link.core != link.notice.leader
        ):
            return 0
        is_fresh = (
            time.monotonic() - link.notice_received_s <= _MAX_NOTICE_AGE_S
        )
        return link.notice.version if is_fresh else 0

    def _update_leader(self) -> None:
        link = self._best_link()
        leader = link.notice.leader if link and link.notice else ''
        if leader == self._leader:
            return
        event = LogEvent.LEADER_KNOWN if leader else LogEvent.LEADER_UNKNOWN
        self._log.info(event, leader=leader, before=self._leader)
        self._leader = leader
        self._leaderless_since_s = None if leader else time.monotonic()

    async def on_stop(self) -> None:
        """Close all links."""
        for link in self._links.values():
            await link.stop()
