"""Put the process together that takes workers' and operators' calls."""

from __future__ import annotations

import pathlib

import mode

from wigeonreach.core import Core
from wigeonreach.observe import Logger, Metrics
from wigeonreach.platform._advisor import RecommendationApi
from wigeonreach.platform._control import ControlApi
from wigeonreach.platform._core_settings import core_settings
from wigeonreach.platform._http import HttpListener
from wigeonreach.platform._machines import MachinesApi
from wigeonreach.platform._process_parts import (
    DRAIN_S,
    MetricsPage,
    SettingsWatch,
)
from wigeonreach.platform._settings import PlatformFile
from wigeonreach.wire import parse_address

# Thousands of queues.
_MAX_MANIFEST_BYTES = 16 * 1024 * 1024


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
            core_settings(settings),
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
        await self._control.wait_idle(DRAIN_S)

    def _take(self, settings: PlatformFile) -> None:
        self._core.change_seeds(settings.seeds)
