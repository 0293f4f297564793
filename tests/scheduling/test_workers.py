"""Test how incarnations of workers are tracked."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    SERVICE,
    FakeLead,
    job,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import RunEnd
from wigeonreach.scheduling._incarnation import LEASE_EXPIRED_S
from wigeonreach.scheduling._workers import Workers
from wigeonreach.standins import StandInWorker

_SOON_S = 0.2


class TestWorkers(testtools.TestCase):
    """Decisions on which incarnations are alive and which have ended."""

    def setUp(self) -> None:
        """Track no worker yet."""
        super().setUp()
        self.tracked = Workers(0)

    def test_only_a_silent_worker_has_ended(self) -> None:
        """A lease is checked when it may expire, and again if renewed."""
        heard, silent = workers(2)
        for worker in (heard, silent):
            self.tracked.process_heartbeat(worker.report(), 0)
        now_s = 0.0
        while now_s < LEASE_EXPIRED_S - _SOON_S:
            now_s += _SOON_S
            self.tracked.process_heartbeat(heard.report(), now_s)
            self.assertThat(self.tracked.ended(now_s), matchers.Equals({}))
        ended = self.tracked.ended(LEASE_EXPIRED_S)
        self.assertThat(set(ended), matchers.Equals({'w1'}))
        ended = self.tracked.ended(now_s + LEASE_EXPIRED_S)
        self.assertThat(set(ended), matchers.Equals({'w0'}))

    def test_worker_that_was_cut_off_returns(self) -> None:
        """It gets work again after it was heard for a while, not at once."""
        worker = workers(1)[0]
        self.tracked.process_heartbeat(worker.report(), 0)
        self.tracked.ended(LEASE_EXPIRED_S)
        back_s = LEASE_EXPIRED_S + 5
        returned = self.tracked.process_heartbeat(worker.report(), back_s)
        assert returned is not None
        self.assertThat(self.tracked.is_over('w0', back_s), matchers.Is(False))
        self.assertThat(returned.accepts_work(back_s), matchers.Is(False))
        self.tracked.process_heartbeat(worker.report(), back_s + 1.2)
        self.assertThat(returned.accepts_work(back_s + 1.2), matchers.Is(True))

    def test_repeated_heartbeat_is_no_older_one(self) -> None:
        """The forwarding process lost the answer; the worker waits for one."""
        worker = workers(1)[0]
        report = worker.report()
        first = self.tracked.process_heartbeat(report, 0)
        again = self.tracked.process_heartbeat(report, _SOON_S)
        assert first is not None
        self.assertThat(again, matchers.Is(first))
        # The repeat does not extend its lease, which counts from the first one.
        self.assertThat(first.heard_s, matchers.Equals(0))
        worker.report()
        self.tracked.process_heartbeat(worker.report(), _SOON_S)
        self.assertThat(
            self.tracked.process_heartbeat(report, _SOON_S),
            matchers.Is(None),
        )

    def test_old_heartbeat_readmits_no_worker(self) -> None:
        """A heartbeat that was overtaken by a later one is ignored."""
        worker = workers(1)[0]
        old = worker.report()
        self.tracked.process_heartbeat(worker.report(), 0)
        self.tracked.ended(LEASE_EXPIRED_S)
        late_s = LEASE_EXPIRED_S + 1
        self.assertThat(
            self.tracked.process_heartbeat(old, late_s), matchers.Is(None)
        )

    def test_worker_that_left_or_was_replaced_does_not_return(self) -> None:
        """Late heartbeats of either worker are ignored."""
        left, replaced = workers(2)
        for worker in (left, replaced):
            self.tracked.process_heartbeat(worker.report(), 0)
        self.tracked.mark_leaving('w0', 0)
        successor = StandInWorker('new', 'vm1')
        for now_s in (2.0, 3.0, LEASE_EXPIRED_S):
            self.tracked.process_heartbeat(successor.report(), now_s)
            self.tracked.ended(now_s)
        for worker in (left, replaced):
            late = self.tracked.process_heartbeat(
                worker.report(), LEASE_EXPIRED_S + 1
            )
            self.assertThat(late, matchers.Is(None), worker.name)

    def test_lapsed_worker_does_not_return_beside_a_successor(self) -> None:
        """A VM has one worker at a time."""
        old, new = StandInWorker('old', 'vm'), StandInWorker('new', 'vm')
        self.tracked.process_heartbeat(old.report(), 0)
        self.tracked.ended(LEASE_EXPIRED_S)
        self.tracked.process_heartbeat(new.report(), LEASE_EXPIRED_S + 1)
        late = self.tracked.process_heartbeat(old.report(), LEASE_EXPIRED_S + 2)
        self.assertThat(late, matchers.Is(None))

    def test_successor_on_a_vm_ends_the_silent_incarnation(self) -> None:
        """The VM's newest incarnation is known from its first heartbeat on."""
        old, new = StandInWorker('old', 'vm'), StandInWorker('new', 'vm')
        self.tracked.process_heartbeat(old.report(), 0)
        for now_s in (1.0, 1.5, 2.5):
            self.tracked.process_heartbeat(new.report(), now_s)
            of_vm = self.tracked.of_vm('vm')
            assert of_vm is not None
            self.assertThat(of_vm.report.worker, matchers.Equals('new'))
        self.assertThat(set(self.tracked.ended(2.5)), matchers.Equals({'old'}))

    def test_worker_that_names_another_vm_is_found_there(self) -> None:
        """The index uses the VM in the newest heartbeat."""
        worker = StandInWorker('w', 'first')
        self.tracked.process_heartbeat(worker.report(), 0)
        worker.vm = 'second'
        self.tracked.process_heartbeat(worker.report(), _SOON_S)
        self.assertThat(self.tracked.of_vm('first'), matchers.Is(None))
        self.assertThat(
            self.tracked.of_vm('second'), matchers.Not(matchers.Is(None))
        )
        self.tracked.ended(_SOON_S + LEASE_EXPIRED_S)
        self.assertThat(self.tracked.of_vm('second'), matchers.Is(None))


