"""Placement of one zone's jobs and tracking of their tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from types import MappingProxyType

from wigeonreach._resources import Resources
from wigeonreach.exceptions import PlatformError
from wigeonreach.fleet._placement import Placement
from wigeonreach.fleet._placement_jobs import DONE_STATES, JobRecord, JobState
from wigeonreach.fleet._placement_model import (
    Event,
    FoundTask,
    Job,
    JobSubmitted,
    TaskChanged,
    TaskEnd,
    Tick,
    UsageReported,
    Worker,
    WorkerDraining,
    WorkerHeard,
    WorkerJoined,
    WorkerLost,
)
from wigeonreach.manager._job_actions import JobActions
from wigeonreach.manager._job_schema import JobStatus
from wigeonreach.provider import Platform, TaskView, VmPhase, VmView
from wigeonreach.text import FleetText

# Number of task tokens reserved for each lease token; more than one holder of
# the lease can use up.
_TOKENS_PER_HOLDER = 2**32
# A worker that has not answered for this long is treated as lost.
_WORKER_TIMEOUT_S = 10.0
_TASK_ENDS = MappingProxyType(
    {
        'running': TaskEnd.STARTED,
        'finished': TaskEnd.FINISHED,
        'failed': TaskEnd.FAILED,
        'stopped': TaskEnd.STOPPED,
        'never': TaskEnd.NOT_STARTED,
    }
)


class ZoneJobs:
    """Jobs of one zone, placed under one lease token.

    Parameters
    ----------
    zone
        Only workers of this zone are used.
    token
        Token of the lease under which this manager places jobs.
    text
        Fleet configuration in force: pools and quotas.
    platform, actions
        Platform client, and the actions that it has not confirmed yet.
    """

    def __init__(
        self,
        zone: str,
        token: int,
        text: FleetText,
        platform: Platform,
        actions: JobActions,
    ) -> None:
        """Start with no known worker."""
        self._zone = zone
        self._placement = Placement(
            {},
            first_token=token * _TOKENS_PER_HOLDER,
        )
        self._pool_of: dict[str, str] = {}
        self._revision = 0
        self.apply_text(text, 0)
        self._platform = platform
        self._actions = actions
        self._last_answer_s: dict[str, float] = {}
        self._non_idempotent: set[str] = set()
        self._is_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the tasks that already run are known.

        Before that, a resubmitted job would be mistaken for a new one.
        """
        return self._is_ready

    def apply_text(self, text: FleetText, now_s: float) -> None:
        """Apply a new configuration; VMs join their pools in the next round."""
        before = self._pool_of
        self._pool_of = {
            vm: pool.name for pool in text.pools.values() for vm in pool.vms
        }
        for vm in before.keys() - self._pool_of.keys():
            self.handle(WorkerDraining(vm), now_s)
        self._placement.change_quotas(
            {team.name: team.quota_processors for team in text.teams.values()},
        )
        # Workers may have changed their pool, so all are listed again.
        self._revision = 0

    def status(self, job_id: str) -> JobStatus | None:
        """Return the state, worker and reason of a job, or None if unknown."""
        record = self._placement.job(job_id)
        if record is None:
            return None
        return JobStatus(
            job_id,
            record.state.value,
            record.worker,
            record.reason.value if record.reason else '',
        )

    def submit(self, job: Job, now_s: float) -> None:
        """Accept a job; resubmitting a known job has no effect."""
        if not job.is_idempotent:
            self._non_idempotent.add(job.job_id)
        self.handle(JobSubmitted(job), now_s)

    def handle(self, event: Event, now_s: float) -> None:
        """Apply an event and queue the actions that result."""
        self._actions.add(self._placement.handle(event, now_s))

    async def run_round(self, now_s: float) -> None:
        """Poll the platform, update the placement and send pending actions.

        Raises
        ------
        PlatformError
            If the VMs, or the tasks of a new worker, can't be listed.
        """
        page = await self._platform.list_vms(self._revision)
        for view in page.vms:
            if view.zone == self._zone and view.name in self._pool_of:
                await self._observe(view, now_s)
        self._revision = page.revision
        self._is_ready = True
        await asyncio.gather(
            *(self._poll_worker(name, now_s) for name in self._busy_workers()),
        )
        self.handle(Tick(), now_s)
        await self.send(now_s)

    async def send(self, now_s: float) -> None:
        """Send pending actions and apply the failures they report."""
        for end in await self._actions.send(frozenset(self._non_idempotent)):
            self.handle(end, now_s)

    async def _observe(self, view: VmView, now_s: float) -> None:
        if view.phase is VmPhase.SERVING:
            is_new = view.name not in self._last_answer_s
            found = await self._running_tasks(view) if is_new else ()
            self._last_answer_s[view.name] = now_s
            self.handle(WorkerJoined(self._worker(view), found), now_s)
        elif view.phase is VmPhase.DRAINING:
            self.handle(WorkerDraining(view.name), now_s)
        else:
            self.handle(WorkerLost(view.name), now_s)

    async def _running_tasks(self, view: VmView) -> tuple[FoundTask, ...]:
        """Return the tasks that an earlier manager left running."""
        return tuple(
            FoundTask(self._unknown_job(task), task.lease_token)
            for task in await self._platform.list_tasks(view.name)
            if task.state == 'running'
        )

    def _unknown_job(self, task: TaskView) -> Job:
        # Whether the job is idempotent is unknown, so it must not be restarted.
        return Job(
            job_id=task.job_id,
            team='',
            family='',
            pool=self._pool_of[task.worker],
            declared=Resources(task.used_processors, task.used_memory_bytes),
            is_idempotent=False,
        )

    def _worker(self, view: VmView) -> Worker:
        return Worker(
            name=view.name,
            pool=self._pool_of[view.name],
            zone=view.zone,
            rack=view.rack,
            resources=Resources(
                view.processors,
                view.memory_bytes,
                view.accelerators,
            ),
        )

    def _busy_workers(self) -> list[str]:
        """Return the workers that have jobs assigned."""
        return [
            name
            for name in self._last_answer_s
            if self._placement.has_jobs(name)
        ]

    async def _poll_worker(self, worker: str, now_s: float) -> None:
        try:
            tasks = await self._platform.list_tasks(worker)
        except PlatformError:
            if now_s - self._last_answer_s[worker] > _WORKER_TIMEOUT_S:
                self.handle(WorkerLost(worker), now_s)
            return
        self._last_answer_s[worker] = now_s
        self.handle(WorkerHeard(worker), now_s)
        for task in tasks:
            for event in self._task_events(task):
                self.handle(event, now_s)

    def _task_events(self, task: TaskView) -> Iterator[Event]:
        record = self._placement.job(task.job_id)
        if not _is_assigned(record):
            return
        yield TaskChanged(task.job_id, task.lease_token, _TASK_ENDS[task.state])
        if task.state == 'running' and task.used_memory_bytes:
            yield UsageReported(
                task.job_id,
                task.lease_token,
                Resources(task.used_processors, task.used_memory_bytes),
                task.measured_at_s,
            )


def _is_assigned(record: JobRecord | None) -> bool:
    if record is None or record.state in DONE_STATES:
        return False
    return record.state is not JobState.WAITING
