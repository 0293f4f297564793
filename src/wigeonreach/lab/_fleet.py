"""Emulated VMs and the workers on them, in virtual time."""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
from collections.abc import Callable, Iterator

from wigeonreach.jobs import JobStore, Run, RunEnd, TaskKey
from wigeonreach.lab._demand import STANDBY
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import (
    RunningTask,
    StartOrder,
    WorkerOrders,
)

_DONE_PERCENT = 100
# Factor by which a worker's clock may run slow, which extends its lease.
_CLOCK_DRIFT = 1.02
# After this, the answer is abandoned and the heartbeat is sent again.
_HEARTBEAT_TIMEOUT_S = 1.0
# Slowdown of all work on a slow worker.
_SLOW_FACTOR = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """Parameters of the fleet; all VMs are of one size.

    Attributes
    ----------
    pool_vms
        VMs in the pool of each service at the start.
    standby_vms
        VMs in the standby pool at the start.
    rack_vms
        VMs that share a rack.
    move_s
        How long a VM is unavailable while it moves between pools.
    far_factor
        Slowdown of a task that runs on another rack than its data.
    """

    pool_vms: int = 6
    standby_vms: int = 6
    rack_vms: int = 4
    millicores: int = 64_000
    memory_mb: int = 131_072
    move_s: float = 1.5
    far_factor: float = 3.0
    labels: tuple[str, ...] = ('kind-a', 'kind-b')


@dataclasses.dataclass(slots=True)
class Vm:
    """One VM, and the incarnation of the worker on it.

    Attributes
    ----------
    available_from_s
        When its worker can start.
    partitioned_until_s
        End of its network partition.
    slow_until_s
        Until when all work on it is slowed down.
    heartbeat_sent_s
        When the heartbeat that awaits an answer was sent; None without one.
    next_heartbeat_s
        When the next heartbeat is due.
    worked_s
        Time for which each run has worked.
    """

    name: str
    rack: str
    label: str
    pool: str
    worker: StandInWorker | None = None
    available_from_s: float = 0.0
    partitioned_until_s: float = 0.0
    slow_until_s: float = 0.0
    heartbeat_sent_s: float | None = None
    next_heartbeat_s: float = 0.0
    worked_s: dict[Run, float] = dataclasses.field(default_factory=dict)

    def is_partitioned(self, now_s: float) -> bool:
        """Whether the network of the VM is partitioned."""
        return now_s < self.partitioned_until_s


# Returns the true duration of a task on a healthy worker near its data, in
# seconds.
TaskDuration = Callable[[TaskKey], float]


