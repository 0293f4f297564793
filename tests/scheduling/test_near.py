"""Test when work waits for room near its data.

Pattern: many jobs want one rack, away from which a task takes three times as
long; the rack is full for a moment while workers elsewhere are idle.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    OTHER_JOB,
    QUEUE,
    SERVICE,
    FakeLead,
    job,
    step,
    store_with,
)
from wigeonreach.jobs import AddJob, JobSpec, RunEnd
from wigeonreach.lab import commit
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.scheduling.pooling import Move
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.standins import StandInWorker

_WHOLE = 16_000


def _lead(*jobs: JobSpec) -> FakeLead:
    """Lead a worker on each of two racks."""
    pool = [
        StandInWorker('w-near', 'vm-near', rack='near'),
        StandInWorker('w-away', 'vm-away', rack='away'),
    ]
    settings = SchedulingSettings(far_factor=3.0)
    return FakeLead(store_with(*jobs), pool, settings=settings)


def _tasks(lead: FakeLead, worker: str) -> int:
    return len(lead.workers[worker].running)


def _near_data(count: int, **changes: object) -> JobSpec:
    shape = step(count, data_rack='near', cpu_millicores=_WHOLE, **changes)
    return job(shape, job_id=OTHER_JOB)


class TestWaiting(testtools.TestCase):
    """A rack that one task fills."""

    def test_full_rack_is_waited_for(self) -> None:
        """Room is free there before a far task would be half done."""
        lead = _lead(_near_data(1))
        lead.round()
        commit(lead.store, AddJob(job(*_near_data(1).steps), QUEUE))
        lead.round(0.5)
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(0))
        near = lead.workers['w-near']
        near.end(next(iter(near.running)), RunEnd.DONE)
        lead.round()
        self.assertThat(_tasks(lead, 'w-near'), matchers.Equals(1))

    def test_task_goes_anywhere_once_waiting_cost_as_much(self) -> None:
        """Twice its time is what the distance costs."""
        lead = _lead(_near_data(1))
        lead.round()
        commit(lead.store, AddJob(job(*_near_data(1).steps), QUEUE))
        for _ in range(12):
            lead.workers['w-near'].advance(int(lead.now_s * 10))
            lead.round()
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(0))
        lead.round(0.2)
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(1))

    def test_long_queue_is_not_waited_for(self) -> None:
        """What has too much in front of it goes elsewhere at once."""
        lead = _lead(_near_data(3))
        lead.round()
        commit(lead.store, AddJob(job(*_near_data(1).steps), QUEUE))
        lead.round()
        self.assertThat(_tasks(lead, 'w-near'), matchers.Equals(1))
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(1))

    def test_rack_without_workers_is_not_waited_for(self) -> None:
        """Nothing tells that a worker comes there."""
        lead = _lead(_near_data(1))
        lead.workers.pop('w-near')
        lead.round()
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(1))

    def test_rack_whose_vm_is_on_its_way_is_waited_for(self) -> None:
        """It is there before a far task would be half done."""
        lead = _lead(_near_data(1))
        lead.workers.pop('w-near')
        vms = lead.scheduler.pools.vms
        listed = VmRecord(
            'off', 'standby', VmPhase.UP, 'a', 'near', '', ('kind', 'near')
        )
        vms.note_listed((listed,))
        vms.note_moved(Move('off', 'standby', SERVICE), lead.now_s)
        lead.round()
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(0))

    def test_other_work_leaves_the_rack(self) -> None:
        """It could go anywhere."""
        small = job(step(1, cpu_millicores=1000))
        lead = _lead(_near_data(2), small)
        lead.workers['w-near'].cpu_millicores = 2 * _WHOLE + 1000
        lead.round()
        self.assertThat(_tasks(lead, 'w-near'), matchers.Equals(2))
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(1))


class TestOneRack(testtools.TestCase):
    """A gang that works slower on several racks."""

    def test_gang_waits_for_a_rack(self) -> None:
        """One rack could hold it, and is full for a moment."""
        gang = step(2, cpu_millicores=_WHOLE, is_gang=True, is_rack_local=True)
        lead = _lead(_near_data(1))
        lead.workers['w-near'].cpu_millicores = 2 * _WHOLE
        lead.round()
        commit(lead.store, AddJob(job(gang), QUEUE))
        lead.round()
        self.assertThat(_tasks(lead, 'w-near'), matchers.Equals(1))
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(0))

    def test_gang_that_no_rack_holds_is_spread(self) -> None:
        """It would wait in vain."""
        gang = step(2, cpu_millicores=_WHOLE, is_gang=True, is_rack_local=True)
        lead = _lead(job(gang))
        lead.round()
        self.assertThat(_tasks(lead, 'w-near'), matchers.Equals(1))
        self.assertThat(_tasks(lead, 'w-away'), matchers.Equals(1))
