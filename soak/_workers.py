"""Let stand-in workers run what core processes order."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

from soak._promises import Promises
from wigeonreach.gateway import Gateway
from wigeonreach.jobs import Run, RunEnd, TaskKey
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._call_messages import HearWorker
from wigeonreach.wire._call_replies import Orders

# An answer that comes later is dropped, as workers do.
_ANSWER_S = 1.0
_POLL_S = 0.05
_FAILED_PERCENT = 3
_SHORTEST_RUN_S = 0.1
_LONGEST_RUN_S = 1.5
_NS_PER_MS = 1_000_000


@dataclasses.dataclass(slots=True)
class _Vm:
    """A VM, the worker on it and when its runs end."""

    name: str
    worker: StandInWorker
    due_s: dict[Run, float] = dataclasses.field(default_factory=dict)


class Workers:
    """The workers of one run, each with a task of its own.

    Parameters
    ----------
    count
        How many VMs there are.
    gateway
        How they reach whoever leads.
    promises
        Told of each start and end.
    rng
        Draws how long runs take and how they end.
    """

    def __init__(
        self,
        count: int,
        gateway: Gateway,
        promises: Promises,
        rng: random.Random,
    ) -> None:
        """Run nothing yet."""
        self._gateway = gateway
        self._promises = promises
        self._rng = rng
        self._vms = [
            _Vm(f'vm-{number}', _new_worker(f'vm-{number}'))
            for number in range(count)
        ]

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            for vm in self._vms:
                group.create_task(self._live(vm))

    def crash(self, subject: int) -> None:
        """End a worker with all that runs on it; it starts again under its id."""
        vm = self._vms[subject % len(self._vms)]
        vm.due_s.clear()
        vm.worker = _new_worker(vm.name)

    def running(self) -> dict[TaskKey, str]:
        """Return what runs, and where."""
        now_s = time.monotonic()
        for vm in self._vms:
            vm.worker.lapse(now_s)
        return {
            key: vm.worker.incarnation
            for vm in self._vms
            for key, _ in vm.worker.running
        }

    async def _live(self, vm: _Vm) -> None:
        while True:
            worker = vm.worker
            self._let_end(vm)
            sent_s = time.monotonic()
            reply = await self._gateway.call(
                HearWorker(worker.report()),
                _ANSWER_S,
            )
            is_late = time.monotonic() - sent_s > _ANSWER_S
            # A worker that crashed meanwhile gets no answer any more.
            if (
                isinstance(reply, Orders)
                and not is_late
                and worker is vm.worker
            ):
                self._obey(vm, reply, sent_s)
            await asyncio.sleep(_POLL_S)

    def _obey(self, vm: _Vm, reply: Orders, sent_s: float) -> None:
        worker = vm.worker
        now_s = time.monotonic()
        worker.lapse(now_s)
        self._promises.note_acknowledged(worker, reply.orders, now_s)
        others = [other.worker for other in self._vms]
        for start in worker.obey(reply.orders, percent=1, sent_s=sent_s):
            self._promises.note_started(start, worker, others, now_s)
            length_s = self._rng.uniform(_SHORTEST_RUN_S, _LONGEST_RUN_S)
            vm.due_s[start.task, start.run] = now_s + length_s

    def _let_end(self, vm: _Vm) -> None:
        now_s = time.monotonic()
        worker = vm.worker
        worker.lapse(now_s)
        for run, due_s in list(vm.due_s.items()):
            if run not in worker.running:
                vm.due_s.pop(run)
            elif due_s <= now_s:
                has_failed = self._rng.randrange(100) < _FAILED_PERCENT
                how = RunEnd.FAILED if has_failed else RunEnd.DONE
                worker.end(run, how)
                self._promises.note_ended(run[0], worker.incarnation, how)
                vm.due_s.pop(run)
        worker.advance(_percent(now_s))


def _new_worker(vm: str) -> StandInWorker:
    born_ms = time.time_ns() // _NS_PER_MS
    return StandInWorker(f'worker-of-{vm}', vm, born_ms=born_ms)


def _percent(now_s: float) -> int:
    """Return some progress that is seen to move."""
    return int(now_s * 10) % 99 + 1
