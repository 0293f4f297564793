"""HTTP endpoints for operators, the load balancer and targets."""

from __future__ import annotations

import dataclasses
import time

import msgspec
from aiohttp import web

from wigeonreach.codes import Outcome, ResultCode
from wigeonreach.entry._announce import read_announcement
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.entry._credits_daemon import CreditDaemon
from wigeonreach.entry._gate import Gate
from wigeonreach.entry._lifecycle import Lifecycle
from wigeonreach.entry._member import Merge
from wigeonreach.entry._membership import Membership
from wigeonreach.entry._pace import announce_after_s
from wigeonreach.entry._replies import error_reply
from wigeonreach.entry._settings import EntrySettings
from wigeonreach.entry._spread import Spread
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.observe import Metrics

ENTRY_HEADER = 'X-Entry'
ANNOUNCE_AFTER_HEADER = 'X-Announce-After-S'


class EntryStatus(msgspec.Struct, frozen=True):
    """JSON body of ``GET /v1/status``."""

    name: str
    zone: str
    version: int
    in_flight: int
    phase: str
    draining: bool
    targets: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class EntryEndpoints:
    """All endpoints of an entry except those for callers' requests."""

    settings: EntrySettings
    config: ConfigFollower
    membership: Membership
    spread: Spread
    credits: CreditDaemon
    lifecycle: Lifecycle
    gate: Gate
    metrics: Metrics

    def add_to(self, application: web.Application) -> None:
        """Register the routes of all endpoints."""
        router = application.router
        router.add_get('/healthz', self._on_health)
        router.add_get('/readyz', self._on_ready)
        router.add_get('/metrics', self._on_metrics)
        router.add_get('/v1/status', self._on_status)
        router.add_post('/v1/targets', self._on_announce)

    async def _on_health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok')

    async def _on_ready(self, _request: web.Request) -> web.Response:
        if not self.lifecycle.is_ready or self.config.text is None:
            return web.Response(status=503, text='not ready')
        return web.Response(text='ready')

    async def _on_metrics(self, _request: web.Request) -> web.Response:
        return web.Response(text=self.metrics.page())

    async def _on_status(self, _request: web.Request) -> web.Response:
        now_s = time.monotonic()
        services = self.config.text.services if self.config.text else ()
        status = EntryStatus(
            name=self.settings.name,
            zone=self.settings.zone,
            version=self.config.version,
            in_flight=self.gate.in_flight,
            phase=self.lifecycle.phase.value,
            draining=self.lifecycle.is_stopping,
            targets={
                name: len(self.membership.serving(name, now_s))
                for name in services
            },
        )
        return web.Response(
            body=msgspec.json.encode(status),
            content_type='application/json',
        )

    async def _on_announce(self, request: web.Request) -> web.Response:
        if not self.lifecycle.takes_work:
            # This entry no longer forwards announcements to its peers.
            return error_reply(
                503,
                ResultCode.ANNOUNCE_CLOSING,
                Outcome.NOT_RUN,
                'announce again, to another entry',
            )
        try:
            record = read_announcement(
                await request.read(),
                self.settings.zone,
            )
        except RequestRefusedError as error:
            self.metrics.count('announcements', 'invalid')
            return error_reply(
                400,
                error.code,
                Outcome.NOT_RUN,
                error.detail,
            )
        if self.spread.learn(record) is Merge.STALE:
            return error_reply(
                409,
                ResultCode.ANNOUNCE_STALE,
                Outcome.NOT_RUN,
                'a newer incarnation has this name or address',
            )
        self.credits.note_announced(record)
        is_known = await self.spread.is_known_everywhere(record.state)
        entries = len(self.settings.zone_peers) + 1
        after_s = announce_after_s(self.membership.near_count, entries)
        return web.Response(
            status=204 if is_known else 202,
            headers={
                ENTRY_HEADER: self.settings.name,
                ANNOUNCE_AFTER_HEADER: f'{after_s:.1f}',
            },
        )
