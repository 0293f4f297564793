"""Assemble the core process, which serves workers and operators."""

from __future__ import annotations

import pathlib

import mode

from wigeonreach.core import Core
from wigeonreach.observe import Logger, Metrics
from wigeonreach.platform._advisor import AdvisorClient
from wigeonreach.platform._control_api import ControlApi
from wigeonreach.platform._core_settings import core_settings
from wigeonreach.platform._http import HttpListener
from wigeonreach.platform._machines import MachinesClient
from wigeonreach.platform._process_parts import (
    DRAIN_TIMEOUT_S,
    MetricsEndpoint,
    SettingsWatcher,
)
from wigeonreach.platform._settings import PlatformFile
from wigeonreach.wire import parse_address

# Enough for a manifest of thousands of queues.
_MAX_MANIFEST_BYTES = 16 * 1024 * 1024


class CoreProcess(mode.Service):
    """Core process with its HTTP API, metrics and settings watcher.

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
        self._machines = MachinesClient(
            settings.cloud_api.address,
            settings.node_name,
            logger,
        )
        self._advisor = AdvisorClient(settings.recommendation, logger)
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
                settings.requires_credentials,
                logger,
                metrics,
            ).handle,
            _MAX_MANIFEST_BYTES,
        )
        self._metrics = MetricsEndpoint(settings, metrics)
        self._watch = SettingsWatcher(
            path,
            settings,
            self._apply_settings,
            logger,
        )

    async def on_start(self) -> None:
        """Join the replicated core, then listen for requests."""
        for service in (self._core, self._control, self._metrics, self._watch):
            await self.add_runtime_dependency(service)

    async def on_shutdown(self) -> None:
        """Close the connections to the platform."""
        await self._machines.close()
        await self._advisor.close()

    async def drain(self) -> None:
        """Transfer leadership, then finish the requests that still arrive."""
        await self._core.drain()
        self._control.disable_keep_alive()
        await self._control.refuse_when_idle(DRAIN_TIMEOUT_S)

    def _apply_settings(self, settings: PlatformFile) -> None:
        self._core.change_seeds(settings.seeds)
