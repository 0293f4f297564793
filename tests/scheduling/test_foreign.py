"""Test that foreign heartbeats change nothing.

A foreign writer may create entries that can be decoded, but that name a service
which is not in the manifest, or another service than their worker's.
"""

from __future__ import annotations

import itertools

import msgspec
import testtools
from testtools import matchers

from tests.builders_jobs import (
    TERM,
    FakeLead,
    job,
    key,
    serving_step,
    store_with,
    workers,
)
from wigeonreach.jobs import JobStore, Run, RunEnd
from wigeonreach.scheduling import Scheduler
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import (
    MAX_LISTED_ENDS,
    EndedRun,
    WorkerReport,
)

# Longer than a new leader waits for answers of a former one.
_ROUNDS = 30


class TestRunsAtWork(testtools.TestCase):
    """Another writer sends an idle worker's heartbeat under the id of a busy one.

    Guards against runs that are withdrawn as not begun, and so started on other
    workers, while they are at work.
    """

    def setUp(self) -> None:
        """Let a worker serve for longer than a new leader withdraws nothing."""
        super().setUp()
        self.lead = FakeLead(store_with(job(serving_step(1))), workers(2))
        for _ in range(_ROUNDS):
            self.lead.round()
        self.worker = next(
            known for known in self.lead.workers.values() if known.running
        )

    def _forged(self, **changes: object) -> WorkerReport:
        sent = self.worker.last_report
        return msgspec.structs.replace(
            sent, sequence=sent.sequence + 3, running=(), ended=(), **changes
        )

    def _assert_undisturbed(self) -> None:
        begun: set[tuple[str, Run]] = set()
        for _ in range(_ROUNDS):
            self.lead.round()
            for known in self.lead.workers.values():
                begun.update((known.name, run) for run in known.running)
        only = (self.worker.name, (key(), 1))
        self.assertThat(begun, matchers.Equals({only}))

    def test_empty_lists(self) -> None:
        """Its run does not start once more."""
        self.lead.take(self._forged())
        self._assert_undisturbed()

    def test_empty_lists_without_capacity(self) -> None:
        """Its run is not taken for one that no longer fits."""
        self.lead.take(self._forged(cpu_millicores=0, memory_mb=0))
        self._assert_undisturbed()

    def test_empty_lists_of_a_draining_worker(self) -> None:
        """Its run is not taken for one that it begins no more."""
        self.lead.take(self._forged(is_draining=True))
        self._assert_undisturbed()

    def test_end_that_a_former_leader_recorded(self) -> None:
        """The next leader may first hear a late heartbeat, sent before it."""
        late = self.worker.report()
        self.worker.end((key(), 1), RunEnd.DONE)
        self.lead.round()
        self.lead.round()
        later = FakeLead(self.lead.store, [], TERM + 1, self.lead.now_s)
        later.take(late)
        self.assertThat(self.worker.ended, matchers.HasLength(0))
        self.assertThat(
            later.scheduler.is_foreign(self.worker.report()),
            matchers.Is(False),
        )

    def test_ends_that_did_not_fit(self) -> None:
        """A worker with many ends lists the others later."""
        known = self.worker.last_report
        other = EndedRun(1, key(1), 1, RunEnd.DONE)
        ends = tuple(itertools.repeat(other, MAX_LISTED_ENDS))
        report = msgspec.structs.replace(
            known, sequence=known.sequence + 1, running=(), ended=ends
        )
        self.assertThat(
            self.lead.scheduler.is_foreign(report), matchers.Is(False)
        )


class TestForeignHeartbeats(testtools.TestCase):
    """A pool of two workers, one of which serves."""

    def setUp(self) -> None:
        """Start a serving task."""
        super().setUp()
        self.lead = FakeLead(store_with(job(serving_step(1))), workers(2))
        self.lead.round()
        self.lead.round()

    def test_unnamed_service_is_no_worker(self) -> None:
        """Its VM stays with the worker that is known there."""
        for _ in range(3):
            self.lead.hear(StandInWorker('other', 'vm0', service='unnamed'))
        known = self.lead.scheduler.workers
        newest = known.of_vm('vm0')
        self.assertThat('other' in known.incarnations, matchers.Is(False))
        assert newest is not None
        self.assertThat(newest.report.worker, matchers.Equals('w0'))

    def test_incarnation_keeps_its_service(self) -> None:
        """A heartbeat with another service neither ends nor renews it."""
        twin = StandInWorker('w0', 'vm0', service='unnamed', sequence=900)
        self.lead.hear(twin)
        self.lead.round()
        known = self.lead.scheduler.workers.incarnations['w0']
        self.assertThat(known.report.service, matchers.Equals('desk'))
        self.assertThat(known.heard_s, matchers.Equals(self.lead.now_s))

    def test_incarnation_keeps_its_vm(self) -> None:
        """A heartbeat with another VM does not move the worker there."""
        self.lead.hear(StandInWorker('w0', 'elsewhere', sequence=900))
        known = self.lead.scheduler.workers
        self.assertThat(known.of_vm('elsewhere'), matchers.Is(None))
        self.assertThat(
            known.incarnations['w0'].report.vm, matchers.Equals('vm0')
        )

    def test_copy_of_a_heartbeat_changes_nothing(self) -> None:
        """Only the first heartbeat with a sequence number is applied."""
        worker = next(
            known for known in self.lead.workers.values() if known.running
        )
        run = next(iter(worker.running))
        sent = worker.report()
        ended = EndedRun(7, *run, RunEnd.FAILED)
        forged = msgspec.structs.replace(sent, ended=(ended,))
        self.lead.take(sent)
        heard = self.lead.scheduler.process_heartbeat(forged, self.lead.now_s)
        assert heard is not None
        self.assertThat(heard.ends, matchers.Equals(()))
        self.assertThat(heard.incarnation.report, matchers.Equals(sent))

    def test_worker_of_a_dropped_service_is_tracked(self) -> None:
        """Its runs still have to end and to be acknowledged."""
        worker = next(
            known for known in self.lead.workers.values() if known.running
        )
        worker.service = 'dropped'
        later = Scheduler(self.lead.store, self.lead.term, self.lead.now_s)
        self.assertThat(
            later.process_heartbeat(worker.report(), self.lead.now_s),
            matchers.Not(matchers.Is(None)),
        )

    def test_first_manifest_may_come_later(self) -> None:
        """Workers may be heard before any manifest names their services."""
        store = JobStore()
        lead = FakeLead(store, workers(1))
        lead.round()
        self.assertThat(
            lead.scheduler.workers.incarnations, matchers.HasLength(1)
        )
        self.assertThat(store.manifest.version, matchers.Equals(0))
