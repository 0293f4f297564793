"""Simulate workers that run the tasks ordered by core processes."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

from soak._promises import InvariantChecker
from wigeonreach.gateway import Gateway
from wigeonreach.jobs import Run, RunEnd, TaskKey
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._call_messages import HearWorker
from wigeonreach.wire._call_replies import Orders

# Like real workers, drop a reply that arrives later than this.
REPLY_TIMEOUT_S = 1.0
_HEARTBEAT_S = 0.05
_FAILED_PERCENT = 3
_MIN_RUN_S = 0.1
_MAX_RUN_S = 1.5
_NS_PER_MS = 1_000_000
_ZONES = 3


@dataclasses.dataclass(slots=True)
class _Vm:
    """A VM, its worker and the times at which the worker's runs end.

    While it is not heard, its heartbeats are lost.
    """

    name: str
    worker: StandInWorker
    due_s: dict[Run, float] = dataclasses.field(default_factory=dict)
    is_heard: bool = True


class Workers:
    """The workers of one run, each with its own asyncio task.

    Parameters
    ----------
    count
        Number of VMs, each with one worker.
    gateway
        Gateway through which workers reach the leader.
    checker
        Receives each start and end of a run.
    rng
        Random generator for the length and result of runs.
    """

    def __init__(
        self,
        count: int,
        gateway: Gateway,
        checker: InvariantChecker,
        rng: random.Random,
    ) -> None:
        """Create the workers without starting them."""
        self._gateway = gateway
        self._checker = checker
        self._rng = rng
        self._vms = [
            _Vm(f'vm-{number}', new_worker(f'vm-{number}'))
            for number in range(count)
        ]

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with asyncio.TaskGroup() as group:
            for vm in self._vms:
                group.create_task(self._heartbeat_loop(vm))

    def current(self) -> list[StandInWorker]:
        """Return the present worker of each VM."""
        return [vm.worker for vm in self._vms]

    def crash(self, selector: int) -> None:
        """Kill a worker with its runs and restart it with the same ID."""
        vm = self._vms[selector % len(self._vms)]
        vm.due_s.clear()
        vm.worker = new_worker(vm.name)

    def set_heard(self, number: int, is_heard: bool) -> None:
        """Lose the heartbeats of a worker from now on, or no longer."""
        self._vms[number].is_heard = is_heard

    def running(self) -> dict[TaskKey, str]:
        """Return the running tasks, each with the worker that runs it."""
        now_s = time.monotonic()
        for vm in self._vms:
            vm.worker.lapse(now_s)
        return {
            key: vm.worker.incarnation
            for vm in self._vms
            for key, _ in vm.worker.running
        }

    async def _heartbeat_loop(self, vm: _Vm) -> None:
        while True:
            worker = vm.worker
            self._end_due_runs(vm)
            if not vm.is_heard:
                await asyncio.sleep(_HEARTBEAT_S)
                continue
            sent_s = time.monotonic()
            reply = await self._gateway.call(
                HearWorker(worker.report()),
                REPLY_TIMEOUT_S,
            )
            is_late = time.monotonic() - sent_s > REPLY_TIMEOUT_S
            # A worker that crashed in the meantime gets no reply.
            if (
                isinstance(reply, Orders)
                and not is_late
                and worker is vm.worker
            ):
                self._apply_orders(vm, reply, sent_s)
            await asyncio.sleep(_HEARTBEAT_S)

    def _apply_orders(self, vm: _Vm, reply: Orders, sent_s: float) -> None:
        worker = vm.worker
        now_s = time.monotonic()
        worker.lapse(now_s)
        self._checker.note_acknowledged(worker, reply.orders, now_s)
        others = self.current()
        for start in worker.obey(reply.orders, percent=1, sent_s=sent_s):
            self._checker.note_started(start, worker, others, now_s)
            length_s = self._rng.uniform(_MIN_RUN_S, _MAX_RUN_S)
            vm.due_s[start.task, start.run] = now_s + length_s

    def _end_due_runs(self, vm: _Vm) -> None:
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
                self._checker.note_ended(run[0], worker.incarnation, how)
                vm.due_s.pop(run)
        worker.advance(_percent(now_s))


def new_worker(vm: str) -> StandInWorker:
    """Return a worker that starts on a VM, whose name ends in a number."""
    born_ms = time.time_ns() // _NS_PER_MS
    zone = f'z{int(vm.rpartition("-")[-1]) % _ZONES}'
    return StandInWorker(f'worker-of-{vm}', vm, born_ms=born_ms, zone=zone)


def _percent(now_s: float) -> int:
    """Return a progress value that changes with time."""
    return int(now_s * 10) % 99 + 1
