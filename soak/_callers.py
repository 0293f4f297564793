"""Submit jobs, read their state and replace the manifest, as callers do."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Sequence

import msgspec

from soak._promises import InvariantChecker
from wigeonreach.gateway import Gateway
from wigeonreach.jobs import (
    JobSpec,
    Manifest,
    QueueSpec,
    ServiceSpec,
    StepSpec,
)
from wigeonreach.wire._call_messages import (
    CancelJobCall,
    PutManifest,
    ReadJob,
    ReadManifest,
    SubmitJob,
)
from wigeonreach.wire._call_replies import (
    Done,
    JobState,
    ManifestText,
    NoSuchJob,
    NotDone,
)

MAX_FAILURES = 3
HOST = 'soak.example'
PREFIX = '/jobs/'
_CALL_TIMEOUT_S = 2.0
_MAX_PAUSE_S = 0.25
_CANCELLED_PERCENT = 6
_READS_PER_SUBMIT = 4
_MAX_TASKS = 4
_ATTEMPTS = 4
_MAX_CHANGE_PAUSE_S = 0.7


class Callers:
    """Callers and operators, each with its own gateway.

    Parameters
    ----------
    gateways
        One gateway for each caller; the first also puts the first manifest.
    checker
        Receives each reply.
    rng
        Random generator for jobs and pauses.
    """

    def __init__(
        self,
        gateways: Sequence[Gateway],
        checker: InvariantChecker,
        rng: random.Random,
    ) -> None:
        """Create the callers without sending any call."""
        self._gateways = gateways
        self._checker = checker
        self._rng = rng
        self._numbers = itertools.count(1)
        self._versions = itertools.count(1)

    async def put_first_manifest(self) -> None:
        """Put the first manifest, retrying until it is acknowledged."""
        while not self._checker.version:
            await self._put_manifest(self._gateways[0])

    async def run(self) -> None:
        """Send calls until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number, gateway in enumerate(self._gateways):
                group.create_task(self._submit_loop(number, gateway))
                group.create_task(self._manifest_loop(gateway))

    async def read_unfinished(self) -> None:
        """Read each accepted job that has not ended, once."""
        for job_id in self._checker.unfinished():
            await self._read_job(self._gateways[0], job_id)

    async def _submit_loop(self, number: int, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0, _MAX_PAUSE_S))
            job_id = f'{number:04x}{next(self._numbers):012x}'
            await self._submit(self._job(job_id))
            for _ in range(_READS_PER_SUBMIT):
                await self._read_random_job(gateway)

    async def _manifest_loop(self, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0, _MAX_CHANGE_PAUSE_S))
            await self._put_manifest(gateway)
            await self._read_manifest(gateway)

    async def _submit(self, spec: JobSpec) -> None:
        """Submit a job, retrying through random gateways.

        The job counts as refused only if every reply says that the call had
        no effect.
        """
        call = SubmitJob(HOST, f'{PREFIX}{spec.job_id}', spec)
        self._checker.note_submitted(spec)
        may_have_run = False
        for _ in range(_ATTEMPTS):
            gateway = self._rng.choice(self._gateways)
            reply = await gateway.call(call, _CALL_TIMEOUT_S)
            if isinstance(reply, Done):
                self._checker.note_accepted(spec.job_id)
                await self._maybe_cancel(gateway, spec.job_id)
                return
            may_have_run = may_have_run or not isinstance(reply, NotDone)
        if not may_have_run:
            self._checker.note_refused(spec.job_id)

    async def _maybe_cancel(self, gateway: Gateway, job_id: str) -> None:
        if self._rng.randrange(100) >= _CANCELLED_PERCENT:
            return
        self._checker.note_cancelled(job_id)
        await gateway.call(
            CancelJobCall(HOST, f'{PREFIX}{job_id}'),
            _CALL_TIMEOUT_S,
        )

    async def _read_random_job(self, gateway: Gateway) -> None:
        accepted = self._checker.accepted()
        if accepted:
            await self._read_job(gateway, self._rng.choice(accepted))

    async def _read_job(self, gateway: Gateway, job_id: str) -> None:
        reply = await gateway.call(
            ReadJob(HOST, f'{PREFIX}{job_id}'),
            _CALL_TIMEOUT_S,
        )
        if isinstance(reply, JobState):
            self._checker.note_phase(job_id, reply.phase)
        elif isinstance(reply, NoSuchJob):
            self._checker.note_unknown(job_id)

    async def _put_manifest(self, gateway: Gateway) -> None:
        version = next(self._versions)
        reply = await gateway.call(
            PutManifest(_manifest(version)), _CALL_TIMEOUT_S
        )
        if isinstance(reply, Done):
            self._checker.note_version_accepted(version)

    async def _read_manifest(self, gateway: Gateway) -> None:
        accepted = self._checker.version
        reply = await gateway.call(ReadManifest(), _CALL_TIMEOUT_S)
        if isinstance(reply, ManifestText):
            version = msgspec.json.decode(reply.document, type=int)
            self._checker.note_version_read(version, accepted)

    def _job(self, job_id: str) -> JobSpec:
        rng = self._rng
        steps = [self._step()]
        if rng.randrange(2):
            steps.append(msgspec.structs.replace(self._step(), after=(0,)))
        return JobSpec(job_id, 'payload', tuple(steps))

    def _step(self) -> StepSpec:
        rng = self._rng
        return StepSpec(
            rng.randint(1, _MAX_TASKS),
            cpu_millicores=rng.choice((500, 2000, 6000)),
            memory_mb=256,
            estimate_ms=rng.choice((200, 800)),
        )


def _manifest(version: int) -> Manifest:
    queue = QueueSpec(
        'soak',
        HOST,
        PREFIX,
        'desk',
        3000,
        max_failures=MAX_FAILURES,
        slack_factor=2.0,
        target_latency_ms=3000,
    )
    document = msgspec.json.encode(version)
    return Manifest(version, (queue,), (ServiceSpec('desk'),), 0, document)