class Fleet:
    """All VMs of a simulated day.

    Parameters
    ----------
    plan
        Parameters of the fleet.
    services
        Services whose pools contain the VMs at the start.
    store
        Specifications of the tasks; it is only read.
    task_duration
        Returns how long a task takes.
    seed
        Seed of the day.
    """

    def __init__(
        self,
        plan: FleetPlan,
        services: tuple[str, ...],
        store: JobStore,
        task_duration: TaskDuration,
        seed: int,
    ) -> None:
        """Start a worker on each VM outside the standby pool."""
        self.plan = plan
        self._store = store
        self._task_duration = task_duration
        self._rng = random.Random(seed)
        self._incarnation_numbers = itertools.count(1)
        pools = itertools.chain(
            *itertools.repeat(services, plan.pool_vms),
            itertools.repeat(STANDBY, plan.standby_vms),
        )
        self.vms = {
            f'vm{number:03}': self._new_vm(number, pool)
            for number, pool in enumerate(pools)
        }

    @property
    def racks(self) -> tuple[str, ...]:
        """All racks."""
        return tuple(sorted({vm.rack for vm in self.vms.values()}))

    def vms_in_use(self) -> int:
        """Return the number of VMs with a worker; the others cost nothing."""
        return sum(vm.worker is not None for vm in self.vms.values())

    def running_workers(self) -> Iterator[tuple[Vm, StandInWorker]]:
        """Yield the VMs with a running worker, and the worker."""
        for vm in self.vms.values():
            if vm.worker is not None:
                yield vm, vm.worker

    def move(self, name: str, pool: str, now_s: float) -> None:
        """Stop the worker of a VM and move the VM to a pool."""
        vm = self.vms[name]
        vm.worker = None
        vm.pool = pool
        vm.available_from_s = now_s + self.plan.move_s
        vm.worked_s.clear()

    def crash(self, vm: Vm, now_s: float, downtime_s: float) -> None:
        """Crash a worker; a new one starts on the VM after the downtime."""
        vm.worker = None
        vm.available_from_s = now_s + downtime_s
        vm.worked_s.clear()

    def advance(self, now_s: float, step_s: float) -> None:
        """Advance all workers by one step: start, work, lose leases."""
        for vm in self.vms.values():
            if (
                vm.worker is None
                and vm.pool != STANDBY
                and now_s >= vm.available_from_s
            ):
                self._start_worker(vm, now_s)
        for vm, worker in self.running_workers():
            self._advance_worker(vm, worker, now_s, step_s)

    def deliver_orders(
        self, vm: Vm, orders: WorkerOrders, now_s: float
    ) -> None:
        """Deliver the answer to a worker's heartbeat."""
        worker = vm.worker
        if worker is None or vm.heartbeat_sent_s is None:
            return
        sent_s = vm.heartbeat_sent_s
        vm.heartbeat_sent_s = None
        vm.next_heartbeat_s = now_s + orders.next_after_ms / 1000
        if now_s - sent_s > _HEARTBEAT_TIMEOUT_S:
            return
        worker.obey(orders, percent=0, sent_s=sent_s)
        worker.lease_until_s = max(
            worker.lease_until_s, sent_s + orders.lease_ms / 1000 * _CLOCK_DRIFT
        )

    def is_far(self, order: StartOrder, vm: Vm) -> bool:
        """Whether a run starts on another rack than its data."""
        spec = self._store.spec_of(order.task)
        return bool(spec and spec.data_rack and spec.data_rack != vm.rack)

    def _new_vm(self, number: int, pool: str) -> Vm:
        plan = self.plan
        vm = Vm(
            name=f'vm{number:03}',
            rack=f'rack{number // plan.rack_vms:02}',
            label=plan.labels[number % len(plan.labels)],
            pool=pool,
        )
        if pool != STANDBY:
            self._start_worker(vm, 0)
        return vm

    def _start_worker(self, vm: Vm, now_s: float) -> None:
        # A worker keeps its id, but each start is a new incarnation.
        vm.worker = StandInWorker(
            f'worker-of-{vm.name}',
            vm.name,
            born_ms=next(self._incarnation_numbers),
            service=vm.pool,
            cpu_millicores=self.plan.millicores,
            memory_mb=self.plan.memory_mb,
            rack=vm.rack,
            kind=vm.label,
        )
        vm.heartbeat_sent_s = None
        vm.next_heartbeat_s = now_s + self._rng.uniform(0, 0.2)

    def _advance_worker(
        self,
        vm: Vm,
        worker: StandInWorker,
        now_s: float,
        step_s: float,
    ) -> None:
        worker.lapse(now_s)
        ended = len(worker.ended)
        is_slow = now_s < vm.slow_until_s
        worked_s = step_s / _SLOW_FACTOR if is_slow else step_s
        for run in list(worker.running):
            if self._is_gang_complete(run):
                self._advance_run(vm, worker, run, worked_s)
        vm.worked_s = {
            run: worked_s
            for run, worked_s in vm.worked_s.items()
            if run in worker.running
        }
        if len(worker.ended) > ended:
            vm.next_heartbeat_s = min(vm.next_heartbeat_s, now_s + step_s)

    def _is_gang_complete(self, run: Run) -> bool:
        """Whether a run can make progress: its whole gang must be running."""
        spec = self._store.spec_of(run[0])
        if spec is None or not spec.is_gang:
            return True
        return len(list(self._gang_members(run))) == spec.count

    def _gang_members(self, run: Run) -> Iterator[tuple[StandInWorker, Run]]:
        """Yield the running members of a run's gang."""
        key, number = run
        step = (key.job_id, key.occurrence, key.step, number)
        for _, worker in self.running_workers():
            for other, attempt in worker.running:
                name = (other.job_id, other.occurrence, other.step, attempt)
                if name == step:
                    yield worker, (other, attempt)

    def _advance_run(
        self,
        vm: Vm,
        worker: StandInWorker,
        run: Run,
        step_s: float,
    ) -> None:
        spec = self._store.spec_of(run[0])
        if spec is None:
            return
        duration_s = self._task_duration(run[0])
        if spec.data_rack and spec.data_rack != vm.rack:
            duration_s *= self.plan.far_factor
        vm.worked_s[run] = vm.worked_s.get(run, 0) + step_s
        if math.isinf(duration_s):
            percent = _DONE_PERCENT
        else:
            done = vm.worked_s[run] / duration_s
            percent = min(int(done * _DONE_PERCENT), _DONE_PERCENT)
        worker.running[run] = RunningTask(*run, '', percent)
        if percent >= _DONE_PERCENT and not spec.is_service:
            self._end_run(worker, run)

    def _end_run(self, worker: StandInWorker, run: Run) -> None:
        """Complete a run, or its whole gang once the slowest member is done."""
        spec = self._store.spec_of(run[0])
        if spec is None or not spec.is_gang:
            worker.end(run, RunEnd.DONE)
            return
        members = list(self._gang_members(run))
        if all(
            member.running[other].percent >= _DONE_PERCENT
            for member, other in members
        ):
            for member, other in members:
                member.end(other, RunEnd.DONE)
