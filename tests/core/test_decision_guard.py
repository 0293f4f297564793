"""Test that unexpected errors of a leader's decisions stay with them.

Guards against an error that ends every leader, one after the other, as each
decides on the same state.
"""

from __future__ import annotations

import asyncio
import os
from unittest import mock

import testtools
from testtools import matchers

from tests.builders_core import CoreCluster, run_cluster, send_heartbeat
from tests.builders_jobs import JOB, job, key, step
from wigeonreach.codes import ResultCode
from wigeonreach.core import _decision_guard
from wigeonreach.core._decision_guard import Decision, DecisionGuard
from wigeonreach.core._term_log import TermLog
from wigeonreach.exceptions import StateError
from wigeonreach.jobs import JobPhase, RunEnd
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.scheduling import HeartbeatResult, Scheduler
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._call_messages import HearWorker, ReadJob, SubmitJob
from wigeonreach.wire._call_replies import JobState, Orders
from wigeonreach.wire._worker_messages import WorkerReport

_JOB_PATH = ('club.example', f'/bookings/{JOB}')
_DONE = JobState(JobPhase.COMPLETED, has_started=True)
_FIRST_LIMIT_S = 5.0
_process_heartbeat = Scheduler.process_heartbeat


def _raise(error: Exception) -> None:
    raise error


class TestDecisionGuard(testtools.TestCase):
    """The guard by itself."""

    def setUp(self) -> None:
        """Create a guard whose log can be read."""
        super().setUp()
        self.log = mock.create_autospec(Logger, instance=True)
        self.metrics = Metrics()
        self.guard = DecisionGuard(self.log, self.metrics)

    def _fail(self, now_s: float, decision: Decision = Decision.MOVES) -> None:
        with mock.patch.object(_decision_guard, 'steady_s', return_value=now_s):
            with self.guard.contain(decision):
                _raise(KeyError('a-pool'))

    def test_error_is_counted_and_logged(self) -> None:
        """The line tells what failed, why and where."""
        self._fail(1.0)
        self.assertThat(
            self.metrics.counted('decisions_failed', 'moves'),
            matchers.Equals(1),
        )
        self.log.warning.assert_called_once_with(
            LogEvent.DECISION_FAILED,
            decision='moves',
            reason="KeyError('a-pool')",
            place=mock.ANY,
            failures=1,
        )
        fields = self.log.warning.call_args.kwargs
        self.assertThat(fields['place'], matchers.EndsWith(' _raise'))

    def test_lines_are_bounded(self) -> None:
        """Many failures a second of one kind give one line."""
        for number in range(100):
            self._fail(1 + number / 200)
        self._fail(1.2, Decision.PLACING)
        self.assertThat(self.log.warning.call_count, matchers.Equals(2))
        self.assertThat(
            self.metrics.counted('decisions_failed', 'moves'),
            matchers.Equals(100),
        )

    def test_state_errors_pass(self) -> None:
        """A quorum that does not confirm is no fault of the decision."""
        error = StateError(ResultCode.STATE_NO_QUORUM, 'text')
        with testtools.ExpectedException(StateError):
            with self.guard.contain(Decision.MOVES):
                _raise(error)

    def test_leadership_is_handed_over_once(self) -> None:
        """Only after a kind of decision has failed for long."""
        self._fail(10.0)
        self._fail(10.0 + _FIRST_LIMIT_S)
        before_s = 10.0 + _FIRST_LIMIT_S - 0.1
        self.assertThat(
            self.guard.takes_hand_over(before_s), matchers.Is(False)
        )
        now_s = 10.0 + _FIRST_LIMIT_S
        self.assertThat(self.guard.takes_hand_over(now_s), matchers.Is(True))
        self.assertThat(self.guard.takes_hand_over(now_s), matchers.Is(False))

    def test_success_counts(self) -> None:
        """A kind that succeeds again does not keep failing."""
        self._fail(10.0)
        with self.guard.contain(Decision.MOVES):
            self.metrics.count('moves')
        self.assertThat(self.guard.takes_hand_over(90.0), matchers.Is(False))

    def test_hand_overs_become_rare(self) -> None:
        """If all leaders fail, leadership does not change all the time."""
        handed_s = []
        for second in range(600):
            self._fail(float(second))
            if self.guard.takes_hand_over(float(second)):
                self.guard.begin_term()
                handed_s.append(second)
        self.assertThat(
            handed_s, matchers.Equals([5, 16, 37, 78, 159, 320, 481])
        )


class TestFailingLeaders(testtools.TestCase):
    """Three core processes with a decision that fails at each of them."""

    def setUp(self) -> None:
        """Record the ends of processes instead of ending the tests."""
        super().setUp()
        patch = mock.patch.object(os, '_exit')
        self.ended = patch.start()
        self.addCleanup(patch.stop)

    async def _complete(self, cluster: CoreCluster) -> None:
        worker = StandInWorker('w', 'vm')
        await cluster.call(SubmitJob(*_JOB_PATH, job(step(1))))
        while not worker.running:
            await send_heartbeat(cluster, worker)
        worker.end((key(), 1), RunEnd.DONE)
        while worker.ended:
            await send_heartbeat(cluster, worker)
        status = await cluster.call(ReadJob(*_JOB_PATH))
        self.assertThat(status, matchers.Equals(_DONE))
        self.assertThat(self.ended.called, matchers.Is(False))

    def test_moves_fail(self) -> None:
        """Jobs run all the same, and no process ends."""
        failing = mock.patch.object(
            Scheduler, 'plan_moves', side_effect=KeyError('a-pool')
        )
        with failing:
            run_cluster(self._complete)

    def test_cycles_fail_after_their_starts(self) -> None:
        """The starts are recorded, and ordered in the next cycle."""
        failing = mock.patch.object(
            TermLog, 'runs_ordered', side_effect=KeyError('a-run')
        )
        with failing:
            run_cluster(self._complete)

    def test_one_heartbeat_fails(self) -> None:
        """Other workers get their orders, the one of it gets no lease."""

        def process(
            scheduler: Scheduler, report: WorkerReport, now_s: float
        ) -> HeartbeatResult | None:
            if report.worker == 'bad':
                raise KeyError(report.worker)
            return _process_heartbeat(scheduler, report, now_s)

        async def body(cluster: CoreCluster) -> None:
            bad = StandInWorker('bad', 'vm-bad')
            for _ in range(5):
                reply = await cluster.call(HearWorker(bad.report()))
                assert isinstance(reply, Orders)
                self.assertThat(reply.orders.lease_ms, matchers.Equals(0))
            await self._complete(cluster)

        with mock.patch.object(Scheduler, 'process_heartbeat', process):
            run_cluster(body)

    def test_placing_keeps_failing(self) -> None:
        """Another process leads, and jobs run once placing works again."""
        placing = mock.patch.object(
            Scheduler, 'plan', side_effect=KeyError('a-worker')
        )
        limit = mock.patch.object(_decision_guard, '_FIRST_LIMIT_S', 0.2)

        async def body(cluster: CoreCluster) -> None:
            first = await cluster.leader()
            placing.start()
            self.addCleanup(placing.stop)
            while await cluster.leader() == first:
                await asyncio.sleep(0.02)
            placing.stop()
            await self._complete(cluster)

        with limit:
            run_cluster(body)
