"""Send heartbeats that no worker has sent."""

from __future__ import annotations

import asyncio
import random

import msgspec

from soak._workers import REPLY_TIMEOUT_S, Workers, new_worker
from wigeonreach.gateway import Gateway
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._call_messages import HearWorker
from wigeonreach.wire._worker_messages import WorkerReport

_INTERVAL_S = 0.5
# No worker runs on it.
_VM = 'vm-1000'
# Ahead of the worker's own, as a newer heartbeat would be.
_SEQUENCE_LEAD = 3


class OtherWriter:
    """Sends two kinds of heartbeats in turn, and ignores all orders.

    One is of an idle worker that does not exist, which is given runs and never
    begins them.  The other is under the id of a worker, without its runs.

    Parameters
    ----------
    gateway
        Gateway through which it reaches the leader.
    rng
        Random generator for the workers whose ids it uses.
    """

    def __init__(self, gateway: Gateway, rng: random.Random) -> None:
        """Prepare; nothing is sent before ``run``."""
        self._gateway = gateway
        self._rng = rng
        self._idle = new_worker(_VM)

    async def run(self, workers: Workers) -> None:
        """Send heartbeats until cancelled."""
        while True:
            await self._send(self._idle.report())
            await self._send(_without_runs(self._rng.choice(workers.current())))

    async def _send(self, report: WorkerReport) -> None:
        await self._gateway.call(HearWorker(report), REPLY_TIMEOUT_S)
        await asyncio.sleep(_INTERVAL_S)


def _without_runs(worker: StandInWorker) -> WorkerReport:
    """Return a heartbeat under a worker's id that lists none of its runs."""
    report = worker.last_report
    sequence = report.sequence + _SEQUENCE_LEAD
    return msgspec.structs.replace(
        report, sequence=sequence, running=(), ended=()
    )
