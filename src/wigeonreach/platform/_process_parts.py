"""Services that both processes run: settings watcher and metrics endpoint."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
from collections.abc import Callable

import mode

from wigeonreach.exceptions import SettingError
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.platform._http import HttpListener, HttpReply, HttpRequest
from wigeonreach.platform._settings import (
    METRICS_VARIABLE,
    PlatformFile,
    read_platform_file,
)
from wigeonreach.wire import parse_address

# Longest wait for requests in flight when a process shuts down.  In an entry
# process, they include those of connections that were already on their way when
# the load balancer stopped routing to it.
DRAIN_TIMEOUT_S = 2.2
# The file is polled because it may change without a signal.
_POLL_INTERVAL_S = 2.0


class SettingsWatcher(mode.Service):
    """Reload the settings file periodically and on SIGHUP.

    Parameters
    ----------
    path, current
        The settings file and its parsed content.
    on_change
        Called with the new content after a change.
    logger
        Logs reloads and unreadable files.
    """

    def __init__(
        self,
        path: pathlib.Path,
        current: PlatformFile,
        on_change: Callable[[PlatformFile], None],
        logger: Logger,
    ) -> None:
        """Create a watcher that is active once started."""
        super().__init__()
        self._path = path
        self._current = current
        self._on_change = on_change
        self._log = logger

    async def on_start(self) -> None:
        """Install the handler for SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload, 'signal')

    @mode.Service.timer(_POLL_INTERVAL_S)
    async def _poll(self) -> None:
        self._reload('watch')

    def _reload(self, cause: str) -> None:
        try:
            settings = read_platform_file(self._path)
        except SettingError as error:
            self._log.warning(LogEvent.SETTINGS_REFUSED, reason=str(error))
            return
        is_changed = settings != self._current
        if is_changed or cause == 'signal':
            self._log.info(
                LogEvent.SETTINGS_RELOADED,
                cause=cause,
                is_changed=is_changed,
                seeds=settings.seeds,
            )
        if is_changed:
            self._current = settings
            self._on_change(settings)


class MetricsEndpoint(mode.Service):
    """Serve the metrics of a process over HTTP, if a port is configured.

    Parameters
    ----------
    settings
        Content of the settings file.
    metrics
        The metrics to serve.
    """

    def __init__(self, settings: PlatformFile, metrics: Metrics) -> None:
        """Create an endpoint that listens once started."""
        super().__init__()
        self._listener: HttpListener | None = None
        self._metrics = metrics
        port = os.environ.get(METRICS_VARIABLE, '')
        if port:
            location = f'{settings.ip}:{port}'
            address = parse_address(location, METRICS_VARIABLE)
            self._listener = HttpListener(address, self._on_request, 0)

    async def on_start(self) -> None:
        """Start listening, if a port is configured."""
        if self._listener is not None:
            await self.add_runtime_dependency(self._listener)

    async def _on_request(self, request: HttpRequest) -> HttpReply:
        return HttpReply(200, self._metrics.page().encode())
