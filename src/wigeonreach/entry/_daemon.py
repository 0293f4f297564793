"""Put the parts of an entry together."""

from __future__ import annotations

import random
import time

import mode
import msgspec
from aiohttp import web

from wigeonreach.codes import Outcome
from wigeonreach.entry._announce import read_announcement
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._config_header import tell_versions
from wigeonreach.entry._config_peers import ConfigPeers
from wigeonreach.entry._credits import WORK_GRACE_S, Sharer
from wigeonreach.entry._credits_daemon import CreditDaemon
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._peers import PeerExchange
from wigeonreach.entry._proxy import Proxy
from wigeonreach.entry._replies import error_reply
from wigeonreach.entry._routing import Router
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.entry._spread import Spread
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.observe import LogEvent, Logger, Metrics

_EXPIRY_CHECK_S = 0.5
_DRAIN_POLL_S = 0.02
_READINESS_NOTICE_S = 0.5
_MAX_HEADER_BYTES = 8190


class EntryStatus(msgspec.Struct, frozen=True):
    """JSON body of ``GET /v1/status``."""

    name: str
    zone: str
    version: int
    in_flight: int
    draining: bool
    targets: dict[str, int]


class Entry(mode.Service):
    """One entry VM's process.

    Parameters
    ----------
    settings
        Who this entry is.
    logger
        Where events are logged.
    """

    def __init__(self, settings: EntrySettings, logger: Logger) -> None:
        """Build the parts; nothing is served before ``start``."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self._metrics = Metrics()
        self._membership = Membership()
        self._config = ConfigFollower(settings, logger)
        self._peers = PeerExchange(settings, logger)
        self._config_peers = ConfigPeers(self._config, self._peers)
        self._spread = Spread(self._membership, self._peers, logger)
        self._router = Router(
            self._sharer(),
            self._membership,
            random.Random(),  # noqa: S311 - choices of targets are no secret
            self._work_bound_s,
        )
        self._credits = CreditDaemon(self._router, self._peers)
        self._proxy = Proxy(
            settings,
            self._config,
            self._router,
            self._metrics,
            random.Random(),  # noqa: S311 - choices of targets are no secret
        )
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Start every part and listen for HTTP last."""
        await self.add_runtime_dependency(self._config)
        await self.add_runtime_dependency(self._peers)
        await self.add_runtime_dependency(self._config_peers)
        await self.add_runtime_dependency(self._credits)
        await self._proxy.open()
        self._runner = web.AppRunner(
            self._application(),
            access_log=None,
            shutdown_timeout=self._settings.max_deadline_s,
            max_line_size=_MAX_HEADER_BYTES,
            max_field_size=_MAX_HEADER_BYTES,
        )
        await self._runner.setup()
        address = self._settings.http
        site = web.TCPSite(self._runner, address.host, address.port)
        await site.start()

    async def drain(self) -> None:
        """Withdraw readiness, then wait until nothing is in flight."""
        self._proxy.is_draining = True
        await self.sleep(_READINESS_NOTICE_S)
        ends_s = time.monotonic() + self._settings.max_deadline_s
        while self._proxy.in_flight and time.monotonic() < ends_s:
            await self.sleep(_DRAIN_POLL_S)
        cut_off = self._proxy.in_flight
        if cut_off:
            self._log.warning(LogEvent.DRAIN_CUT_OFF, requests=cut_off)
        else:
            self._log.info(LogEvent.DRAIN_FINISHED)

    async def on_stop(self) -> None:
        """Close the listening socket and the connections."""
        await self._config.leave()
        if self._runner is not None:
            await self._runner.cleanup()
        await self._proxy.close()

    @mode.Service.task
    async def _expire(self) -> None:
        while not self.should_stop:
            for record in self._membership.expire(time.monotonic()):
                self._log.info(
                    LogEvent.TARGET_EXPIRED,
                    target=record.target_id,
                )
            await self.sleep(_EXPIRY_CHECK_S)

    def _sharer(self) -> Sharer:
        settings = self._settings
        return Sharer(
            name=settings.name,
            zone=settings.zone,
            incarnation_ns=self._peers.incarnation_ns,
            started_s=time.monotonic(),
            zone_peers=tuple(peer.name for peer in settings.zone_peers),
            foreign_peers=tuple(peer.name for peer in settings.foreign_peers),
        )

    def _work_bound_s(self, service: str) -> float:
        text = self._config.text
        if text is None or service not in text.services:
            return self._settings.max_deadline_s + WORK_GRACE_S
        return text.services[service].deadline_s + WORK_GRACE_S

    def _application(self) -> web.Application:
        application = web.Application(
            client_max_size=self._settings.max_body_bytes,
        )
        tell_versions(application, self._config)
        application.router.add_get('/healthz', self._on_health)
        application.router.add_get('/readyz', self._on_ready)
        application.router.add_get('/metrics', self._on_metrics)
        application.router.add_get('/v1/status', self._on_status)
        application.router.add_post('/v1/targets', self._on_announce)
        application.router.add_route(
            '*',
            '/s/{service}/{tail:.*}',
            self._proxy.handle,
        )
        return application

    async def _on_health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok')

    async def _on_ready(self, _request: web.Request) -> web.Response:
        if self._proxy.is_draining or self._config.text is None:
            return web.Response(status=503, text='not ready')
        return web.Response(text='ready')

    async def _on_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(text=self._metrics.page())

    async def _on_status(self, _request: web.Request) -> web.Response:
        now_s = time.monotonic()
        services = self._config.text.services if self._config.text else ()
        status = EntryStatus(
            name=self._settings.name,
            zone=self._settings.zone,
            version=self._config.version,
            in_flight=self._proxy.in_flight,
            draining=self._proxy.is_draining,
            targets={
                name: len(self._membership.serving(name, now_s))
                for name in services
            },
        )
        return web.Response(
            body=msgspec.json.encode(status),
            content_type='application/json',
        )

    async def _on_announce(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            record = read_announcement(body, self._settings.zone)
        except RequestRefusedError as error:
            return error_reply(
                400,
                error.code,
                Outcome.NOT_RUN,
                error.detail,
            )
        self._spread.learn(record)
        self._credits.note_announced(record)
        return web.Response(status=204)
