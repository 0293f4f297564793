"""Simulate short days in virtual time, with random faults.

Workers are cut off, crash and return under their ids or new ones, lose answers
and send heartbeats late, even after a restart.  Leaders change, jobs are
cancelled and tasks fail.
"""

from __future__ import annotations

import collections
import dataclasses
import random

from tests.builders_jobs import (
    QUEUE,
    FakeLead,
    job,
    serving_step,
    step,
    store_with,
)
from wigeonreach.jobs import AddJob, CancelJob, JobStore, RunEnd, TaskKey
from wigeonreach.lab import BrokenRuleError, check_start, check_workers, commit
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import (
    RunningTask,
    StartOrder,
    WorkerReport,
)

_STEP_S = 0.1
STEPS = 300
CALM_STEPS = 400
_VMS = 6
_SLOW_CLOCK = 1.02
_FIRST_START_MS = 1_000_000


@dataclasses.dataclass(slots=True)
class Machine:
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


class RandomDay:
    """A simulated day, determined by a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store: JobStore = store_with()
        self.machines = [
            Machine(
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
        """Simulate a tenth of a second."""
        self.now_s += _STEP_S
        self.lead.now_s = self.now_s
        if not is_calm:
            self.disturb()
        for machine in self.machines:
            self._live(machine)
        self.lead.plan()
        for answered in self.machines:
            self._answer(answered)
        self.check()

    def disturb(self) -> None:
        """Inject random jobs, cancellations and faults."""
        rng = self.rng
        if self.happens(20):
            self.submit()
        if self.happens(2) and self.store.jobs:
            commit(self.store, CancelJob(rng.choice(list(self.store.jobs))))
        if self.happens(3):
            rng.choice(self.machines).cut_until_s = self.now_s + rng.uniform(
                0.5,
                9,
            )
        if self.happens(2):
            self._crash(rng.choice(self.machines))
        if self.happens(1):
            self.lead = FakeLead(
                self.store,
                (),
                self.lead.term + 1,
                self.now_s,
            )

    def happens(self, percent: int) -> bool:
        """Return whether an event of this probability happens."""
        return self.rng.randrange(100) < percent

    def calm_down(self) -> None:
        """Prepare for the steps without faults; a hook for subclasses."""

    def submit(self) -> None:
        """Submit a random job."""
        self.serial += 1
        rng = self.rng
        steps = [
            step(rng.randint(1, 6), cpu_millicores=rng.choice((500, 4000)))
        ]
        if self.happens(50):
            steps.append(step(rng.randint(1, 4), after=(0,)))
        if self.happens(10):
            steps = [serving_step(2)]
        spec = job(*steps, job_id=f'{self.serial:016x}')
        commit(self.store, AddJob(spec, QUEUE))

    def _crash(self, machine: Machine) -> None:
        self.serial += 1
        machine.down_until_s = self.now_s + self.rng.uniform(0.2, 3)
        keeps_id = self.happens(70)
        name = machine.worker.name if keeps_id else f'w{self.serial}'
        # Clocks may be set back, so a later start may have a lower time.
        born_ms = _FIRST_START_MS + self.serial * self.rng.choice((1, -1))
        machine.worker = StandInWorker(name, machine.vm, born_ms=born_ms)
        machine.work.clear()
        machine.lease_until_s = 0

    def _live(self, machine: Machine) -> None:
        """Advance, end and lapse a worker's runs, and send its heartbeat."""
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
        if machine.late is not None and self.happens(30):
            self.lead.scheduler.process_heartbeat(machine.late, self.now_s)
            machine.late = None
        if self.now_s >= machine.cut_until_s:
            self._send(machine)

    def _progress(
        self,
        machine: Machine,
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
        has_failed = self.happens(5)
        worker.end(run, RunEnd.FAILED if has_failed else RunEnd.DONE)

    def _send(self, machine: Machine) -> None:
        if self.happens(5):
            machine.late = machine.worker.report()
            return
        self.lead.hear(machine.worker)

    def _answer(self, machine: Machine) -> None:
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
        if self.happens(10):
            return
        orders = self.lead.scheduler.answers.orders(incarnation, self.now_s)
        self._note_done(machine, orders.acknowledged)
        for start in orders.starts:
            self.check_order(start)
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

    def check_order(self, order: StartOrder) -> None:
        """Check a start before the worker carries it out."""
        check_start(order, self.store)

    def _note_done(self, machine: Machine, acknowledged: int) -> None:
        """Record the successful ends that an answer acknowledges.

        An end counts only if the worker's lease had not expired by then.
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
        is_single = not self.store.allows_copies(key)
        if key in self.noted_done and is_single:
            raise BrokenRuleError(f'{key}: started again after it succeeded')

    def check(self) -> None:
        """Check the runs of all workers that are up."""
        up = (
            machine.worker
            for machine in self.machines
            if self.now_s >= machine.down_until_s
        )
        check_workers(up, self.store)


def play(day: RandomDay) -> None:
    """Simulate a day with faults, followed by a phase without any."""
    for _ in range(STEPS):
        day.step(is_calm=False)
    day.calm_down()
    for _ in range(CALM_STEPS):
        day.step(is_calm=True)
