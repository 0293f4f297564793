"""Test the stand-in for a worker."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import key
from wigeonreach.jobs import RunEnd
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import (
    StartOrder,
    StopOrder,
    WorkerOrders,
)

_LEASE_MS = 4000
_LEASE_S = 4.0


def _orders(fence: int = 1, **changes: object) -> WorkerOrders:
    fields: dict[str, object] = {'lease_ms': _LEASE_MS, 'fence': fence}
    fields.update(changes)
    return WorkerOrders(**fields)  # type: ignore[arg-type]


class TestStandInWorker(testtools.TestCase):
    """One incarnation of a worker."""

    def setUp(self) -> None:
        """Start a worker with one run."""
        super().setUp()
        self.worker = StandInWorker('w', 'vm')
        start = StartOrder(key(), 1, 'payload')
        self.worker.obey(_orders(starts=(start,)), sent_s=1.0)

    def test_lease_counts_from_when_the_heartbeat_was_sent(self) -> None:
        """The run ends when the lease expires."""
        self.worker.lapse(1.0 + _LEASE_S)
        self.assertThat(self.worker.running, matchers.HasLength(1))
        self.worker.lapse(1.01 + _LEASE_S)
        ends = [ended.end for ended in self.worker.ended]
        self.assertThat(ends, matchers.Equals([RunEnd.LAPSED]))

    def test_lower_fence_is_ignored(self) -> None:
        """Stops and acknowledgements under a lower fencing token do nothing."""
        self.worker.obey(_orders(fence=2))
        stop = StopOrder(key(), 1)
        self.worker.obey(_orders(fence=1, stops=(stop,), acknowledged=9))
        self.assertThat(self.worker.running, matchers.HasLength(1))

    def test_orders_without_a_lease_start_nothing(self) -> None:
        """Such orders answer an outdated heartbeat."""
        start = StartOrder(key(1), 1, 'payload')
        started = self.worker.obey(WorkerOrders(starts=(start,)))
        self.assertThat(started, matchers.Equals(()))

    def test_end_is_listed_until_it_is_acknowledged(self) -> None:
        """A stop of a run that has already ended has no effect."""
        self.worker.end((key(), 1), RunEnd.DONE)
        self.worker.obey(_orders(stops=(StopOrder(key(), 1),)))
        self.assertThat(self.worker.report().ended, matchers.HasLength(1))
        self.worker.obey(_orders(acknowledged=1))
        self.assertThat(self.worker.report().ended, matchers.HasLength(0))

    def test_ended_run_is_refused(self) -> None:
        """A newer run of the same task is started."""
        self.worker.end((key(), 1), RunEnd.DONE)
        for run, expected in ((1, 0), (2, 1)):
            order = StartOrder(key(), run, 'payload')
            started = self.worker.obey(_orders(starts=(order,)))
            self.assertThat(started, matchers.HasLength(expected))
        ends = [ended.end for ended in self.worker.ended]
        self.assertThat(ends, matchers.Equals([RunEnd.DONE, RunEnd.REFUSED]))
