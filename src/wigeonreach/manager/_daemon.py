"""Manager daemon: runs maintenance waves while it holds the lease."""

from __future__ import annotations

import asyncio
import time

import mode
import msgspec
from aiohttp import web

from wigeonreach.codes import ResultCode
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.exceptions import PlatformError, StateError, WireError
from wigeonreach.fleet import WaveEffect
from wigeonreach.manager._core import ManagerCore, Plan
from wigeonreach.manager._job_placer import JobPlacer
from wigeonreach.manager._lease import LEASE_NAME, DecisionLease
from wigeonreach.manager._settings import ManagerSettings
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.provider import (
    ActionKind,
    PlatformClient,
    VmAction,
    VmView,
)
from wigeonreach.state import StateClient
from wigeonreach.wire._state_messages import ReadWaves, Waves


class Manager(mode.Service):
    """Manager of one zone; runs the waves only while it holds the lease.

    Parameters
    ----------
    settings
        Identity, peers and intervals of this manager.
    logger
        Logger for events.
    """

    def __init__(self, settings: ManagerSettings, logger: Logger) -> None:
        """Create the components; no request is sent before ``start``."""
        super().__init__()
        self._settings = settings
        self._log = logger
        self._metrics = Metrics()
        self._config = ConfigFollower(settings, self._metrics, logger)
        self._state = StateClient(
            settings.name,
            settings.replicas_nearest_first,
            give_up_s=settings.lease_s,
        )
        self._lease = DecisionLease(
            settings.name,
            settings.lease_s,
            self._state,
        )
        self._platform = PlatformClient(settings.platform_url, self._metrics)
        self._placer = JobPlacer(
            settings,
            self._config,
            self._state,
            self._platform,
            self._metrics,
            logger,
        )
        self._core: ManagerCore | None = None
        self._version = 0
        self._revision = 0
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Subscribe to the configuration and listen for HTTP requests."""
        await self.add_runtime_dependency(self._config)
        await self._platform.open()
        await self.add_runtime_dependency(self._placer)
        application = web.Application()
        application.router.add_get('/healthz', self._on_health)
        application.router.add_get('/readyz', self._on_ready)
        application.router.add_get('/metrics', self._on_metrics)
        self._placer.add_routes(application)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        address = self._settings.http
        await web.TCPSite(self._runner, address.host, address.port).start()

    async def drain(self) -> None:
        """Release the lease, so that another manager can take over at once."""
        try:
            await self._lease.release()
        except StateError:
            self._metrics.count('lease_release_failures')

    async def on_stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._platform.close()

    @mode.Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._run_round()
            except (PlatformError, StateError, WireError) as error:
                # No decision is lost: each is recorded before it takes effect.
                self._handle_failure(error.code)
            await self.sleep(self._settings.poll_s)

    async def _run_round(self) -> None:
        text = self._config.text
        previous_token = self._lease.token
        if text is None or not await self._lease.ensure():
            self._core = None
            return
        if self._lease.token != previous_token:
            self._log.info(LogEvent.LEASE_HELD, token=self._lease.token)
            self._core = None
        if self._core is None or self._version != self._config.version:
            self._core = ManagerCore(text, self._settings.waves)
            self._version = self._config.version
            self._revision = 0
        page = await self._platform.list_vms(self._revision)
        waves = await self._state.read(ReadWaves(), Waves)
        await self._execute(page.vms, waves)
        self._revision = page.revision

    async def _execute(
        self,
        vms: tuple[VmView, ...],
        waves: Waves,
    ) -> None:
        core = self._core
        if core is None:
            return
        plan = core.step(vms, waves.waves, time.time())
        await self._record_changes(core, plan)
        if not self._lease.is_held:
            raise StateError(ResultCode.STATE_NOT_HELD, LEASE_NAME)
        await asyncio.gather(
            *(self._send_action(effect) for effect in plan.effects)
        )

    async def _record_changes(self, core: ManagerCore, plan: Plan) -> None:
        for record in plan.records:
            action = msgspec.structs.replace(
                record,
                lease=LEASE_NAME,
                token=self._lease.token,
            )
            reply = await self._state.submit(action)
            if reply.code != ResultCode.OK:
                raise StateError(ResultCode(reply.code), reply.detail)
            core.note_recorded(record.wave_id, reply.version)
            if record.event:
                self._log.info(
                    LogEvent.WAVE_CHANGED,
                    wave=record.wave_id,
                    change=record.event,
                )

    async def _send_action(self, effect: WaveEffect) -> None:
        action = VmAction(
            ActionKind(effect.kind.value),
            effect.vm,
            f'{effect.operation_id}/{effect.kind}',
            self._lease.token,
        )
        self._metrics.count('platform_actions', effect.kind.value)
        try:
            await self._platform.act(action)
        except PlatformError as error:
            # The outcome is read from the VM list; the action is resent with
            # the same id if it had no effect.
            self._log.warning(
                LogEvent.PLATFORM_FAULT,
                vm=effect.vm,
                action=action.action_id,
                code=int(error.code),
            )

    def _handle_failure(self, code: ResultCode) -> None:
        self._metrics.count('manager_rounds_failed', code.name.lower())
        self._log.warning(LogEvent.ROUND_FAILED, code=int(code))
        if code not in _TRANSIENT_FAULTS:
            self._core = None

    async def _on_health(self, _request: web.Request) -> web.Response:
        return web.Response(text='ok')

    async def _on_ready(self, _request: web.Request) -> web.Response:
        if self._config.text is None:
            return web.Response(status=503, text='not ready')
        return web.Response(text='ready')

    async def _on_metrics(self, _request: web.Request) -> web.Response:
        self._metrics.gauge('lease_held', float(self._lease.is_held))
        return web.Response(text=self._metrics.page())


# After these errors, which only mean that the VMs could not be listed, the
# decisions in memory are still valid.
_TRANSIENT_FAULTS = frozenset(
    (ResultCode.PLATFORM_UNREACHABLE, ResultCode.PLATFORM_ANSWER_WRONG),
)
