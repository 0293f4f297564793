"""Assemble the entry process, which serves clients."""

from __future__ import annotations

import asyncio
import pathlib

import mode

from wigeonreach.gateway import Gateway
from wigeonreach.observe import Logger, Metrics
from wigeonreach.platform._client_api import ClientApi
from wigeonreach.platform._http import HttpListener, HttpReply, HttpRequest
from wigeonreach.platform._process_parts import (
    DRAIN_TIMEOUT_S,
    MetricsEndpoint,
    SettingsWatcher,
)
from wigeonreach.platform._settings import PlatformFile
from wigeonreach.wire import parse_address

# Far above the largest job that a queue takes (256 KB).
_MAX_JOB_BYTES = 1024 * 1024
# The platform's load balancer probes readiness every second and stops routing
# to a process after two failed probes.
_BALANCER_NOTICE_S = 2.6
# Time for clients with a kept-alive connection to send their next request,
# whose response closes the connection.
_KEEP_ALIVE_GRACE_S = 0.3
_READY = HttpReply(200, b'{}')
_NOT_READY = HttpReply(503, b'{}')


class EntryProcess(mode.Service):
    """Entry process: forwards clients' requests to the core.

    Parameters
    ----------
    path, settings
        The settings file and its parsed content.
    logger, metrics
        Record events.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: PlatformFile,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Create the parts; they listen once the service is started."""
        super().__init__()
        self._gateway = Gateway(
            settings.node_name,
            settings.seeds,
            logger,
            metrics,
        )
        listen = settings.listen_addrs
        self._clients = HttpListener(
            parse_address(listen.frontend_addr, 'frontendAddr'),
            ClientApi(self._gateway, logger, metrics).handle,
            _MAX_JOB_BYTES,
        )
        self._probe = HttpListener(
            parse_address(listen.ready, 'ready'),
            self._on_probe,
            0,
        )
        self._metrics = MetricsEndpoint(settings, metrics)
        self._watch = SettingsWatcher(
            path,
            settings,
            self._apply_settings,
            logger,
        )
        self._is_draining = False

    async def on_start(self) -> None:
        """Start listening, then connect to the core."""
        services = (
            self._clients,
            self._probe,
            self._metrics,
            self._gateway,
            self._watch,
        )
        for service in services:
            await self.add_runtime_dependency(service)

    async def drain(self) -> None:
        """Fail readiness probes, then finish the requests that still arrive."""
        self._is_draining = True
        await asyncio.sleep(_BALANCER_NOTICE_S)
        self._clients.disable_keep_alive()
        await asyncio.sleep(_KEEP_ALIVE_GRACE_S)
        await self._clients.refuse_when_idle(DRAIN_TIMEOUT_S)

    async def _on_probe(self, request: HttpRequest) -> HttpReply:
        is_ready = self._gateway.has_leader and not self._is_draining
        return _READY if is_ready else _NOT_READY

    def _apply_settings(self, settings: PlatformFile) -> None:
        self._gateway.change_seeds(settings.seeds)
