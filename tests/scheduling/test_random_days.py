"""Play short days in virtual time, with faults at random, and check rules.

Workers are cut off, crash and come back under their ids or other ones, leave, lose
answers and send heartbeats late, also after they have started again; leaders change;
jobs are cancelled and tasks fail.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from unittest import mock

import testtools
from testtools import matchers

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
    CancelJob,
    JobPhase,
    JobStore,
    RunEnd,
    TaskKey,
)
from wigeonreach.lab import BrokenRuleError, check_start, check_workers, commit
from wigeonreach.scheduling import _incarnation, _room_left, _workers
from wigeonreach.standins import StandInWorker, _worker
from wigeonreach.wire._worker_messages import RunningTask, WorkerReport

_DAYS = 25
_DAYS_UNTIL_FOUND = 25
_STEP_S = 0.1
_STEPS = 300
_CALM_STEPS = 400
_VMS = 6
_SLOW_CLOCK = 1.02
_FIRST_START_MS = 1_000_000


@dataclasses.dataclass(slots=True)
class _Machine:
    """A VM and the incarnation of its worker."""

    vm: str
    worker: StandInWorker
    lease_until_s: float = 0.0
    cut_until_s: float = 0.0
    down_until_s: float = 0.0
    late: WorkerReport | None = None
    work: dict[tuple[TaskKey, int], int] = dataclasses.field(
        default_factory=dict,
    )


class _Day:
    """One day, drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store: JobStore = store_with()
        self.machines = [
            _Machine(
                f'vm{number}',
                StandInWorker(f'w{number}', f'vm{number}', born_ms=1),
            )
            for number in range(_VMS)
        ]
        self.lead = FakeLead(self.store, ())
        self.now_s = 0.0
        self.serial = 0
        self.failures: collections.Counter[TaskKey] = collections.Counter()
        self.noted_done: set[TaskKey] = set()
        self.lapsed: set[tuple[str, int]] = set()

    def step(self, is_calm: bool) -> None:
        """Let a tenth of a second pass."""
        self.now_s += _STEP_S
        self.lead.now_s = self.now_s
        if not is_calm:
            self._disturb()
        for machine in self.machines:
            self._live(machine)
        self.lead.plan()
        for told in self.machines:
            self._answer(told)
        self._check()

    def _disturb(self) -> None:
        rng = self.rng
        if self._happens(20):
            self._submit()
        if self._happens(2) and self.store.jobs:
            commit(self.store, CancelJob(rng.choice(list(self.store.jobs))))
        if self._happens(3):
            rng.choice(self.machines).cut_until_s = self.now_s + rng.uniform(
                0.5,
                9,
            )
        if self._happens(2):
            self._crash(rng.choice(self.machines))
        if self._happens(1):
            self.lead = FakeLead(
                self.store,
                (),
                self.lead.term + 1,
                self.now_s,
            )

    def _happens(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def _submit(self) -> None:
        self.serial += 1
        rng = self.rng
        steps = [
            step(rng.randint(1, 6), cpu_millicores=rng.choice((500, 4000)))
        ]
        if self._happens(50):
            steps.append(step(rng.randint(1, 4), after=(0,)))
        if self._happens(10):
            steps = [serving_step(2)]
        spec = job(*steps, job_id=f'{self.serial:016x}')
        commit(self.store, AddJob(spec, QUEUE))

    def _crash(self, machine: _Machine) -> None:
        self.serial += 1
        machine.down_until_s = self.now_s + self.rng.uniform(0.2, 3)
        keeps_id = self._happens(70)
        name = machine.worker.name if keeps_id else f'w{self.serial}'
        # Clocks step, so a later start may have a lower number.
        born_ms = _FIRST_START_MS + self.serial * self.rng.choice((1, -1))
        machine.worker = StandInWorker(name, machine.vm, born_ms=born_ms)
        machine.work.clear()
        machine.lease_until_s = 0

    def _live(self, machine: _Machine) -> None:
        """Let a worker's tasks go on, end and lapse."""
        worker = machine.worker
        if self.now_s < machine.down_until_s:
            return
        if worker.running and self.now_s > machine.lease_until_s:
            for lapsed in list(worker.running):
                worker.end(lapsed, RunEnd.LAPSED)
            machine.work.clear()
        for run, left in list(machine.work.items()):
            machine.work[run] = left - 1
            self._progress(machine, run, left)
        if machine.late is not None and self._happens(30):
            self.lead.scheduler.hear(machine.late, self.now_s)
            machine.late = None
        if self.now_s >= machine.cut_until_s:
            self._send(machine)

    def _progress(
        self,
        machine: _Machine,
        run: tuple[TaskKey, int],
        left: int,
    ) -> None:
        worker = machine.worker
        record = self.store.job_of(run[0])
        is_serving = record is not None and record.step_spec(run[0]).is_service
        if left > 0 or is_serving:
            percent = 100 if is_serving else max(1, 99 - left)
            worker.running[run] = RunningTask(*run, '', percent)
            return
        machine.work.pop(run)
        has_failed = self._happens(5)
        worker.end(run, RunEnd.FAILED if has_failed else RunEnd.DONE)

    def _send(self, machine: _Machine) -> None:
        if self._happens(5):
            machine.late = machine.worker.report()
            return
        self.lead.hear(machine.worker)

    def _answer(self, machine: _Machine) -> None:
        worker = machine.worker
        incarnation = self.lead.scheduler.workers.incarnations.get(
            worker.incarnation,
        )
        is_reached = self.now_s >= machine.cut_until_s
        is_up = self.now_s >= machine.down_until_s
        is_fresh = (
            incarnation is not None
            and incarnation.report.sequence == worker.sequence
        )
        if incarnation is None or not (is_reached and is_up and is_fresh):
            return
        if self._happens(10):
            return
        orders = self.lead.scheduler.answers.orders(incarnation, self.now_s)
        self._note_done(machine, orders.acknowledged)
        for start in orders.starts:
            check_start(start, self.store)
            self._check_not_done(start.task)
            machine.work[start.task, start.run] = self.rng.randint(1, 30)
        worker.obey(orders, percent=1)
        machine.work = {
            run: left
            for run, left in machine.work.items()
            if run in worker.running
        }
        hold_s = orders.lease_ms / 1000 * _SLOW_CLOCK
        machine.lease_until_s = max(
            machine.lease_until_s,
            self.now_s + hold_s,
        )

    def _note_done(self, machine: _Machine, acknowledged: int) -> None:
        """Take note of the good ends that an answer acknowledges.

        An end counts only if the lease went on until then.
        """
        listed = {ended.number: ended for ended in machine.worker.ended}
        if self.now_s > machine.lease_until_s:
            name = machine.worker.incarnation
            self.lapsed.update((name, number) for number in listed)
        for number, ended in listed.items():
            is_lapsed = (machine.worker.incarnation, number) in self.lapsed
            is_noted = number <= acknowledged and not is_lapsed
            if is_noted and ended.end is RunEnd.DONE:
                self.noted_done.add(ended.task)

    def _check_not_done(self, key: TaskKey) -> None:
        is_single = not self.store.may_run_twice(key)
        if key in self.noted_done and is_single:
            raise BrokenRuleError(f'{key}: begun again after it was done')

    def _check(self) -> None:
        up = (
            machine.worker
            for machine in self.machines
            if self.now_s >= machine.down_until_s
        )
        check_workers(up, self.store)


def _id_alone(worker_id: str, born_ms: int | None) -> str:
    return worker_id


def _play(seed: int) -> _Day:
    day = _Day(seed)
    for _ in range(_STEPS):
        day.step(is_calm=False)
    for _ in range(_CALM_STEPS):
        day.step(is_calm=True)
    return day


class TestPlantedFaults(testtools.TestCase):
    """Variants that such days have to find out."""

    def test_start_that_is_not_read_is_found(self) -> None:
        """All lives of a worker are taken for one."""
        patch = mock.patch.object(_worker, 'incarnation_name', _id_alone)
        patch.start()
        self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, self._play_all)

    def test_lease_that_is_taken_for_shorter_is_found(self) -> None:
        """Work is reassigned while its worker still runs it."""
        for module in (_incarnation, _workers):
            patch = mock.patch.object(module, 'LEASE_OVER_S', 2.5)
            patch.start()
            self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, self._play_all)

    def test_room_of_stopping_runs_that_is_forgotten_is_found(self) -> None:
        """Only what is assigned is counted, not what still runs."""
        with mock.patch.object(
            _room_left,
            '_add_known',
            lambda room, key, store: None,
        ):
            self.assertRaises(BrokenRuleError, self._play_all)

    def _play_all(self) -> None:
        for seed in range(_DAYS_UNTIL_FOUND):
            _play(seed)


class TestRandomDays(testtools.TestCase):
    """Days with faults, then a calm while."""

    def test_rules_hold_and_work_ends(self) -> None:
        """No rule is broken, and all that can be done is done."""
        for seed in range(_DAYS):
            day = _play(seed)
            left = [
                record.spec.job_id
                for record in day.store.jobs.values()
                if record.phase is JobPhase.ACTIVE
                and not record.spec.steps[0].is_service
            ]
            self.assertThat(left, matchers.Equals([]), f'seed {seed}')
