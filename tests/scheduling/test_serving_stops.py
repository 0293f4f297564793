"""Test that a serving run ends by its job's cancelling, or when it may be away.

All that ends serving runs by an order is played here: whichever decides it, the
log tells which run is stopped and why.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    FakeLead,
    job,
    serving_step,
    store_with,
    workers,
)
from wigeonreach.observe import LogEvent


def _answer_all(lead: FakeLead) -> None:
    """Hear all workers and send each its answer."""
    for worker in lead.workers.values():
        lead.hear(worker)
        incarnation = lead.scheduler.workers.incarnations[worker.name]
        orders = lead.scheduler.answers.due(incarnation, lead.now_s, lead.now_s)
        if orders is not None:
            worker.obey(orders)


class TestReason(testtools.TestCase):
    """What is logged of the stops of serving runs."""

    def test_stop_of_a_cancelled_job_is_told_once(self) -> None:
        """Each run has one line, however often its stop is repeated."""
        lead = FakeLead(store_with(job(serving_step(2))), workers(3))
        lead.round()
        lead.cancel()
        for _ in range(3):
            _answer_all(lead)
        told = [
            note.reason
            for note in lead.scheduler.notes
            if note.event is LogEvent.RUNS_STOPPED
        ]
        self.assertThat(told, matchers.HasLength(2))
        for reason in told:
            self.assertThat(reason, matchers.EndsWith('job is cancelled'))
