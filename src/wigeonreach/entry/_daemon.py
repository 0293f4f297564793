"""Assemble, start and stop the services of an entry."""

from __future__ import annotations

import asyncio
import random
import time

import mode
from aiohttp import web

from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._config_header import tell_versions
from wigeonreach.entry._config_peers import ConfigPeers
from wigeonreach.entry._credits import WORK_GRACE_S, Sharer
from wigeonreach.entry._credits_daemon import CreditDaemon
from wigeonreach.entry._gate import Gate
from wigeonreach.entry._lifecycle import Lifecycle, LifecycleEvent
from wigeonreach.entry._listener import Listener, end_idle_connections
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._pages import EntryEndpoints
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._proxy import Proxy
from wigeonreach.entry._routing import Router
from wigeonreach.entry._server import EntryRunner, refuse_unknown_path
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.entry._spread import Spread
from wigeonreach.entry._verifier import Verifier
from wigeonreach.observe import LogEvent, Logger, Metrics

_POLL_S = 0.02
# An entry that can't reach its peers becomes ready anyway after this time.
_PEER_SYNC_TIMEOUT_S = 3.0
# A request that was sent before its connection was closed arrives within this.
_IN_TRANSIT_S = 0.3
# Requests that outlast the drain are aborted after this time.
_SHUTDOWN_TIMEOUT_S = 0.2


class Entry(mode.Service):
    """The process of one entry VM.

    Parameters
    ----------
    settings
        Identity, addresses and limits of this entry.
    logger
        Where events are logged.
    """

    def __init__(self, settings: EntrySettings, logger: Logger) -> None:
        """Create the services; nothing is served before ``start``."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self._metrics = Metrics()
        self._lifecycle = Lifecycle()
        self._gate = Gate(self._lifecycle, self._metrics)
        self._membership = Membership(settings.zone)
        self._config = ConfigFollower(settings, self._metrics, logger)
        self._peers = PeerExchange(settings, logger)
        self._config_peers = ConfigPeers(self._config, self._peers)
        self._spread = Spread(
            self._membership,
            self._peers,
            self._metrics,
            logger,
        )
        self._verifier = Verifier(
            self._membership,
            self._spread,
            self._metrics,
        )
        self._router = Router(
            self._build_sharer(),
            self._membership,
            random.Random(),  # noqa: S311 - not security-sensitive
            self._max_work_s,
        )
        self._credits = CreditDaemon(
            self._router,
            self._peers,
            self._metrics,
            logger,
        )
        self._proxy = Proxy(
            settings,
            self._config,
            self._router,
            self._metrics,
            random.Random(),  # noqa: S311 - not security-sensitive
            self._peers,
            self._lifecycle,
            self._spread.see,
        )
        self._runner: web.AppRunner | None = None
        self._listener: Listener | None = None

    async def on_start(self) -> None:
        """Start every service and listen for HTTP last."""
        services = (
            self._config,
            self._peers,
            self._spread,
            self._verifier,
            self._config_peers,
            self._credits,
        )
        for service in services:
            await self.add_runtime_dependency(service)
        await self._proxy.open()
        self._runner = EntryRunner(
            self._build_application(),
            self._settings.head_timeout_s,
            _SHUTDOWN_TIMEOUT_S,
            self._metrics,
            self._log,
        )
        await self._runner.setup()
        self._listener = Listener(self._runner, self._settings.http)
        await self._listener.open()
        self.add_future(self._become_ready())

    async def drain(self) -> None:
        """Withdraw readiness, then wait for the requests in flight to end."""
        self._lifecycle.apply(LifecycleEvent.TOLD_TO_STOP)
        await asyncio.sleep(self._settings.readiness_notice_s)
        self._lifecycle.apply(LifecycleEvent.NOTICE_GIVEN)
        deadline_s = time.monotonic() + self._settings.max_deadline_s
        await self._wait_until_idle(deadline_s)
        if self._listener is not None:
            await self._listener.close()
        # A caller with a new or kept-alive connection may be sending a
        # request; it still receives a response that says that it did not run.
        await asyncio.sleep(_IN_TRANSIT_S)
        await self._wait_until_idle(deadline_s)
        aborted = self._count_in_flight()
        if aborted:
            self._lifecycle.apply(LifecycleEvent.BOUND_PASSED)
            self._log.warning(LogEvent.DRAIN_CUT_OFF, requests=aborted)
        else:
            self._lifecycle.apply(LifecycleEvent.NOTHING_IN_FLIGHT)
            self._log.info(LogEvent.DRAIN_FINISHED)

    async def on_stop(self) -> None:
        """Close the remaining connections."""
        await self._config.leave()
        if self._runner is not None:
            end_idle_connections(self._runner)
            await asyncio.sleep(_IN_TRANSIT_S)
            await self._runner.cleanup()
        await self._proxy.close()

    async def _wait_until_idle(self, deadline_s: float) -> None:
        while self._count_in_flight() and time.monotonic() < deadline_s:
            await asyncio.sleep(_POLL_S)

    def _count_in_flight(self) -> int:
        return self._gate.in_flight + self._proxy.forwarded_in_flight

    async def _become_ready(self) -> None:
        """Wait for contact with peers and targets, then become ready."""
        now_s = time.monotonic()
        deadline_s = now_s + _PEER_SYNC_TIMEOUT_S
        while now_s < deadline_s:
            is_in_contact = self._peers.is_zone_in_contact(now_s)
            if is_in_contact and not self._membership.lapsing(0, now_s):
                break
            await self.sleep(_POLL_S)
            now_s = time.monotonic()
        self._lifecycle.apply(LifecycleEvent.LEARNED)

    def _build_sharer(self) -> Sharer:
        settings = self._settings
        return Sharer(
            name=settings.name,
            zone=settings.zone,
            incarnation_ns=self._peers.incarnation_ns,
            started_s=time.monotonic(),
            zone_peers=tuple(peer.name for peer in settings.zone_peers),
            foreign_peers=tuple(peer.name for peer in settings.foreign_peers),
        )

    def _max_work_s(self, service: str) -> float:
        text = self._config.text
        if text is None or service not in text.services:
            return self._settings.max_deadline_s + WORK_GRACE_S
        return text.services[service].deadline_s + WORK_GRACE_S

    def _build_application(self) -> web.Application:
        application = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=(self._gate.handle,),
        )
        tell_versions(application, self._config, self._metrics)
        EntryEndpoints(
            settings=self._settings,
            config=self._config,
            membership=self._membership,
            spread=self._spread,
            credits=self._credits,
            lifecycle=self._lifecycle,
            gate=self._gate,
            metrics=self._metrics,
        ).add_to(application)
        application.router.add_post(
            '/v1/keys/{service}',
            self._proxy.issue_key,
        )
        application.router.add_route(
            '*',
            '/s/{service}/{tail:.*}',
            self._proxy.handle,
        )
        application.router.add_route('*', '/{tail:.*}', refuse_unknown_path)
        return application
