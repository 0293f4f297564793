"""Hand jobs in, ask for them and change the manifest, as callers do."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Sequence

import msgspec

from soak._promises import Promises
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
_HOST = 'soak.example'
_PREFIX = '/jobs/'
_CALL_S = 2.0
_PAUSE_S = 0.25
_CANCELLED_PERCENT = 6
_ASK_EACH = 4
_MOST_TASKS = 4
_ATTEMPTS = 4
_CHANGE_S = 0.7


class Callers:
    """Callers and operators, each behind a gateway of its own.

    Parameters
    ----------
    gateways
        One for each caller; the first is the operator's too.
    promises
        Told of each answer.
    rng
        Draws what is asked for.
    """

    def __init__(
        self,
        gateways: Sequence[Gateway],
        promises: Promises,
        rng: random.Random,
    ) -> None:
        """Ask for nothing yet."""
        self._gateways = gateways
        self._promises = promises
        self._rng = rng
        self._numbers = itertools.count(1)
        self._versions = itertools.count(1)

    async def begin(self) -> None:
        """Put the first manifest in force, however long that takes."""
        while not self._promises.version:
            await self._change(self._gateways[0])

    async def run(self) -> None:
        """Ask until cancelled."""
        async with asyncio.TaskGroup() as group:
            for number, gateway in enumerate(self._gateways):
                group.create_task(self._call_on(number, gateway))
                group.create_task(self._change_on(gateway))

    async def ask_all(self) -> None:
        """Ask for each accepted job once."""
        for job_id in self._promises.unfinished():
            await self._ask(self._gateways[0], job_id)

    async def _call_on(self, number: int, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0, _PAUSE_S))
            job_id = f'{number:04x}{next(self._numbers):012x}'
            await self._submit(self._job(job_id))
            for _ in range(_ASK_EACH):
                await self._ask_one(gateway)

    async def _change_on(self, gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0, _CHANGE_S))
            await self._change(gateway)
            await self._read(gateway)

    async def _submit(self, spec: JobSpec) -> None:
        """Hand a job in, at other processes again if the answer is lost."""
        call = SubmitJob(_HOST, f'{_PREFIX}{spec.job_id}', spec)
        self._promises.note_submitted(spec)
        may_have_run = False
        for _ in range(_ATTEMPTS):
            gateway = self._rng.choice(self._gateways)
            reply = await gateway.call(call, _CALL_S)
            if isinstance(reply, Done):
                self._promises.note_accepted(spec.job_id)
                await self._cancel_some(gateway, spec.job_id)
                return
            may_have_run = may_have_run or not isinstance(reply, NotDone)
        if not may_have_run:
            self._promises.note_refused(spec.job_id)

    async def _cancel_some(self, gateway: Gateway, job_id: str) -> None:
        if self._rng.randrange(100) >= _CANCELLED_PERCENT:
            return
        self._promises.note_cancelled(job_id)
        await gateway.call(
            CancelJobCall(_HOST, f'{_PREFIX}{job_id}'),
            _CALL_S,
        )

    async def _ask_one(self, gateway: Gateway) -> None:
        accepted = self._promises.accepted()
        if accepted:
            await self._ask(gateway, self._rng.choice(accepted))

    async def _ask(self, gateway: Gateway, job_id: str) -> None:
        reply = await gateway.call(
            ReadJob(_HOST, f'{_PREFIX}{job_id}'),
            _CALL_S,
        )
        if isinstance(reply, JobState):
            self._promises.note_shown(job_id, reply.phase)
        elif isinstance(reply, NoSuchJob):
            self._promises.note_unknown(job_id)

    async def _change(self, gateway: Gateway) -> None:
        version = next(self._versions)
        reply = await gateway.call(PutManifest(_manifest(version)), _CALL_S)
        if isinstance(reply, Done):
            self._promises.note_version_accepted(version)

    async def _read(self, gateway: Gateway) -> None:
        accepted = self._promises.version
        reply = await gateway.call(ReadManifest(), _CALL_S)
        if isinstance(reply, ManifestText):
            version = msgspec.json.decode(reply.document, type=int)
            self._promises.note_version_read(version, accepted)

    def _job(self, job_id: str) -> JobSpec:
        rng = self._rng
        steps = [self._step()]
        if rng.randrange(2):
            steps.append(msgspec.structs.replace(self._step(), after=(0,)))
        return JobSpec(job_id, 'payload', tuple(steps))

    def _step(self) -> StepSpec:
        rng = self._rng
        return StepSpec(
            rng.randint(1, _MOST_TASKS),
            cpu_millicores=rng.choice((500, 2000, 6000)),
            memory_mb=256,
            estimate_ms=rng.choice((200, 800)),
        )


def _manifest(version: int) -> Manifest:
    queue = QueueSpec(
        'soak',
        _HOST,
        _PREFIX,
        'desk',
        3000,
        max_failures=MAX_FAILURES,
        slack_factor=2.0,
        target_latency_ms=3000,
    )
    document = msgspec.json.encode(version)
    return Manifest(version, (queue,), (ServiceSpec('desk'),), 0, document)
