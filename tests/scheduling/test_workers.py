"""Test how incarnations of workers are followed, one by one and in fleets."""

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
from wigeonreach.scheduling._incarnation import LEASE_OVER_S
from wigeonreach.scheduling._workers import Workers
from wigeonreach.standins import StandInWorker

_SOON_S = 0.2


class TestWorkers(testtools.TestCase):
    """Which incarnations go on and which are over."""

    def setUp(self) -> None:
        """Follow nobody yet."""
        super().setUp()
        self.followed = Workers(0)

    def test_only_a_silent_worker_is_over(self) -> None:
        """Each lease is looked at when it is due, and again when it lasts."""
        heard, silent = workers(2)
        for worker in (heard, silent):
            self.followed.hear(worker.report(), 0)
        now_s = 0.0
        while now_s < LEASE_OVER_S - _SOON_S:
            now_s += _SOON_S
            self.followed.hear(heard.report(), now_s)
            self.assertThat(self.followed.ended(now_s), matchers.Equals({}))
        ended = self.followed.ended(LEASE_OVER_S)
        self.assertThat(set(ended), matchers.Equals({'w1'}))
        ended = self.followed.ended(now_s + LEASE_OVER_S)
        self.assertThat(set(ended), matchers.Equals({'w0'}))

    def test_worker_that_was_cut_off_returns(self) -> None:
        """It gets work again once it was heard for a while, not at once."""
        worker = workers(1)[0]
        self.followed.hear(worker.report(), 0)
        self.followed.ended(LEASE_OVER_S)
        back_s = LEASE_OVER_S + 5
        returned = self.followed.hear(worker.report(), back_s)
        assert returned is not None
        self.assertThat(self.followed.is_over('w0', back_s), matchers.Is(False))
        self.assertThat(returned.may_take(back_s), matchers.Is(False))
        self.followed.hear(worker.report(), back_s + 1.2)
        self.assertThat(returned.may_take(back_s + 1.2), matchers.Is(True))

    def test_repeated_heartbeat_is_no_older_one(self) -> None:
        """Who passed it on lost the answer; the worker waits for one."""
        worker = workers(1)[0]
        report = worker.report()
        first = self.followed.hear(report, 0)
        again = self.followed.hear(report, _SOON_S)
        assert first is not None
        self.assertThat(again, matchers.Is(first))
        # Its lease counts from when it was sent.
        self.assertThat(first.heard_s, matchers.Equals(0))
        worker.report()
        self.followed.hear(worker.report(), _SOON_S)
        self.assertThat(
            self.followed.hear(report, _SOON_S),
            matchers.Is(None),
        )

    def test_old_heartbeat_brings_nobody_back(self) -> None:
        """One that was sent before those that were heard, and came later."""
        worker = workers(1)[0]
        old = worker.report()
        self.followed.hear(worker.report(), 0)
        self.followed.ended(LEASE_OVER_S)
        late_s = LEASE_OVER_S + 1
        self.assertThat(self.followed.hear(old, late_s), matchers.Is(None))

    def test_worker_that_left_or_was_replaced_does_not_return(self) -> None:
        """Its heartbeats were held up on their way."""
        left, replaced = workers(2)
        for worker in (left, replaced):
            self.followed.hear(worker.report(), 0)
        self.followed.leave('w0', 0)
        successor = StandInWorker('new', 'vm1')
        for now_s in (2.0, 3.0, LEASE_OVER_S):
            self.followed.hear(successor.report(), now_s)
            self.followed.ended(now_s)
        for worker in (left, replaced):
            late = self.followed.hear(worker.report(), LEASE_OVER_S + 1)
            self.assertThat(late, matchers.Is(None), worker.name)

    def test_lapsed_worker_does_not_return_beside_a_successor(self) -> None:
        """A VM has one worker at a time."""
        old, new = StandInWorker('old', 'vm'), StandInWorker('new', 'vm')
        self.followed.hear(old.report(), 0)
        self.followed.ended(LEASE_OVER_S)
        self.followed.hear(new.report(), LEASE_OVER_S + 1)
        late = self.followed.hear(old.report(), LEASE_OVER_S + 2)
        self.assertThat(late, matchers.Is(None))

    def test_successor_on_a_vm_ends_the_silent_incarnation(self) -> None:
        """And the VM's newest incarnation is known from its first word on."""
        old, new = StandInWorker('old', 'vm'), StandInWorker('new', 'vm')
        self.followed.hear(old.report(), 0)
        for now_s in (1.0, 1.5, 2.5):
            self.followed.hear(new.report(), now_s)
            of_vm = self.followed.of_vm('vm')
            assert of_vm is not None
            self.assertThat(of_vm.report.worker, matchers.Equals('new'))
        self.assertThat(set(self.followed.ended(2.5)), matchers.Equals({'old'}))

    def test_worker_that_names_another_vm_is_found_there(self) -> None:
        """The index follows the newest heartbeat."""
        worker = StandInWorker('w', 'first')
        self.followed.hear(worker.report(), 0)
        worker.vm = 'second'
        self.followed.hear(worker.report(), _SOON_S)
        self.assertThat(self.followed.of_vm('first'), matchers.Is(None))
        self.assertThat(
            self.followed.of_vm('second'), matchers.Not(matchers.Is(None))
        )
        self.followed.ended(_SOON_S + LEASE_OVER_S)
        self.assertThat(self.followed.of_vm('second'), matchers.Is(None))


class TestRoomOfWorkers(testtools.TestCase):
    """Room is counted anew whenever something changed on a worker."""

    def test_room_follows_starts_ends_and_reports(self) -> None:
        """A start takes room, its end gives it back."""
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

    def test_start_that_is_not_recorded_takes_no_room(self) -> None:
        """A plan whose record failed is made again on the same room."""
        store = store_with(job(step(1)))
        lead = FakeLead(store, workers(1))
        lead.hear(lead.workers['w0'])
        for _ in range(2):
            starts = lead.scheduler.plan(lead.now_s, 0)
            self.assertThat(starts, matchers.HasLength(1))
            self.assertThat(self._left(lead), matchers.Equals(16))

    def _left(self, lead: FakeLead) -> float:
        rooms = lead.scheduler.rooms(lead.now_s, {SERVICE})
        return rooms[SERVICE][0].left.processors


class TestLeases(testtools.TestCase):
    """Answers that are held until there is something to order.

    Pattern: an election takes a second or two, in which workers' heartbeats
    wait at processes that know no leader, so that a worker with serving tasks
    has little of its lease left when the next leader hears it.
    """

    def setUp(self) -> None:
        """Let a task serve on one of two workers, under a new leader."""
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
        answer = self.lead.scheduler.answers.due(
            heard.incarnation,
            came_s,
            came_s + waited_s,
        )
        return answer is not None

    def test_first_answer_of_a_term_is_not_held(self) -> None:
        """The lease is the former leader's, and older than it looks."""
        self.assertThat(self._is_answered(), matchers.Is(True))
        self.lead.now_s += 0.1
        self.assertThat(self._is_answered(), matchers.Is(False))
        self.lead.now_s += 0.1
        self.assertThat(self._is_answered(0.75), matchers.Is(True))

    def test_answer_after_one_that_was_lost_is_not_held(self) -> None:
        """A worker that got no answer sends again after a second."""
        self.assertThat(self._is_answered(), matchers.Is(True))
        self.lead.now_s += 1.02
        self.assertThat(self._is_answered(), matchers.Is(True))
