"""Test that a pool gets VMs that can take its work, not only enough of them.

Pattern: jobs need a label that few VMs carry, have their data near one rack, or
are gangs wider than their pool; the pool has as many workers as their work
fills, and none that helps.  Timed jobs tell long ahead what they will need.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    SERVICE,
    FakeLead,
    job,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    JobSpec,
    JobStore,
    Manifest,
    ServiceSpec,
    SetManifest,
    StepSpec,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling.pooling._pool_vms import Move

_STANDBY = 'standby'
_FAR_FACTOR = 3.0
# After this a new leader gives VMs back.
_LONG_S = 12.0


def _store(*jobs: JobSpec) -> JobStore:
    store = store_with(*jobs)
    services = (ServiceSpec(SERVICE), ServiceSpec(_STANDBY, is_standby=True))
    commit(store, SetManifest(Manifest(2, store.manifest.queues, services)))
    return store


def _off(vm: str, *labels: str) -> VmRecord:
    return VmRecord(vm, _STANDBY, VmPhase.UP, 'a', labels[-1], '', labels)


class TestPlaces(testtools.TestCase):
    """One busy pool, and VMs of two kinds on two racks that stand by."""

    def _lead(self, *steps: StepSpec, pool: int = 2) -> FakeLead:
        settings = SchedulingSettings(far_factor=_FAR_FACTOR)
        lead = FakeLead(_store(job(*steps)), workers(pool), settings=settings)
        lead.scheduler.pools.note_vms(
            (
                _off('off1', 'kind', 'rack'),
                _off('off2', 'other', 'rack'),
                _off('off3', 'kind', 'away'),
            ),
        )
        lead.round()
        return lead

    def _moves(self, lead: FakeLead) -> list[Move]:
        return lead.scheduler.moves(lead.now_s)

    def test_label_that_no_worker_carries_is_brought(self) -> None:
        """Without it the job would never start."""
        lead = self._lead(step(1, label='other'))
        expected = [Move('off2', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))

    def test_serving_task_gets_its_label(self) -> None:
        """It finds room on other workers, but may not run there."""
        lead = self._lead(serving_step(1, label='other'))
        expected = [Move('off2', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))

    def test_worker_with_the_label_stays(self) -> None:
        """The others go when there is more than the work needs."""
        pool = workers(3)
        pool[0].kind = 'other'
        paper = job(serving_step(1, label='other', cpu_millicores=1))
        lead = FakeLead(_store(paper), pool)
        moved: set[str] = set()
        while lead.now_s < _LONG_S:
            lead.round()
            moved.update(move.vm for move in self._moves(lead))
        self.assertThat(moved, matchers.Equals({'vm1', 'vm2'}))

    def test_rack_with_data_gives_a_vm(self) -> None:
        """Away from it a job takes too long to be in time."""
        lead = self._lead(step(1, data_rack='away'))
        expected = [Move('off3', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))

    def test_rack_without_vms_to_spare_changes_nothing(self) -> None:
        """Others come only for the work that they would do."""
        lead = self._lead(step(1, data_rack='nowhere'))
        self.assertThat(self._moves(lead), matchers.Equals([]))

    def test_label_that_is_not_to_be_had_takes_no_room(self) -> None:
        """The pool gets the VMs that its other work needs."""
        rare = step(1, label='nowhere')
        lead = self._lead(rare, step(120, estimate_ms=1500))
        self.assertThat(
            {move.vm for move in self._moves(lead)},
            matchers.Equals({'off1', 'off2'}),
        )

    def test_gang_wider_than_its_pool_gets_room(self) -> None:
        """All its members have to fit at once."""
        lead = self._lead(step(3, cpu_millicores=16_000, is_gang=True))
        expected = [Move('off1', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))


class TestTimedJobs(testtools.TestCase):
    """A job whose occurrences come one after the other."""

    def _lead(self, first_due_ms: int) -> FakeLead:
        spec = JobSpec(
            JOB,
            'payload',
            (step(40, estimate_ms=2000),),
            first_due_ms=first_due_ms,
            interval_ms=60_000,
            occurrences=20,
        )
        lead = FakeLead(_store(spec), workers(2))
        off = (_off(f'off{number}', 'kind', 'rack') for number in range(9))
        lead.scheduler.pools.note_vms(off)
        lead.round()
        return lead

    def test_later_occurrences_need_no_vm_yet(self) -> None:
        """Only the first is due: forty tasks of two seconds on sixteen."""
        moves = self._lead(1).scheduler.moves(0.1)
        self.assertThat(moves, matchers.HasLength(0))

    def test_due_time_begins_the_objective(self) -> None:
        """It is not late because it was accepted long ago."""
        lead = self._lead(50_000)
        lead.now_s = 50.1
        found = lead.scheduler.ready.in_order(50.1, 50_100, {SERVICE: 32.0})
        self.assertThat(found, matchers.HasLength(1))
        self.assertThat(found[0].latest_start_s, matchers.GreaterThan(50.1))
