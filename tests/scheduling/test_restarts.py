"""Test that nothing of one life of a worker passes to its next.

Answers workers that start again under their id: whatever is known by a
worker's name, from leases to tickets, is of one life of it.
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
from wigeonreach.scheduling._advice import Advice
from wigeonreach.scheduling._incarnation import LEASE_OVER_S
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import EndedRun, WorkerOrders

_BORN_MS = 1_764_740_000_000
_LATER_MS = _BORN_MS + 3000
_COMPLETED = matchers.Equals(JobPhase.COMPLETED)
_WHOLE_ROOM = 16_000
# A life is proved to be over once the next has gone on for a second.
_PROVED_ROUNDS = 15


def _worker(number: int = 0, born_ms: int = _BORN_MS) -> StandInWorker:
    return StandInWorker(f'i-{number}', f'vm{number}', born_ms=born_ms)


def _accept(store: JobStore, spec: JobSpec) -> None:
    commit(store, AddJob(spec, QUEUE))


class TestNextLife(testtools.TestCase):
    """What a worker is given after it has started again."""

    def test_work_does_not_wait_for_its_sequence(self) -> None:
        """The life before had sent hundreds of heartbeats."""
        worker = _worker()
        played = WorkingFleet(store_with(), worker)
        played.run(300)
        worker.restart(_LATER_MS)
        _accept(played.store, job(step(2)))
        played.run(_PROVED_ROUNDS)
        self.assertThat(played.phase(), _COMPLETED)

    def test_clock_may_step_back_between_lives(self) -> None:
        """The next life then has the lower start."""
        worker = _worker()
        played = WorkingFleet(store_with(job(step(4))), worker)
        played.run(50)
        worker.restart(_BORN_MS - 5000)
        _accept(played.store, job(step(4), job_id=OTHER_JOB))
        played.run(_PROVED_ROUNDS)
        self.assertThat(played.phase(OTHER_JOB), _COMPLETED)
        self.assertThat(set(played.begun.values()), matchers.Equals({1}))

    def test_each_of_several_lives_is_its_own(self) -> None:
        """Some are over before they could be told from a late heartbeat."""
        worker = _worker()
        played = WorkingFleet(store_with(), worker)
        for life in range(1, 6):
            worker.restart(_BORN_MS + life)
            job_id = f'{life:016x}'
            _accept(played.store, job(step(3), job_id=job_id))
            played.run(life * 4)
        played.run(_PROVED_ROUNDS)
        self.assertThat(set(played.begun.values()), matchers.Equals({1}))
        for job_id in played.store.jobs:
            self.assertThat(played.phase(job_id), _COMPLETED)

    def test_drain_of_the_life_before_is_over(self) -> None:
        """A worker that drained, went down and is back takes work."""
        worker = _worker()
        played = WorkingFleet(store_with(), worker)
        worker.is_draining = True
        played.run(5)
        worker.restart(_LATER_MS)
        _accept(played.store, job(step(2)))
        played.run(_PROVED_ROUNDS)
        self.assertThat(played.phase(), _COMPLETED)

    def test_vm_may_be_in_another_pool(self) -> None:
        """A VM that was moved has its worker's id, and another service."""
        worker = _worker()
        played = WorkingFleet(store_with(), worker)
        services = (ServiceSpec(SERVICE), ServiceSpec('other'))
        both = Manifest(2, (queue(),), services, document=b'2')
        commit(played.store, SetManifest(both))
        played.run(5)
        worker.restart(_LATER_MS)
        worker.service = 'other'
        played.lead.hear(worker)
        newest = played.lead.scheduler.workers.of_vm('vm0')
        assert newest is not None
        self.assertThat(newest.report.service, matchers.Equals('other'))

    def test_checkpoint_goes_on_in_the_next_life(self) -> None:
        """What a task saved is the task's, wherever it ran."""
        worker = _worker()
        lead = FakeLead(store_with(job(step(1, saves_progress=True))), [worker])
        lead.round()
        run = next(iter(worker.running))
        worker.end(run, RunEnd.STOPPED)
        worker.ended = [EndedRun(1, *run, RunEnd.STOPPED, 'saved')]
        lead.hear(worker)
        worker.restart(_LATER_MS)
        for _ in range(_PROVED_ROUNDS):
            lead.round()
        task = lead.store.task_of(key())
        assert task is not None
        self.assertThat(task.checkpoint, matchers.Equals('saved'))
        self.assertThat(worker.running, matchers.HasLength(1))


