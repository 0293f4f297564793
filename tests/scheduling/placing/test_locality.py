"""Test when tasks wait for capacity near their data.

Many jobs have their data on one rack, and a task takes three times as long on
another one.  The rack is full for a moment while workers elsewhere are idle.
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
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling.pooling import Move
from wigeonreach.standins import StandInWorker

# Millicores of a whole worker.
_WHOLE = 16_000
# A task whose turn has come starts within this time where there is capacity.
_START_WITHIN_S = 3.0


def _lead_two_racks(*jobs: JobSpec) -> FakeLead:
    """Return a leader with one worker on each of two racks."""
    pool = [
        StandInWorker('w-near', 'vm-near', rack='near'),
        StandInWorker('w-away', 'vm-away', rack='away'),
    ]
    settings = SchedulingSettings(far_factor=3.0)
    return FakeLead(store_with(*jobs), pool, settings=settings)


def _running_count(lead: FakeLead, worker: str) -> int:
    return len(lead.workers[worker].running)


def _near_data(count: int, **changes: object) -> JobSpec:
    shape = step(count, data_rack='near', cpu_millicores=_WHOLE, **changes)
    return job(shape, job_id=OTHER_JOB)


def _wait_for_long_task_s(idle_millicores: int) -> float:
    """Return how long a task waits for a rack that a long task fills.

    Two workers elsewhere have some idle capacity each.
    """
    lead = _lead_two_racks(_near_data(1, estimate_ms=60_000))
    idle = [
        StandInWorker(
            f'w{at}', f'vm{at}', rack='away', cpu_millicores=idle_millicores
        )
        for at in range(2)
    ]
    lead.workers.pop('w-away')
    lead.workers.update({worker.name: worker for worker in idle})
    lead.round()
    near = lead.workers['w-near']
    commit(
        lead.store,
        AddJob(job(step(data_rack='near', estimate_ms=60_000)), QUEUE),
    )
    began_s = lead.now_s
    while not any(worker.running for worker in idle):
        near.advance(int(lead.now_s))
        lead.round()
    return lead.now_s - began_s


class TestWaiting(testtools.TestCase):
    """A rack that one task fills."""

    def test_task_waits_for_full_rack(self) -> None:
        """Capacity is free there before a remote run would be half done."""
        lead = _lead_two_racks(_near_data(1))
        lead.round()
        commit(lead.store, AddJob(job(*_near_data(1).steps), QUEUE))
        lead.round(0.5)
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(0))
        near = lead.workers['w-near']
        near.end(next(iter(near.running)), RunEnd.DONE)
        lead.round()
        self.assertThat(_running_count(lead, 'w-near'), matchers.Equals(1))

    def test_task_runs_anywhere_after_waiting_too_long(self) -> None:
        """Running remotely costs twice the run time, the limit for waiting."""
        lead = _lead_two_racks(_near_data(1))
        lead.round()
        commit(lead.store, AddJob(job(*_near_data(1).steps), QUEUE))
        for _ in range(12):
            lead.workers['w-near'].advance(int(lead.now_s * 10))
            lead.round()
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(0))
        lead.round(0.2)
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(1))

    def test_task_does_not_wait_for_a_lasting_task(self) -> None:
        """It fills the rack, and most of the other capacity is idle.

        Guards against a job that stands still for as long as a remote run would
        cost in addition, here 120 s.
        """
        self.assertThat(
            _wait_for_long_task_s(_WHOLE), matchers.LessThan(_START_WITHIN_S)
        )

    def test_task_waits_longer_in_a_busy_pool(self) -> None:
        """The rack may be free before a remote run would be done."""
        waited_s = _wait_for_long_task_s(_WHOLE // 4)
        self.assertThat(waited_s, matchers.GreaterThan(100.0))

    def test_task_does_not_wait_behind_a_long_queue(self) -> None:
        """It runs elsewhere at once if too much work is ahead of it."""
        lead = _lead_two_racks(_near_data(3))
        lead.round()
        commit(lead.store, AddJob(job(*_near_data(1).steps), QUEUE))
        lead.round()
        self.assertThat(_running_count(lead, 'w-near'), matchers.Equals(1))
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(1))

    def test_task_does_not_wait_for_rack_without_workers(self) -> None:
        """No worker is expected there."""
        lead = _lead_two_racks(_near_data(1))
        lead.workers.pop('w-near')
        lead.round()
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(1))

    def test_task_waits_for_rack_of_incoming_vm(self) -> None:
        """The VM arrives before a remote run would be half done."""
        lead = _lead_two_racks(_near_data(1))
        lead.workers.pop('w-near')
        vms = lead.scheduler.pools.vms
        listed = VmRecord(
            'off', 'standby', VmPhase.UP, 'a', 'near', '', ('kind', 'near')
        )
        vms.note_listed((listed,))
        vms.note_moved(Move('off', 'standby', SERVICE), lead.now_s)
        lead.round()
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(0))

    def test_task_without_data_avoids_the_rack(self) -> None:
        """It can run anywhere, and leaves the rack to the others."""
        small = job(step(1, cpu_millicores=1000))
        lead = _lead_two_racks(_near_data(2), small)
        lead.workers['w-near'].cpu_millicores = 2 * _WHOLE + 1000
        lead.round()
        self.assertThat(_running_count(lead, 'w-near'), matchers.Equals(2))
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(1))


class TestOneRack(testtools.TestCase):
    """A gang that is slower on several racks."""

    def test_gang_waits_for_one_rack(self) -> None:
        """One rack could fit the gang, and is full for a moment."""
        gang = step(2, cpu_millicores=_WHOLE, is_gang=True, is_rack_local=True)
        lead = _lead_two_racks(_near_data(1))
        lead.workers['w-near'].cpu_millicores = 2 * _WHOLE
        lead.round()
        commit(lead.store, AddJob(job(gang), QUEUE))
        lead.round()
        self.assertThat(_running_count(lead, 'w-near'), matchers.Equals(1))
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(0))

    def test_gang_that_fits_no_rack_is_spread(self) -> None:
        """Waiting for one rack would never help."""
        gang = step(2, cpu_millicores=_WHOLE, is_gang=True, is_rack_local=True)
        lead = _lead_two_racks(job(gang))
        lead.round()
        self.assertThat(_running_count(lead, 'w-near'), matchers.Equals(1))
        self.assertThat(_running_count(lead, 'w-away'), matchers.Equals(1))
