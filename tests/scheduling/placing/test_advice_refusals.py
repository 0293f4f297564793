"""Test that a worker that may run a step is found, however few there are."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_advice import AdvisedFleet
from tests.builders_jobs import JOB, OTHER_JOB, job, step
from wigeonreach.jobs import AdvicePolicy, RunEnd
from wigeonreach.observe import LogEvent

# Users expect a task to start within 3 s where there is capacity for it.
_IN_TIME = matchers.LessThan(3.0)


class TestFewAllowed(testtools.TestCase):
    """The advisor refuses most workers, and the emptiest ones first.

    Guards against calls that name the same refused workers again and again.
    """

    def test_half_of_the_workers(self) -> None:
        """Three jobs, for which the three emptiest workers are refused."""
        jobs = [job(job_id=f'{number:016x}') for number in range(3)]
        fleet = AdvisedFleet(('w3', 'w4', 'w5'), 6, jobs)
        took_s = fleet.seconds_until(lambda: len(fleet.started) == len(jobs))
        self.assertThat(took_s, _IN_TIME)

    def test_one_of_twelve(self) -> None:
        """Only the fullest worker is allowed."""
        self._assert_starts(AdvisedFleet(('w11',), 12))

    def test_one_of_forty(self) -> None:
        """Calls name more and more workers."""
        self._assert_starts(AdvisedFleet(('w39',), 40))

    def test_one_of_three_hundred(self) -> None:
        """Each call is limited, but the next one follows at once."""
        self._assert_starts(AdvisedFleet(('w299',), 300))

    def test_gang_finds_all_its_workers(self) -> None:
        """It starts as a whole, so it needs both tickets at once."""
        gang = job(step(2, is_gang=True, cpu_millicores=9000))
        self._assert_starts(AdvisedFleet(('w6', 'w7'), 8, (gang,)))

    def test_other_steps_ask_little(self) -> None:
        """The next step of the queue asks about the refused workers last."""
        jobs = [job(job_id=f'{number:016x}') for number in range(2)]
        fleet = AdvisedFleet(('w11',), 12, jobs[:1])
        self._assert_starts(fleet)
        before = len(fleet.calls)
        fleet.accept(jobs[1])
        fleet.seconds_until(lambda: len(fleet.started) == 2)
        self.assertThat(fleet.calls[before:], matchers.HasLength(1))

    def test_search_for_one_step_does_not_hold_up_another(self) -> None:
        """A step that may run nowhere waits behind one that may."""
        jobs = (job(), job(step(1, label='large'), job_id=OTHER_JOB))
        fleet = AdvisedFleet(('w299',), 300, jobs)
        fleet.lead.workers['w299'].kind = 'large'
        fleet.lead.workers['w299'].cpu_millicores = 1000
        took_s = fleet.seconds_until(lambda: OTHER_JOB in fleet.started)
        self.assertThat(took_s, _IN_TIME)

    def _assert_starts(self, fleet: AdvisedFleet) -> None:
        took_s = fleet.seconds_until(lambda: bool(fleet.started))
        self.assertThat(took_s, _IN_TIME)


class TestNoneAllowed(testtools.TestCase):
    """The advisor refuses all workers for now."""

    def test_calls_are_few(self) -> None:
        """Who may run a step does not change, so a refusal counts for a while."""
        fleet = AdvisedFleet((), 12)
        fleet.run(9.0)
        named = [worker for call in fleet.calls for worker in call.workers]
        self.assertThat(set(named), matchers.HasLength(12))
        self.assertThat(named, matchers.HasLength(12))

    def test_it_is_logged_once(self) -> None:
        """An operator sees why the job waits."""
        fleet = AdvisedFleet((), 12)
        fleet.run(25.0)
        notes = [
            note.subject
            for note in fleet.lead.scheduler.notes
            if note.event is LogEvent.STEP_REFUSED
        ]
        self.assertThat(notes, matchers.Equals([JOB]))

    def test_wrong_answers_are_forgotten(self) -> None:
        """A worker is allowed later, against what the advisor said before."""
        fleet = AdvisedFleet((), 4)
        fleet.run(5.0)
        fleet.allowed.add('w2')
        fleet.run(9.0)
        self.assertThat(fleet.started, matchers.Equals({JOB}))

    def test_new_worker_is_asked_about_at_once(self) -> None:
        """It joins a pool in which no worker may run the step."""
        fleet = AdvisedFleet(('new',), 4)
        fleet.run(2.0)
        fleet.join('new')
        took_s = fleet.seconds_until(lambda: bool(fleet.started))
        self.assertThat(took_s, _IN_TIME)


class TestTicketsThatDoNotHelp(testtools.TestCase):
    """There are tickets, but a task can't use them."""

    def test_allowed_worker_is_full_at_first(self) -> None:
        """The step starts once there is capacity, though tickets expired."""
        fleet = AdvisedFleet(('w1',), 4)
        fleet.lead.workers['w1'].cpu_millicores = 0
        fleet.run(12.0)
        fleet.lead.workers['w1'].cpu_millicores = 16_000
        took_s = fleet.seconds_until(lambda: bool(fleet.started))
        self.assertThat(took_s, _IN_TIME)

    def test_last_attempt_gets_a_ticket_for_another_worker(self) -> None:
        """It keeps away from the only worker with a ticket, where it failed."""
        fleet = AdvisedFleet(('w0', 'w3'), 4)
        fleet.run(1.0)
        failing = fleet.lead.workers['w0']
        for run in list(failing.running):
            failing.end(run, RunEnd.FAILED)
        took_s = fleet.seconds_until(lambda: bool(fleet.started))
        self.assertThat(took_s, _IN_TIME)
        self.assertThat(fleet.lead.workers['w3'].running, matchers.HasLength(1))


