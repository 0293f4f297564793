"""Simulate random waves, drains and faults, and count unavailable tasks.

Every VM is maintained while workers are cut off, crash and drain, answers are
lost, leaders change, and starts and orders need a commit to be recorded.
Unavailable tasks are counted from what the workers did, not from the leader's
view.
"""

from __future__ import annotations

import dataclasses
import itertools
import random
from unittest import mock

import msgspec
import testtools

from tests.builders_jobs import (
    QUEUE,
    FakeLead,
    job,
    serving_step,
    step,
    store_with,
)
from wigeonreach.jobs import (
    AddJob,
    RecordRuns,
    RecordVmStep,
    Run,
    RunEnd,
    RunStarted,
    StartWave,
    TaskKey,
    VmStep,
)
from wigeonreach.lab import BrokenRuleError, commit
from wigeonreach.scheduling import _disruption_budget
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import WorkerOrders

_DAYS = 12
_STEP_S = 0.1
_STEPS = 450
_VMS = 14
_TASKS = 6
# Steps from a start until a serving task serves, and until a task that does not
# serve counts as unavailable, whatever the cause.
_STARTUP_STEPS = 5
_NOTICE_STEPS = 65
# Greatest length of a stop in steps; the run is listed until it ends.
_STOP_STEPS = 4
_MAINTENANCE_STEPS = 20
# Timeout of a heartbeat in steps; the worker then sends the next one.
_GIVEN_UP_STEPS = 10
_HOLD_STEPS = 8
_WHOLE = 100


@dataclasses.dataclass(slots=True)
class _Vm:
    """A VM, the incarnation of its worker, and its current faults."""

    name: str
    worker: StandInWorker
    down_until: int = 0
    cut_until: int = 0
    # When each serving run began, and when each run being stopped will end.
    began: dict[Run, int] = dataclasses.field(default_factory=dict)
    stops: dict[Run, int] = dataclasses.field(default_factory=dict)
    # The answer in flight, and when its heartbeat was sent.
    orders: tuple[int, WorkerOrders] | None = None

    @property
    def keeps_runs(self) -> bool:
        """Whether a run on it would continue without an order."""
        return not self.worker.is_draining


