"""Put the process together that takes clients' requests."""

from __future__ import annotations

import asyncio
import pathlib

import mode

from wigeonreach.gateway import Gateway
from wigeonreach.observe import Logger, Metrics
from wigeonreach.platform._callers import ClientApi
from wigeonreach.platform._http import HttpListener, HttpReply, HttpRequest
from wigeonreach.platform._process_parts import (
    DRAIN_S,
    MetricsPage,
    SettingsWatch,
)
from wigeonreach.platform._settings import PlatformFile
from wigeonreach.wire import parse_address

# Far above the largest job that a queue takes (256 KB).
_MAX_JOB_BYTES = 1024 * 1024
# The platform asks each second and needs two misses.
_NOTICE_S = 2.6
# Clients that keep a connection open send their next request meanwhile.
_RETURN_S = 0.3
_READY = HttpReply(200, b'{}')
_NOT_READY = HttpReply(503, b'{}')


class EntryProcess(mode.Service):
    """Take clients' requests and bring them to the core.

    Parameters
    ----------
    path, settings
        The settings file, and what it holds.
    logger, metrics
        Where events are logged and counted.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: PlatformFile,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Serve once started."""
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
        self._metrics = MetricsPage(settings, metrics)
        self._watch = SettingsWatch(path, settings, self._take, logger)
        self._is_draining = False

    async def on_start(self) -> None:
        """Listen and connect."""
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
        """Let the balancer turn away, and answer what still comes."""
        self._is_draining = True
        await asyncio.sleep(_NOTICE_S)
        self._clients.close_after_next()
        await asyncio.sleep(_RETURN_S)
        await self._clients.wait_idle(DRAIN_S)

    async def _on_probe(self, request: HttpRequest) -> HttpReply:
        is_ready = self._gateway.has_leader and not self._is_draining
        return _READY if is_ready else _NOT_READY

    def _take(self, settings: PlatformFile) -> None:
        self._gateway.change_seeds(settings.seeds)
