"""Follow the settings file and serve metrics, in either process."""

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

# Connections that are under way have to arrive after the balancer turned away.
DRAIN_S = 2.2
# The file may change without a signal.
_WATCH_S = 2.0


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