class _Day:
    """A simulated day, determined by a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.serial = itertools.count(1)
        self.waves = itertools.count(1)
        self.store = store_with()
        self.max_unavailable = self.rng.choice((1, 2))
        self.lead = FakeLead(self.store, ())
        self.vms = [
            _Vm(f'vm{number}', StandInWorker(f'w{number}', f'vm{number}'))
            for number in range(_VMS)
        ]
        # Tasks that an order ended, and since when each task is not serving.
        self.ended_by_order: set[TaskKey] = set()
        self.not_serving_since: dict[TaskKey, int] = {}
        self.unrecorded: tuple[RunStarted, ...] = ()
        self.vm_orders: list[tuple[int, int, str, str]] = []
        serving = serving_step(_TASKS, max_unavailable=self.max_unavailable)
        commit(self.store, AddJob(job(serving, job_id='a' * 16), QUEUE))

    def step(self) -> None:
        """Simulate a tenth of a second."""
        self.now += 1
        self.lead.now_s = self.now * _STEP_S
        self._disturb()
        for vm in self.vms:
            self._live(vm)
        self._decide()
        for answered in self.vms:
            self._answer(answered)
        self._order_vms()

    def _happens(self, per_mille: int) -> bool:
        return self.rng.randrange(1000) < per_mille

    def _disturb(self) -> None:
        vm = self.rng.choice(self.vms)
        if self._happens(60):
            batch = step(self.rng.randint(1, 6), estimate_ms=400)
            spec = job(batch, job_id=f'{next(self.serial):016x}')
            commit(self.store, AddJob(spec, QUEUE))
        if self._happens(15):
            for cut in self.rng.sample(self.vms, self.rng.randint(1, 4)):
                cut.cut_until = self.now + self.rng.randint(3, 60)
        if self._happens(8):
            self._crash(vm, self.rng.randint(2, 60))
        if self._happens(8) and not vm.worker.is_draining:
            vm.worker.is_draining = True
        if self._happens(8):
            # Unrecorded decisions of the former leader are void.
            self.unrecorded = ()
            self.vm_orders.clear()
            self.lead = FakeLead(
                self.store,
                (),
                self.lead.term + 1,
                self.lead.now_s,
            )
        if not self.lead.scheduler.maintenance.is_active:
            named = tuple(each.name for each in self.vms)
            limit = self.rng.randint(1, 5)
            commit(self.store, StartWave(next(self.waves), named, 20, limit))

    def _crash(self, vm: _Vm, steps: int) -> None:
        for run in vm.began:
            self._note_unavailable(run)
        name = f'incarnation{next(self.serial)}'
        vm.worker = StandInWorker(name, vm.name)
        vm.down_until = self.now + steps
        vm.began.clear()
        vm.stops.clear()
        vm.orders = None

    def _note_unavailable(self, run: Run) -> None:
        self.not_serving_since.setdefault(run[0], self.now)

    def _live(self, vm: _Vm) -> None:
        """Advance, end and lapse a worker's runs, and send its heartbeat."""
        if self.now < vm.down_until:
            return
        worker = vm.worker
        if self._drained(vm):
            return
        for run, ends_at in list(vm.stops.items()):
            if self.now >= ends_at:
                vm.stops.pop(run)
                vm.began.pop(run, None)
                worker.end(run, RunEnd.STOPPED)
        self._lapse(vm)
        for going in list(worker.running):
            self._progress(vm, going)
        if self.now >= vm.cut_until:
            self._send(vm)

    def _drained(self, vm: _Vm) -> bool:
        if not vm.worker.is_draining or not self._happens(20):
            return False
        self._crash(vm, 20)
        return True

    def _lapse(self, vm: _Vm) -> None:
        worker = vm.worker
        if self.lead.now_s > worker.lease_until_s:
            for run in list(worker.running):
                self._note_unavailable(run)
                worker.end(run, RunEnd.LAPSED)
            vm.began.clear()
            vm.stops.clear()

    def _progress(self, vm: _Vm, run: Run) -> None:
        if run not in vm.began:
            if self._happens(250):
                vm.worker.end(run, RunEnd.DONE)
            return
        if self.now - vm.began[run] >= _STARTUP_STEPS:
            vm.worker.advance_one(run, _WHOLE)
            if run not in vm.stops:
                self.ended_by_order.discard(run[0])
                self.not_serving_since.pop(run[0], None)
        if self._happens(2):
            vm.began.pop(run)
            vm.stops.pop(run, None)
            self._note_unavailable(run)
            vm.worker.end(run, RunEnd.FAILED)

    def _send(self, vm: _Vm) -> None:
        """Send a heartbeat, unless the last one is still unanswered."""
        if vm.orders is None:
            vm.orders = (self.now, WorkerOrders())
            self.lead.hear(vm.worker)

    def _decide(self) -> None:
        lead = self.lead
        lost = lead.scheduler.take_lost_runs(lead.now_s)
        commit(self.store, RecordRuns(lead.term, ends=lost))
        # Orders for VMs are decided while starts are not recorded yet.
        found = lead.scheduler.maintenance.step(
            lead.scheduler.stopping,
            lead.now_s,
        )
        lead.scheduler.stopping.update(found.stops)
        if self.unrecorded:
            commit(self.store, RecordRuns(lead.term, starts=self.unrecorded))
        self.unrecorded = lead.scheduler.plan(lead.now_s, lead.now_s * 1000)
        for returned in found.returned:
            self._record(*returned, VmStep.DONE, '')
        under_way = {vm for _, _, vm, _ in self.vm_orders}
        for wave, name, worker in found.orders:
            if name not in under_way:
                due = self.now + self.rng.randint(1, 4)
                self.vm_orders.append((due, wave, name, worker))

    def _record(self, wave: int, vm: str, reached: VmStep, worker: str) -> None:
        term = self.lead.term
        commit(self.store, RecordVmStep(term, wave, vm, reached, worker))

    def _order_vms(self) -> None:
        for order in list(self.vm_orders):
            due, wave, name, worker = order
            if self.now < due:
                continue
            self.vm_orders.remove(order)
            self._record(wave, name, VmStep.ORDERED, worker)
            vm = next(each for each in self.vms if each.name == name)
            if self.now < vm.down_until:
                continue
            for run in list(vm.began):
                self._end_by_order(vm, run)
            self._crash(vm, _MAINTENANCE_STEPS)
            lead = self.lead
            lead.scheduler.workers.note_ordered(worker, lead.now_s)
            lead.scheduler.maintenance.note_confirmed(wave, name, lead.now_s)

    def _answer(self, vm: _Vm) -> None:
        if vm.orders is None:
            return
        sent, _ = vm.orders
        known = self.lead.scheduler.workers.incarnations.get(vm.worker.name)
        is_lost = self.now < vm.cut_until or self._happens(30)
        # The answer to a heartbeat is held back for a while.
        is_held = sent > self.now - _HOLD_STEPS and self._happens(600)
        is_lost = is_lost or is_held or self.now < vm.down_until
        sequence = known.report.sequence if known else 0
        if known is not None and sequence == vm.worker.sequence and not is_lost:
            vm.orders = None
            orders = self.lead.scheduler.answers.orders(known, self.lead.now_s)
            self._obey(vm, orders, sent)
        elif self.now - sent >= _GIVEN_UP_STEPS:
            vm.orders = None

    def _obey(self, vm: _Vm, orders: WorkerOrders, sent: int) -> None:
        for stop in orders.stops:
            run = (stop.task, stop.run)
            if run in vm.began and run not in vm.stops:
                self._end_by_order(vm, run)
                vm.stops[run] = self.now + self.rng.randint(1, _STOP_STEPS)
        # A serving run that is being stopped is listed until it has ended.
        stops = tuple(
            stop
            for stop in orders.stops
            if (stop.task, stop.run) not in vm.began
        )
        obeyed = msgspec.structs.replace(orders, stops=stops)
        for start in vm.worker.obey(obeyed, percent=1, sent_s=sent * _STEP_S):
            if self.store.is_serving(start.task):
                vm.began[start.task, start.run] = self.now

    def _end_by_order(self, vm: _Vm, run: Run) -> None:
        """Record that an order ends a serving run; check its step's limit."""
        is_serving = self.now - vm.began[run] >= _STARTUP_STEPS
        unavailable = {
            key
            for key in self._others(run[0])
            if key in self.ended_by_order
            or self.now - self.not_serving_since.get(key, self.now)
            >= _NOTICE_STEPS
        }
        if (
            is_serving
            and vm.keeps_runs
            and len(unavailable) >= self.max_unavailable
        ):
            raise BrokenRuleError(
                f'{run}: {len(unavailable)} others are unavailable'
            )
        self.ended_by_order.add(run[0])
        self._note_unavailable(run)

    def _others(self, key: TaskKey) -> list[TaskKey]:
        record = self.store.job_of(key)
        assert record is not None
        return [other for other in record.step_keys(key) if other != key]


def _play(seed: int) -> _Day:
    day = _Day(seed)
    for _ in range(_STEPS):
        day.step()
    return day


class TestInjectedFault(testtools.TestCase):
    """A deliberate fault that the simulation has to detect."""

    def test_stops_that_are_forgotten_are_found(self) -> None:
        """Every run counts as serving, even while it is being stopped."""
        forgetful = mock.patch.object(
            _disruption_budget,
            '_is_listed_serving',
            lambda incarnation, run: True,
        )
        with forgetful:
            self.assertRaises(BrokenRuleError, self._play_all)

    def _play_all(self) -> None:
        for seed in range(_DAYS):
            _play(seed)


class TestRandomMoving(testtools.TestCase):
    """Days with waves, each with its own seed."""

    def test_orders_keep_the_limit_of_a_step(self) -> None:
        """Orders keep the limit of the step whatever faults coincide."""
        for seed in range(_DAYS):
            _play(seed)