class TestRunsOfTheLifeBefore(testtools.TestCase):
    """What a worker had when it went down."""

    def test_runs_are_begun_again_soon(self) -> None:
        """A second after the next life is heard, without waiting for a lease."""
        store = store_with(job(step(2)))
        worker = _worker()
        lead = FakeLead(store, [worker])
        lead.round()
        self.assertThat(worker.running, matchers.HasLength(2))
        worker.restart(_LATER_MS)
        for _ in range(_PROVED_ROUNDS):
            lead.round()
        self.assertThat(
            {run for _, run in worker.running},
            matchers.Equals({2}),
        )

    def test_gang_is_begun_again_as_a_whole(self) -> None:
        """The members that went on are ended first."""
        gang = step(2, is_gang=True, cpu_millicores=_WHOLE_ROOM)
        workers = [_worker(0), _worker(1)]
        lead = FakeLead(store_with(job(gang)), workers)
        lead.round()
        lead.round()
        workers[0].restart(_LATER_MS)
        for _ in range(_PROVED_ROUNDS * 2):
            lead.round()
        runs = {run for worker in workers for _, run in worker.running}
        self.assertThat(runs, matchers.Equals({2}))

    def test_copies_count_once(self) -> None:
        """The first copy was on a worker that has started again."""
        workers = [_worker(0), _worker(1)]
        played = WorkingFleet(
            store_with(job(step(4, has_copies=True))), *workers
        )
        played.lead.round()
        for worker in workers:
            worker.restart(_LATER_MS)
        played.run(_PROVED_ROUNDS * 2)
        self.assertThat(played.phase(), _COMPLETED)

    def test_change_of_leader_between_lives(self) -> None:
        """The next leader heard nothing of the life before."""
        worker = _worker()
        played = WorkingFleet(store_with(job(step(3))), worker)
        played.lead.round()
        worker.restart(_LATER_MS)
        played.lead_anew()
        played.run(int(LEASE_OVER_S * 10) + 5)
        self.assertThat(played.phase(), _COMPLETED)
        self.assertThat(set(played.begun.values()), matchers.Equals({1}))

    def test_snapshot_keeps_lives_apart(self) -> None:
        """Runs are recorded for the life that they were given to."""
        store = store_with(job(step(2)))
        worker = _worker()
        FakeLead(store, [worker]).round()
        restored = JobStore()
        restored.restore(store.snapshot())
        held = restored.held_by(worker.incarnation)
        self.assertThat(held, matchers.HasLength(2))
        worker.restart(_LATER_MS)
        held = restored.held_by(worker.incarnation)
        self.assertThat(held, matchers.HasLength(0))


