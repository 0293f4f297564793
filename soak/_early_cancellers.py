"""Cancel jobs before they are submitted, as if their submission was late."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Sequence

from soak._callers import HOST, PREFIX
from soak._promises import InvariantChecker
from wigeonreach.gateway import Gateway
from wigeonreach.jobs import JobSpec, StepSpec
from wigeonreach.wire._call_messages import CancelJobCall, SubmitJob
from wigeonreach.wire._call_replies import NoSuchJob

_MAX_PAUSE_S = 0.8
_MAX_DELAY_S = 2.0
_CALL_TIMEOUT_S = 2.0
_STEP = StepSpec(1, cpu_millicores=500, memory_mb=256, estimate_ms=200)


class EarlyCancellers:
    """Submits jobs whose cancels were answered with "no such job" before.

    Parameters
    ----------
    gateways
        Each call goes through one of them.
    checker
        Told that none of the jobs may run.
    rng
        Random generator for gateways and pauses.
    """

    def __init__(
        self,
        gateways: Sequence[Gateway],
        checker: InvariantChecker,
        rng: random.Random,
    ) -> None:
        """Prepare; nothing is sent before ``run``."""
        self._gateways = gateways
        self._checker = checker
        self._rng = rng
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Send calls until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, _MAX_PAUSE_S))
            job_id = f'e{next(self._numbers):015x}'
            location = (HOST, f'{PREFIX}{job_id}')
            cancelled = await self._gateway().call(
                CancelJobCall(*location), _CALL_TIMEOUT_S
            )
            if not isinstance(cancelled, NoSuchJob):
                continue
            spec = JobSpec(job_id, 'payload', (_STEP,))
            self._checker.note_cancelled_early(spec)
            await asyncio.sleep(self._rng.uniform(0, _MAX_DELAY_S))
            await self._gateway().call(
                SubmitJob(*location, spec), _CALL_TIMEOUT_S
            )

    def _gateway(self) -> Gateway:
        return self._rng.choice(self._gateways)
