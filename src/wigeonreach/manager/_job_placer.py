"""HTTP interface for jobs, and the placement loop of a zone."""

from __future__ import annotations

import asyncio
import time

import mode
import msgspec
import pydantic
from aiohttp import web

from wigeonreach.codes import ResultCode
from wigeonreach.entry._config import ConfigFollower
from wigeonreach.exceptions import PlatformError
from wigeonreach.fleet._placement_model import Job, JobsCancelled
from wigeonreach.manager._job_actions import JobActions
from wigeonreach.manager._job_schema import CancelSchema, JobSchema
from wigeonreach.manager._jobs import ZoneJobs
from wigeonreach.manager._lease import DecisionLease
from wigeonreach.manager._settings import ManagerSettings
from wigeonreach.observe import Logger, Metrics
from wigeonreach.provider import Platform
from wigeonreach.state import StateAccess

_MAX_WAITING = 10_000


class JobPlacer(mode.Service):
    """Owner of a zone's placement; HTTP handlers read it or queue messages.

    Parameters
    ----------
    settings, config
        Settings of the manager, and source of the fleet configuration.
    state, platform
        Durable state and platform client.
    metrics, logger
        For refused jobs, failed rounds and actions.
    """

    def __init__(
        self,
        settings: ManagerSettings,
        config: ConfigFollower,
        state: StateAccess,
        platform: Platform,
        metrics: Metrics,
        logger: Logger,
    ) -> None:
        """Prepare; jobs are placed from a lease's grant until a refusal."""
        super().__init__()
        self._settings = settings
        self._config = config
        self._platform = platform
        self._metrics = metrics
        self._actions = JobActions(
            settings.name,
            platform,
            state,
            metrics,
            logger,
        )
        self._lease = DecisionLease(
            settings.name,
            settings.lease_s,
            state,
            f'jobs/{settings.zone}',
        )
        self._inbox: asyncio.Queue[Job | JobsCancelled] = asyncio.Queue(
            _MAX_WAITING,
        )
        self._jobs: ZoneJobs | None = None
        self._version = 0

    def add_routes(self, application: web.Application) -> None:
        """Register the HTTP routes for jobs."""
        application.router.add_post('/v1/jobs', self._on_submit)
        application.router.add_post('/v1/jobs/cancel', self._on_cancel)
        application.router.add_get('/v1/jobs/{job_id}', self._on_status)

    @mode.Service.task
    async def _hold_lease(self) -> None:
        # A task of its own, so that placement continues while no replica is
        # reachable.
        while not self.should_stop:
            await self._lease.ensure()
            await self.sleep(self._settings.poll_s)

    @mode.Service.task
    async def _place(self) -> None:
        while not self.should_stop:
            jobs = self._current_jobs()
            if jobs is None:
                await self.sleep(self._settings.poll_s)
                continue
            await self._run_round(jobs)
            if jobs.is_ready:
                await self._process_messages(jobs)
            else:
                await self.sleep(self._settings.poll_s)

    async def _run_round(self, jobs: ZoneJobs) -> None:
        try:
            await jobs.run_round(time.time())
        except PlatformError as error:
            self._metrics.count(
                'placement_rounds_failed',
                error.code.name.lower(),
            )

    async def _process_messages(self, jobs: ZoneJobs) -> None:
        """Process queued messages until the next round is due."""
        ends_s = time.monotonic() + self._settings.poll_s
        while time.monotonic() < ends_s:
            try:
                async with asyncio.timeout(ends_s - time.monotonic()):
                    message = await self._inbox.get()
            except TimeoutError:
                return
            now_s = time.time()
            if isinstance(message, Job):
                jobs.submit(message, now_s)
            else:
                jobs.handle(message, now_s)
            if self._inbox.empty():
                await jobs.send(now_s)

    def _current_jobs(self) -> ZoneJobs | None:
        text = self._config.text
        if self._lease.token == 0 or text is None:
            self._jobs = None
        elif self._jobs is None:
            self._jobs = ZoneJobs(
                self._settings.zone,
                self._lease.token,
                text,
                self._platform,
                self._actions,
            )
        elif self._version != self._config.version:
            self._jobs.apply_text(text, time.time())
        self._version = self._config.version
        return self._jobs

    async def _on_submit(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            job = JobSchema.model_validate_json(body).job()
        except pydantic.ValidationError as error:
            return _error_response(400, ResultCode.JOB_INVALID, str(error))
        return self._enqueue(job)

    async def _on_cancel(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            ids = CancelSchema.model_validate_json(body).job_ids
        except pydantic.ValidationError as error:
            return _error_response(400, ResultCode.JOB_INVALID, str(error))
        return self._enqueue(JobsCancelled(ids))

    async def _on_status(self, request: web.Request) -> web.Response:
        job_id = request.match_info['job_id']
        status = self._jobs.status(job_id) if self._jobs else None
        if status is None:
            return _error_response(404, ResultCode.WAVE_UNKNOWN, job_id)
        return web.Response(
            body=msgspec.json.encode(status),
            content_type='application/json',
        )

    def _enqueue(self, message: Job | JobsCancelled) -> web.Response:
        is_ready = self._jobs is not None and self._jobs.is_ready
        if not is_ready or self._inbox.full():
            self._metrics.count('jobs_refused', 'not_placing')
            return _error_response(
                503,
                ResultCode.JOB_NOT_PLACING,
                'this manager does not place now; send it again',
            )
        self._inbox.put_nowait(message)
        return web.Response(status=202)


def _error_response(status: int, code: ResultCode, detail: str) -> web.Response:
    return web.Response(
        status=status,
        text=f'{int(code)} {code.name.lower()}: {detail}',
        headers={'X-Result-Code': str(int(code))},
    )