class TestLateWords(testtools.TestCase):
    """What the life before sent, and comes after the next is heard."""

    def setUp(self) -> None:
        """Hold a heartbeat up until its sender has started again."""
        super().setUp()
        self.worker = _worker()
        self.played = WorkingFleet(store_with(), self.worker)
        self.played.run(20)
        self.late = self.worker.report()
        self.worker.restart(_LATER_MS)

    def test_late_heartbeat_changes_nothing(self) -> None:
        """It gets no lease, and no run is lost or given by it."""
        _accept(self.played.store, job(step(2)))
        self.played.run(_PROVED_ROUNDS)
        heard = self.played.lead.take(self.late)
        self.assertThat(heard, matchers.Is(None))
        self.played.run(5)
        self.assertThat(self.played.phase(), _COMPLETED)

    def test_new_leader_gives_nothing_to_the_life_before(self) -> None:
        """It hears the next life first, then the late heartbeat."""
        self.played.run(5)
        self.played.lead_anew()
        lead = self.played.lead
        lead.round()
        lead.take(self.late)
        _accept(self.played.store, job(step(2)))
        for _ in range(_PROVED_ROUNDS):
            lead.round()
        self.assertThat(
            {run for _, run in self.worker.running},
            matchers.Equals({1}),
        )

    def test_farewell_of_the_life_before_ends_nothing(self) -> None:
        """It names the id alone, and whoever ends drains before."""
        self.played.run(_PROVED_ROUNDS)
        lead = self.played.lead
        lead.scheduler.workers.leave('i-0', lead.now_s)
        _accept(self.played.store, job(step(2)))
        self.played.run(10)
        self.assertThat(self.played.phase(), _COMPLETED)

    def test_farewell_ends_the_life_that_drains(self) -> None:
        """Its lease need not be waited for."""
        self.played.run(_PROVED_ROUNDS)
        self.worker.is_draining = True
        lead = self.played.lead
        lead.round()
        lead.scheduler.workers.leave('i-0', lead.now_s)
        lead.now_s += 0.6
        lead.plan()
        self.assertThat(
            lead.scheduler.workers.incarnations,
            matchers.HasLength(0),
        )

    def test_heartbeat_without_a_start_is_foreign(self) -> None:
        """Nobody knows of which life it is."""
        self.played.run(_PROVED_ROUNDS)
        nameless = StandInWorker('i-0', 'vm0', sequence=999)
        heard = self.played.lead.take(nameless.report())
        self.assertThat(heard, matchers.Is(None))

    def test_end_of_the_life_before_counts(self) -> None:
        """What ended well is not begun again, whoever tells it late."""
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
    """Tickets of the advisor, each for one life of a worker."""

    def test_ticket_of_the_life_before_starts_nothing(self) -> None:
        """The worker would refuse it."""
        store = JobStore()
        policy = AdvicePolicy(20, 5, 3000)
        commit(store, SetManifest(manifest(queue(advice=policy))))
        commit(store, BeginTerm(TERM))
        _accept(store, job(step()))
        worker = _worker()
        lead = FakeLead(store, [worker])
        lead.round()
        question = lead.scheduler.advice.questions()[0]
        self.assertThat(
            question.workers, matchers.Equals((worker.incarnation,))
        )
        worker.restart(_LATER_MS)
        advice = Advice({question.workers[0]: 'paper'}, valid_s=3)
        lead.scheduler.advice.note(question, advice, lead.now_s)
        lead.hear(worker)
        lead.plan()
        orders = self._orders(lead, worker)
        self.assertThat(orders.starts, matchers.HasLength(0))

    def _orders(self, lead: FakeLead, worker: StandInWorker) -> WorkerOrders:
        known = lead.scheduler.workers.incarnations[worker.incarnation]
        return lead.scheduler.answers.orders(known, lead.now_s)


class TestWaves(testtools.TestCase):
    """VMs whose workers have the same ids before and after maintenance."""

    def test_vm_is_back_once_its_next_life_goes_on(self) -> None:
        """Its worker is called as before."""
        worker = _worker()
        lead = _lead_with_order(worker)
        worker.restart(_LATER_MS)
        lead.now_s += 2
        for _ in range(6):
            lead.round()
        step_now = lead.scheduler.maintenance.step(set(), lead.now_s)
        self.assertThat(step_now.returned, matchers.Equals([(1, 'vm0')]))

    def test_vm_of_an_unheard_worker_with_tasks_waits(self) -> None:
        """The platform's list names ids, and no life of them."""
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
        """Its worker is not heard, and has the id that it had."""
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
    """Return a lead whose order to maintain a worker's VM was confirmed."""
    lead = FakeLead(store_with(), [worker])
    lead.round()
    lead.start_wave(('vm0',), limit=1)
    lead.record_vm('vm0', VmStep.ORDERED, worker.incarnation)
    lead.scheduler.maintenance.note_confirmed(1, 'vm0', lead.now_s)
    return lead


def _listed(worker: StandInWorker) -> VmRecord:
    return VmRecord('vm0', 'desk', VmPhase.UP, 'a', 'rack', worker.name)