class TestSlowAdvisor(testtools.TestCase):
    """The advisor takes seconds.

    Guards against calls that are given up before they can be answered, and made
    again for good.
    """

    def test_slow_as_the_policy_says(self) -> None:
        """A call that names all twelve workers would take 3.4 s."""
        slow = AdvicePolicy(
            decision_ms=1000, per_worker_ms=200, validity_ms=10_000
        )
        self._assert_starts(slow)

    def test_slower_than_the_policy_says(self) -> None:
        """The next call names fewer workers and may take longer."""
        slow = AdvicePolicy(
            decision_ms=2000, per_worker_ms=500, validity_ms=10_000
        )
        names = [f'w{number}' for number in range(12)]
        fleet = AdvisedFleet(names, 12, (job(step(6)),), real=slow)
        fleet.run(14.0)
        self.assertThat(fleet.started, matchers.Equals({JOB}))

    def test_tickets_are_valid_for_a_short_time(self) -> None:
        """They are used as long as the order may arrive in time."""
        short = AdvicePolicy(decision_ms=20, per_worker_ms=5, validity_ms=500)
        fleet = AdvisedFleet(('w3',), 4, policy=short)
        took_s = fleet.seconds_until(lambda: bool(fleet.started))
        self.assertThat(took_s, _IN_TIME)

    def test_call_takes_longer_than_the_tickets_are_valid(self) -> None:
        """Their validity counts from the answer."""
        slow = AdvicePolicy(
            decision_ms=1000, per_worker_ms=200, validity_ms=1000
        )
        self._assert_starts(slow)

    def _assert_starts(self, policy: AdvicePolicy) -> None:
        """Check that a step of six tasks starts on some of twelve workers."""
        names = [f'w{number}' for number in range(12)]
        fleet = AdvisedFleet(names, 12, (job(step(6)),), policy)
        took_s = fleet.seconds_until(lambda: bool(fleet.started))
        self.assertThat(took_s, _IN_TIME)