class TestRoomOfWorkers(testtools.TestCase):
    """Free resources are recomputed after every change on a worker."""

    def test_capacity_follows_starts_ends_and_reports(self) -> None:
        """A start uses resources, and its end frees them."""
        store = store_with(job(step(1)))
        lead = FakeLead(store, workers(1))
        worker = lead.workers['w0']
        lead.hear(worker)
        self.assertThat(self._left(lead), matchers.Equals(16))
        lead.round()
        self.assertThat(self._left(lead), matchers.Equals(15))
        worker.end(next(iter(worker.running)), RunEnd.DONE)
        lead.hear(worker)
        self.assertThat(self._left(lead), matchers.Equals(16))
        worker.cpu_millicores = 8000
        lead.hear(worker)
        self.assertThat(self._left(lead), matchers.Equals(8))

    def test_start_that_is_not_recorded_takes_no_capacity(self) -> None:
        """A plan whose record failed is repeated with the same resources."""
        store = store_with(job(step(1)))
        lead = FakeLead(store, workers(1))
        lead.hear(lead.workers['w0'])
        for _ in range(2):
            starts = lead.scheduler.plan(lead.now_s, 0)
            self.assertThat(starts, matchers.HasLength(1))
            self.assertThat(self._left(lead), matchers.Equals(16))

    def _left(self, lead: FakeLead) -> float:
        capacities = lead.scheduler.available_workers(lead.now_s, {SERVICE})
        return capacities[SERVICE][0].free.processors


class TestLeases(testtools.TestCase):
    """Answers that are held back until there are orders.

    An election takes a second or two, in which heartbeats wait at processes
    that know no leader.  A worker with serving tasks therefore has little of
    its lease left when the next leader hears it.
    """

    def setUp(self) -> None:
        """Start a serving task on one of two workers, under a new leader."""
        super().setUp()
        first = FakeLead(store_with(job(serving_step(1))), workers(2))
        first.round()
        first.round()
        self.lead = FakeLead(
            first.store,
            first.workers.values(),
            first.term + 1,
            first.now_s,
        )
        self.worker = next(
            known for known in first.workers.values() if known.running
        )

    def _is_answered(self, waited_s: float = 0.02) -> bool:
        came_s = self.lead.now_s
        heard = self.lead.take(self.worker.report())
        assert heard is not None
        answer = self.lead.scheduler.answers.answer_if_due(
            heard.incarnation,
            came_s,
            came_s + waited_s,
        )
        return answer is not None

    def test_first_answer_of_a_term_is_not_held(self) -> None:
        """The lease was renewed by the former leader, earlier than it seems."""
        self.assertThat(self._is_answered(), matchers.Is(True))
        self.lead.now_s += 0.1
        self.assertThat(self._is_answered(), matchers.Is(False))
        self.lead.now_s += 0.1
        self.assertThat(self._is_answered(0.75), matchers.Is(True))

    def test_answer_after_one_that_was_lost_is_not_held(self) -> None:
        """A worker without an answer sends again after a second."""
        self.assertThat(self._is_answered(), matchers.Is(True))
        self.lead.now_s += 1.02
        self.assertThat(self._is_answered(), matchers.Is(True))
