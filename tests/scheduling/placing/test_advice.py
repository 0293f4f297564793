"""Test that steps that need an advisor's ticket start only with one."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    FakeLead,
    job,
    key,
    manifest,
    queue,
    step,
    workers,
)
from wigeonreach.jobs import (
    AddJob,
    AdvicePolicy,
    BeginTerm,
    JobStore,
    SetManifest,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling.placing._advice import Advice

_POLICY = AdvicePolicy(decision_ms=20, per_worker_ms=5, validity_ms=3000)


def _lead(count: int, **changes: object) -> FakeLead:
    store = JobStore()
    commit(store, SetManifest(manifest(queue(advice=_POLICY))))
    commit(store, BeginTerm(3))
    commit(store, AddJob(job(step(count, **changes)), 'bookings'))
    return FakeLead(store, workers(4))


class TestAdvice(testtools.TestCase):
    """One step of a queue with an advisor."""

    def test_nothing_starts_without_a_ticket(self) -> None:
        """The advisor is asked about a few workers first."""
        lead = _lead(1)
        lead.round()
        self.assertThat(lead.store.assigned_runs, matchers.HasLength(0))
        requests = lead.scheduler.advice.pop_requests()
        self.assertThat(requests, matchers.HasLength(1))
        self.assertThat(requests[0].workers, matchers.HasLength(2))

    def test_task_starts_on_an_allowed_worker_with_its_ticket(self) -> None:
        """The order includes the ticket."""
        lead = _lead(1)
        lead.round()
        request = lead.scheduler.advice.pop_requests()[0]
        worker = request.workers[-1]
        advice = Advice({worker: 'paper'}, valid_s=3)
        lead.scheduler.advice.record_advice(request, advice, lead.now_s)
        lead.hear(lead.workers[worker])
        lead.plan()
        incarnation = lead.scheduler.workers.incarnations[worker]
        orders = lead.scheduler.answers.orders(incarnation, lead.now_s)
        self.assertThat(
            [(start.task, start.ticket) for start in orders.starts],
            matchers.Equals([(key(), 'paper')]),
        )

    def test_expiring_ticket_is_requested_again(self) -> None:
        """A ticket that would expire before the order arrives is not used."""
        lead = _lead(1)
        lead.round()
        request = lead.scheduler.advice.pop_requests()[0]
        advice = Advice({request.workers[0]: 'paper'}, valid_s=3)
        lead.scheduler.advice.record_advice(request, advice, lead.now_s)
        for worker in lead.workers.values():
            worker.cpu_millicores = 0
        lead.round()
        for restored in lead.workers.values():
            restored.cpu_millicores = 16_000
        lead.round(2.6)
        self.assertThat(lead.store.assigned_runs, matchers.HasLength(0))
        self.assertThat(
            lead.scheduler.advice.pop_requests(),
            matchers.HasLength(1),
        )

    def test_only_suitable_workers_are_asked_for(self) -> None:
        """The emptiest workers lack the label that the step requires.

        Guards against a step that never gets a ticket, as the advisor is asked
        about the same unsuitable workers again and again.
        """
        lead = _lead(1, label='large')
        suitable = lead.workers['w3']
        suitable.kind = 'large'
        suitable.cpu_millicores = 8000
        lead.round()
        requests = lead.scheduler.advice.pop_requests()
        self.assertThat(
            [request.workers for request in requests],
            matchers.Equals([('w3',)]),
        )

    def test_step_has_one_request_at_a_time(self) -> None:
        """The advisor is slow, so no request is sent twice."""
        lead = _lead(1)
        lead.round()
        lead.scheduler.advice.pop_requests()
        lead.round()
        self.assertThat(
            lead.scheduler.advice.pop_requests(),
            matchers.HasLength(0),
        )
