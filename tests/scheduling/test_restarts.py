"""Test that no state of one incarnation of a worker passes to its next.

A worker may restart under the same id.  All state that is kept by a worker's
name, from leases to tickets, belongs to a single incarnation.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    SERVICE,
    TERM,
    FakeLead,
    job,
    key,
    manifest,
    queue,
    serving_step,
    step,
    store_with,
)
from tests.builders_restarts import WorkingFleet
from wigeonreach.jobs import (
    AddJob,
    AdvicePolicy,
    BeginTerm,
    JobPhase,
    JobSpec,
    JobStore,
    Manifest,
    RunEnd,
    ServiceSpec,
    SetManifest,
    VmStep,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling._incarnation import LEASE_EXPIRED_S
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling.placing._advice import Advice
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import EndedRun, WorkerOrders

_BORN_MS = 1_764_740_000_000
_LATER_MS = _BORN_MS + 3000
_COMPLETED = matchers.Equals(JobPhase.COMPLETED)
_ALL_MILLICORES = 16_000
# Enough rounds to prove that an incarnation has ended, as its successor was
# heard for a second.
_PROVEN_ROUNDS = 15


def _worker(number: int = 0, born_ms: int = _BORN_MS) -> StandInWorker:
    return StandInWorker(f'i-{number}', f'vm{number}', born_ms=born_ms)


def _accept(store: JobStore, spec: JobSpec) -> None:
    commit(store, AddJob(spec, QUEUE))


class TestNextIncarnation(testtools.TestCase):
    """Work that a worker gets after its restart."""

    def test_work_does_not_wait_for_its_sequence(self) -> None:
        """The incarnation before had sent hundreds of heartbeats."""
        worker = _worker()
        fleet = WorkingFleet(store_with(), worker)
        fleet.run(300)
        worker.restart(_LATER_MS)
        _accept(fleet.store, job(step(2)))
        fleet.run(_PROVEN_ROUNDS)
        self.assertThat(fleet.phase(), _COMPLETED)

    def test_clock_may_step_back_between_incarnations(self) -> None:
        """The next incarnation then has the lower start time."""
        worker = _worker()
        fleet = WorkingFleet(store_with(job(step(4))), worker)
        fleet.run(50)
        worker.restart(_BORN_MS - 5000)
        _accept(fleet.store, job(step(4), job_id=OTHER_JOB))
        fleet.run(_PROVEN_ROUNDS)
        self.assertThat(fleet.phase(OTHER_JOB), _COMPLETED)
        self.assertThat(set(fleet.begun.values()), matchers.Equals({1}))

    def test_each_of_several_incarnations_is_separate(self) -> None:
        """Some end before they are proved to be more than a late heartbeat."""
        worker = _worker()
        fleet = WorkingFleet(store_with(), worker)
        for number in range(1, 6):
            worker.restart(_BORN_MS + number)
            job_id = f'{number:016x}'
            _accept(fleet.store, job(step(3), job_id=job_id))
            fleet.run(number * 4)
        fleet.run(_PROVEN_ROUNDS)
        self.assertThat(set(fleet.begun.values()), matchers.Equals({1}))
        for job_id in fleet.store.jobs:
            self.assertThat(fleet.phase(job_id), _COMPLETED)

    def test_restart_ends_the_drain(self) -> None:
        """A worker that drained and restarted accepts work."""
        worker = _worker()
        fleet = WorkingFleet(store_with(), worker)
        worker.is_draining = True
        fleet.run(5)
        worker.restart(_LATER_MS)
        _accept(fleet.store, job(step(2)))
        fleet.run(_PROVEN_ROUNDS)
        self.assertThat(fleet.phase(), _COMPLETED)

    def test_vm_may_be_in_another_pool(self) -> None:
        """The worker of a moved VM keeps its id, but has another service."""
        worker = _worker()
        fleet = WorkingFleet(store_with(), worker)
        services = (ServiceSpec(SERVICE), ServiceSpec('other'))
        both = Manifest(2, (queue(),), services, document=b'2')
        commit(fleet.store, SetManifest(both))
        fleet.run(5)
        worker.restart(_LATER_MS)
        worker.service = 'other'
        fleet.lead.hear(worker)
        newest = fleet.lead.scheduler.workers.of_vm('vm0')
        assert newest is not None
        self.assertThat(newest.report.service, matchers.Equals('other'))

    def test_checkpoint_is_kept_across_incarnations(self) -> None:
        """A checkpoint belongs to the task, wherever it ran."""
        worker = _worker()
        lead = FakeLead(store_with(job(step(1, saves_progress=True))), [worker])
        lead.round()
        run = next(iter(worker.running))
        worker.end(run, RunEnd.STOPPED)
        worker.ended = [EndedRun(1, *run, RunEnd.STOPPED, 'saved')]
        lead.hear(worker)
        worker.restart(_LATER_MS)
        for _ in range(_PROVEN_ROUNDS):
            lead.round()
        task = lead.store.task_of(key())
        assert task is not None
        self.assertThat(task.checkpoint, matchers.Equals('saved'))
        self.assertThat(worker.running, matchers.HasLength(1))


class TestRunsOfTheFormerIncarnation(testtools.TestCase):
    """Runs that a worker had when it failed."""

    def test_runs_are_restarted_soon(self) -> None:
        """This takes a second after the restart, less than a lease."""
        store = store_with(job(step(2)))
        worker = _worker()
        lead = FakeLead(store, [worker])
        lead.round()
        self.assertThat(worker.running, matchers.HasLength(2))
        worker.restart(_LATER_MS)
        for _ in range(_PROVEN_ROUNDS):
            lead.round()
        self.assertThat(
            {run for _, run in worker.running},
            matchers.Equals({2}),
        )

    def test_gang_is_restarted_as_a_whole(self) -> None:
        """The members that still run are ended first."""
        gang = step(2, is_gang=True, cpu_millicores=_ALL_MILLICORES)
        workers = [_worker(0), _worker(1)]
        lead = FakeLead(store_with(job(gang)), workers)
        lead.round()
        lead.round()
        workers[0].restart(_LATER_MS)
        for _ in range(_PROVEN_ROUNDS * 2):
            lead.round()
        runs = {run for worker in workers for _, run in worker.running}
        self.assertThat(runs, matchers.Equals({2}))

    def test_copies_count_once(self) -> None:
        """The first copy was on a worker that has restarted."""
        workers = [_worker(0), _worker(1)]
        fleet = WorkingFleet(
            store_with(job(step(4, has_copies=True))), *workers
        )
        fleet.lead.round()
        for worker in workers:
            worker.restart(_LATER_MS)
        fleet.run(_PROVEN_ROUNDS * 2)
        self.assertThat(fleet.phase(), _COMPLETED)

    def test_change_of_leader_between_incarnations(self) -> None:
        """The next leader never heard the incarnation before."""
        worker = _worker()
        fleet = WorkingFleet(store_with(job(step(3))), worker)
        fleet.lead.round()
        worker.restart(_LATER_MS)
        fleet.change_leader()
        fleet.run(int(LEASE_EXPIRED_S * 10) + 5)
        self.assertThat(fleet.phase(), _COMPLETED)
        self.assertThat(set(fleet.begun.values()), matchers.Equals({1}))

    def test_snapshot_keeps_incarnations_apart(self) -> None:
        """Runs are recorded for the incarnation that got them."""
        store = store_with(job(step(2)))
        worker = _worker()
        FakeLead(store, [worker]).round()
        restored = JobStore()
        restored.restore(store.snapshot())
        held = restored.runs_of(worker.incarnation)
        self.assertThat(held, matchers.HasLength(2))
        worker.restart(_LATER_MS)
        held = restored.runs_of(worker.incarnation)
        self.assertThat(held, matchers.HasLength(0))


class TestLateMessages(testtools.TestCase):
    """Messages of an incarnation that arrive after its successor is heard."""

    def setUp(self) -> None:
        """Delay a heartbeat until its sender has restarted."""
        super().setUp()
        self.worker = _worker()
        self.fleet = WorkingFleet(store_with(), self.worker)
        self.fleet.run(20)
        self.late = self.worker.report()
        self.worker.restart(_LATER_MS)

    def test_late_heartbeat_changes_nothing(self) -> None:
        """It gets no lease, and it neither loses nor assigns a run."""
        _accept(self.fleet.store, job(step(2)))
        self.fleet.run(_PROVEN_ROUNDS)
        heard = self.fleet.lead.take(self.late)
        self.assertThat(heard, matchers.Is(None))
        self.fleet.run(5)
        self.assertThat(self.fleet.phase(), _COMPLETED)

    def test_new_leader_gives_no_work_to_the_former_incarnation(self) -> None:
        """It hears the new incarnation first, then the late heartbeat."""
        self.fleet.run(5)
        self.fleet.change_leader()
        lead = self.fleet.lead
        lead.round()
        lead.take(self.late)
        _accept(self.fleet.store, job(step(2)))
        for _ in range(_PROVEN_ROUNDS):
            lead.round()
        self.assertThat(
            {run for _, run in self.worker.running},
            matchers.Equals({1}),
        )

    def test_leave_of_the_former_incarnation_ends_nothing(self) -> None:
        """The message has only the id, and no incarnation of it drains."""
        self.fleet.run(_PROVEN_ROUNDS)
        lead = self.fleet.lead
        lead.scheduler.workers.mark_leaving('i-0', lead.now_s)
        _accept(self.fleet.store, job(step(2)))
        self.fleet.run(10)
        self.assertThat(self.fleet.phase(), _COMPLETED)

    def test_leave_ends_the_draining_incarnation(self) -> None:
        """It gets no further lease, and is gone once its last one is over."""
        self.fleet.run(_PROVEN_ROUNDS)
        self.worker.is_draining = True
        lead = self.fleet.lead
        lead.round()
        lead.scheduler.workers.mark_leaving('i-0', lead.now_s)
        known = lead.scheduler.workers.incarnations
        over_s = known[self.worker.incarnation].leased_until_s
        while lead.now_s + 0.1 < over_s:
            lead.round()
            self.assertThat(known, matchers.HasLength(1))
        lead.now_s = over_s
        lead.plan()
        self.assertThat(known, matchers.HasLength(0))

    def test_heartbeat_without_a_start_is_foreign(self) -> None:
        """It can't be attributed to an incarnation."""
        self.fleet.run(_PROVEN_ROUNDS)
        nameless = StandInWorker('i-0', 'vm0', sequence=999)
        heard = self.fleet.lead.take(nameless.report())
        self.assertThat(heard, matchers.Is(None))

    def test_end_of_the_former_incarnation_counts(self) -> None:
        """A run that succeeded is not restarted, even if reported late."""
        worker = _worker()
        store = store_with(job(step(1)))
        lead = FakeLead(store, [worker])
        lead.round()
        worker.end(next(iter(worker.running)), RunEnd.DONE)
        late = worker.report()
        worker.restart(_LATER_MS)
        lead.round()
        lead.take(late)
        self.assertThat(store.jobs[JOB].phase, _COMPLETED)


