"""Put the platform's two processes together."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
from collections.abc import Callable

import mode

from wigeonreach.core import Core
from wigeonreach.exceptions import SettingError
from wigeonreach.gateway import Gateway
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.platform._advisor import RecommendationApi
from wigeonreach.platform._callers import ClientApi
from wigeonreach.platform._control import ControlApi
from wigeonreach.platform._http import HttpListener, HttpReply, HttpRequest
from wigeonreach.platform._machines import MachinesApi
from wigeonreach.platform._settings import (
    METRICS_VARIABLE,
    PlatformFile,
    read_platform_file,
)
from wigeonreach.wire import parse_address

# Far above the largest job that a queue takes (256 KB).
_MAX_JOB_BYTES = 1024 * 1024
# Thousands of queues.
_MAX_MANIFEST_BYTES = 16 * 1024 * 1024
# The platform asks each second and needs two misses; then its connections
# that are under way have to arrive.
_NOTICE_S = 2.6
_DRAIN_S = 2.2
# Clients that keep a connection open send their next request meanwhile.
_RETURN_S = 0.3
# The file may change without a signal.
_WATCH_S = 2.0
_READY = HttpReply(200, b'{}')
_NOT_READY = HttpReply(503, b'{}')


class SettingsWatch(mode.Service):
    """Look at the settings file now and then, and on a signal.

    Parameters
    ----------
    path, current
        The file, and what it holds.
    on_change
        Takes what the file holds after it changed.
    logger
        Where changes are logged.
    """

    def __init__(
        self,
        path: pathlib.Path,
        current: PlatformFile,
        on_change: Callable[[PlatformFile], None],
        logger: Logger,
    ) -> None:
        """Watch once started."""
        super().__init__()
        self._path = path
        self._current = current
        self._on_change = on_change
        self._log = logger

    async def on_start(self) -> None:
        """Listen for the signal."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._look, 'signal')

    @mode.Service.timer(_WATCH_S)
    async def _look_regularly(self) -> None:
        self._look('watch')

    def _look(self, cause: str) -> None:
        try:
            found = read_platform_file(self._path)
        except SettingError as error:
            self._log.warning(LogEvent.SETTINGS_REFUSED, reason=str(error))
            return
        is_news = found != self._current
        if is_news or cause == 'signal':
            self._log.info(
                LogEvent.SETTINGS_RELOADED,
                cause=cause,
                is_changed=is_news,
                seeds=found.seeds,
            )
        if is_news:
            self._current = found
            self._on_change(found)


class MetricsPage(mode.Service):
    """Serve a process's metrics, where a port is set for them.

    Parameters
    ----------
    settings
        What the settings file holds.
    metrics
        What is served.
    """

    def __init__(self, settings: PlatformFile, metrics: Metrics) -> None:
        """Listen once started."""
        super().__init__()
        self._listener: HttpListener | None = None
        self._page = metrics
        port = os.environ.get(METRICS_VARIABLE, '')
        if port:
            place = f'{settings.ip}:{port}'
            address = parse_address(place, METRICS_VARIABLE)
            self._listener = HttpListener(address, self._on_request, 0)

    async def on_start(self) -> None:
        """Listen."""
        if self._listener is not None:
            await self.add_runtime_dependency(self._listener)

    async def _on_request(self, request: HttpRequest) -> HttpReply:
        return HttpReply(200, self._page.page().encode())


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
        await self._clients.wait_idle(_DRAIN_S)

    async def _on_probe(self, request: HttpRequest) -> HttpReply:
        is_ready = self._gateway.has_leader and not self._is_draining
        return _READY if is_ready else _NOT_READY

    def _take(self, settings: PlatformFile) -> None:
        self._gateway.change_seeds(settings.seeds)


class CoreProcess(mode.Service):
    """Take the calls of workers and operators at a core process.

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
        self._machines = MachinesApi(
            settings.cloud_api.address,
            settings.node_name,
            logger,
        )
        self._advisor = RecommendationApi(settings.recommendation, logger)
        self._core = Core(
            settings.core_settings(),
            self._machines,
            self._advisor,
            logger,
            metrics,
        )
        control = settings.listen_addrs.control_addr
        self._control = HttpListener(
            parse_address(control, 'controlAddr'),
            ControlApi(
                self._core,
                settings.asks_credentials,
                logger,
                metrics,
            ).handle,
            _MAX_MANIFEST_BYTES,
        )
        self._metrics = MetricsPage(settings, metrics)
        self._watch = SettingsWatch(path, settings, self._take, logger)

    async def on_start(self) -> None:
        """Take part in the agreement, then listen."""
        for service in (self._core, self._control, self._metrics, self._watch):
            await self.add_runtime_dependency(service)

    async def on_shutdown(self) -> None:
        """Close the connections to the platform."""
        await self._machines.close()
        await self._advisor.close()

    async def drain(self) -> None:
        """Give the lead away and answer what still comes."""
        await self._core.drain()
        self._control.close_after_next()
        await self._control.wait_idle(_DRAIN_S)

    def _take(self, settings: PlatformFile) -> None:
        self._core.change_seeds(settings.seeds)
