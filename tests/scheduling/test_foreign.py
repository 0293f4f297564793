"""Test that foreign heartbeats change nothing.

A foreign writer may create entries that can be decoded, but that name a service
which is not in the manifest, or another service than their worker's.
"""

from __future__ import annotations

import msgspec
import testtools
from testtools import matchers

from tests.builders_jobs import FakeLead, job, serving_step, store_with, workers
from wigeonreach.jobs import JobStore, RunEnd
from wigeonreach.scheduling import Scheduler
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import EndedRun


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