class TestGangTickets(testtools.TestCase):
    """A gang of eight takes one worker for each task.

    Guards against gangs that never start, as the tickets of a call expire
    before those of the next one are there.
    """

    _SLOW = AdvicePolicy(decision_ms=1000, per_worker_ms=200, validity_ms=4500)

    def test_tickets_expire_before_a_second_call_ends(self) -> None:
        """A call for all eight takes 2.6 s, two calls take 2 s each."""
        self._assert_starts(self._fleet(range(10), 10))

    def test_some_workers_are_refused(self) -> None:
        """The emptiest four; the tickets of the first call are renewed."""
        short = AdvicePolicy(
            decision_ms=1000, per_worker_ms=200, validity_ms=2000
        )
        self._assert_starts(self._fleet(range(4, 12), 12, short), 14.0)

    def test_advisor_is_slower_than_its_policy_says(self) -> None:
        """A call that is given up does not make the next one too small."""
        quick = AdvicePolicy(decision_ms=20, per_worker_ms=5, validity_ms=4500)
        slow = AdvicePolicy(
            decision_ms=1000, per_worker_ms=400, validity_ms=4500
        )
        self._assert_starts(self._fleet(range(10), 10, quick, slow), 14.0)

    def test_more_workers_than_a_call_takes(self) -> None:
        """Two calls are needed, which is in time with these tickets."""
        quick = AdvicePolicy(decision_ms=100, per_worker_ms=5, validity_ms=4500)
        gang = job(step(130, is_gang=True, cpu_millicores=9000))
        names = [f'w{number}' for number in range(140)]
        fleet = AdvisedFleet(names, 140, (gang,), quick)
        self._assert_starts(fleet)
        sizes = [len(call.workers) for call in fleet.calls]
        self.assertThat(max(sizes), matchers.LessThan(101))

    def test_too_few_workers_are_allowed(self) -> None:
        """An operator sees why the job waits, and the advisor rests."""
        fleet = self._fleet(range(5, 12), 12)
        fleet.run(25.0)
        self.assertThat(
            self._notes(fleet), matchers.Equals([LogEvent.STEP_REFUSED])
        )
        self.assertThat(len(fleet.calls), matchers.LessThan(9))

    def test_tickets_never_last_until_the_last_call(self) -> None:
        """An operator sees that the policy makes it impossible."""
        slow = AdvicePolicy(decision_ms=100, per_worker_ms=50, validity_ms=1000)
        gang = job(step(130, is_gang=True, cpu_millicores=9000))
        names = [f'w{number}' for number in range(140)]
        fleet = AdvisedFleet(names, 140, (gang,), slow)
        fleet.run(40.0)
        self.assertThat(fleet.started, matchers.HasLength(0))
        self.assertThat(
            self._notes(fleet), matchers.Equals([LogEvent.TICKETS_EXPIRE])
        )

    def _fleet(
        self,
        allowed: range,
        count: int,
        policy: AdvicePolicy = _SLOW,
        real: AdvicePolicy | None = None,
    ) -> AdvisedFleet:
        gang = job(step(8, is_gang=True, cpu_millicores=9000))
        names = [f'w{number}' for number in allowed]
        return AdvisedFleet(names, count, (gang,), policy, real)

    def _assert_starts(
        self, fleet: AdvisedFleet, within_s: float = 3.0
    ) -> None:
        took_s = fleet.seconds_until(lambda: bool(fleet.started))
        self.assertThat(took_s, matchers.LessThan(within_s))

    def _notes(self, fleet: AdvisedFleet) -> list[LogEvent]:
        return [
            note.event
            for note in fleet.lead.scheduler.notes
            if note.event in {LogEvent.STEP_REFUSED, LogEvent.TICKETS_EXPIRE}
        ]


class TestEndedJobs(testtools.TestCase):
    """Jobs that end while the advisor is asked for them."""

    def test_late_answer_leaves_nothing_behind(self) -> None:
        """Otherwise the cache would grow with each of them."""
        fleet = AdvisedFleet(('w0',), 4)
        fleet.lead.round()
        advice = fleet.lead.scheduler.advice
        request = advice.pop_requests()[0]
        advice.forget(JOB)
        advice.record_advice(request, None, fleet.lead.now_s)
        self.assertThat(
            fleet.lead.scheduler.advice._by_step,  # noqa: SLF001
            matchers.HasLength(0),
        )