class TestTickets(testtools.TestCase):
    """Tickets of the advisor, each for one incarnation of a worker."""

    def test_ticket_of_the_former_incarnation_starts_nothing(self) -> None:
        """The worker would refuse the ticket."""
        store = JobStore()
        policy = AdvicePolicy(20, 5, 3000)
        commit(store, SetManifest(manifest(queue(advice=policy))))
        commit(store, BeginTerm(TERM))
        _accept(store, job(step()))
        worker = _worker()
        lead = FakeLead(store, [worker])
        lead.round()
        request = lead.scheduler.advice.pop_requests()[0]
        self.assertThat(request.workers, matchers.Equals((worker.incarnation,)))
        worker.restart(_LATER_MS)
        advice = Advice({request.workers[0]: 'paper'}, valid_s=3)
        lead.scheduler.advice.record_advice(request, advice, lead.now_s)
        lead.hear(worker)
        lead.plan()
        orders = self._orders(lead, worker)
        self.assertThat(orders.starts, matchers.HasLength(0))

    def _orders(self, lead: FakeLead, worker: StandInWorker) -> WorkerOrders:
        known = lead.scheduler.workers.incarnations[worker.incarnation]
        return lead.scheduler.answers.orders(known, lead.now_s)


class TestWaves(testtools.TestCase):
    """VMs whose workers have the same ids before and after maintenance."""

    def test_vm_is_back_once_its_next_incarnation_is_proven(self) -> None:
        """Its worker has the same id as before."""
        worker = _worker()
        lead = _lead_with_order(worker)
        worker.restart(_LATER_MS)
        lead.now_s += 2
        for _ in range(6):
            lead.round()
        step_now = lead.scheduler.maintenance.step(set(), lead.now_s)
        self.assertThat(step_now.returned, matchers.Equals([(1, 'vm0')]))

    def test_vm_of_an_unheard_worker_with_tasks_waits(self) -> None:
        """The platform's list contains ids, but no incarnations."""
        store = store_with(job(serving_step(1)))
        worker = _worker()
        FakeLead(store, [worker]).round()
        lead = FakeLead(store, (), now_s=10.0)
        maintenance = lead.scheduler.maintenance
        maintenance.note_vms((_listed(worker),), 10.1)
        lead.start_wave(('vm0',), limit=1)
        step_now = maintenance.step(set(), 10.2)
        self.assertThat(step_now.orders, matchers.HasLength(0))

    def test_vm_that_is_listed_long_after_its_order_is_back(self) -> None:
        """Its worker is not heard, and has the same id as before."""
        worker = _worker()
        lead = _lead_with_order(worker)
        maintenance = lead.scheduler.maintenance
        maintenance.note_vms((_listed(worker),), lead.now_s + 1)
        step_now = maintenance.step(set(), lead.now_s + 1.1)
        self.assertThat(step_now.returned, matchers.HasLength(0))
        maintenance.note_vms((_listed(worker),), lead.now_s + 3)
        step_now = maintenance.step(set(), lead.now_s + 3.1)
        self.assertThat(step_now.returned, matchers.Equals([(1, 'vm0')]))


def _lead_with_order(worker: StandInWorker) -> FakeLead:
    """Return a leader whose order to maintain a worker's VM is confirmed."""
    lead = FakeLead(store_with(), [worker])
    lead.round()
    lead.start_wave(('vm0',), limit=1)
    lead.record_vm('vm0', VmStep.ORDERED, worker.incarnation)
    lead.scheduler.maintenance.note_confirmed(1, 'vm0', lead.now_s)
    return lead


def _listed(worker: StandInWorker) -> VmRecord:
    return VmRecord('vm0', 'desk', VmPhase.UP, 'a', 'rack', worker.name)
