"""Test heartbeats that reach a new leader after a former one answered them.

Guards against this failure: in one of twenty random days, four tasks that had
succeeded were started again 0.2 s after a change of leader.

A core process still held a worker's heartbeat when the leader lost power, and
forwarded it to the next leader.  The former leader had received it another way
and had answered it 1.3 s before, so the worker had begun four runs that the
heartbeat does not list.  The next leader took these runs as not begun,
withdrew those that did not fit beside the listed ones (their ends were
`refused`), and started them elsewhere.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    OTHER_JOB,
    TERM,
    FakeLead,
    job,
    key,
    manifest,
    queue,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    AddJob,
    AdvicePolicy,
    BeginTerm,
    JobStore,
    RunEnd,
    SetManifest,
    TaskPhase,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling.placing._advice import Advice
from wigeonreach.standins import StandInWorker

_HALF = 8000


def _phase(store: JobStore, job_id: str) -> TaskPhase:
    task = store.task_of(key(job_id=job_id))
    assert task is not None
    return task.phase


class TestAnsweredHeartbeat(testtools.TestCase):
    """A heartbeat that a former leader has answered with starts."""

    def setUp(self) -> None:
        """Fill a worker twice, the second time after the heartbeat was sent."""
        super().setUp()
        self.store = store_with(job(step(1, cpu_millicores=_HALF)))
        self.worker = StandInWorker('w0', 'vm0', cpu_millicores=_HALF)
        self.lead = FakeLead(self.store, (self.worker,))
        self.lead.round()
        self.stale = self.worker.report()
        self.lead.take(self.stale)
        # The first run ends, its end is reported, and another run begins.
        self.worker.end((key(), 1), RunEnd.DONE)
        other = job(step(1, cpu_millicores=_HALF), job_id=OTHER_JOB)
        commit(self.store, AddJob(other, 'bookings'))
        self.lead.round()

    def test_run_that_it_does_not_list_is_not_restarted(self) -> None:
        """The next leader waits for the worker's next heartbeat."""
        running = matchers.HasLength(1)
        self.assertThat(self.worker.running, running)
        after = FakeLead(
            self.store,
            (self.worker,),
            TERM + 1,
            self.lead.now_s,
        )
        after.take(self.stale)
        after.plan()
        phase = _phase(self.store, OTHER_JOB)
        self.assertThat(phase, matchers.Equals(TaskPhase.ASSIGNED))
        after.round()
        self.assertThat(self.worker.running, running)

    def test_shrunk_capacity_is_seen_once_the_worker_is_known(self) -> None:
        """A start that was lost with the former leader is withdrawn later."""
        self.worker.running.clear()
        after = FakeLead(
            self.store,
            (self.worker,),
            TERM + 1,
            self.lead.now_s,
        )
        self.worker.cpu_millicores = 0
        for _ in range(30):
            after.now_s += 0.1
            after.hear(self.worker)
            after.plan()
        phase = _phase(self.store, OTHER_JOB)
        self.assertThat(phase, matchers.Equals(TaskPhase.WAITING))


class TestTickets(testtools.TestCase):
    """A run that began with a ticket that the next leader does not have."""

    def test_run_is_not_restarted_for_lack_of_a_ticket(self) -> None:
        """Tickets are not replicated, and the heartbeat is stale."""
        policy = AdvicePolicy(20, 5, 3000)
        store = JobStore()
        commit(store, SetManifest(manifest(queue(advice=policy))))
        commit(store, BeginTerm(TERM))
        commit(store, AddJob(job(step()), 'bookings'))
        lead = FakeLead(store, workers(4))
        lead.round()
        request = lead.scheduler.advice.pop_requests()[0]
        allowed = request.workers[0]
        advice = Advice({allowed: 'paper'}, valid_s=3)
        lead.scheduler.advice.record_advice(request, advice, lead.now_s)
        stale = lead.workers[allowed].report()
        lead.take(stale)
        lead.round()
        running = matchers.HasLength(1)
        self.assertThat(lead.workers[allowed].running, running)
        after = FakeLead(store, (), TERM + 1, lead.now_s)
        after.take(stale)
        after.plan()
        phase = _phase(store, key().job_id)
        self.assertThat(phase, matchers.Equals(TaskPhase.ASSIGNED))
