"""Test that a pool gets VMs that suit its work, not only enough of them.

Jobs need a label that few VMs have, have their data on one rack, or are gangs
wider than their pool.  The pool has enough workers for the amount of work, but
none that can run it.  Timed jobs announce their work long before it is due.
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
# After this time a new leader returns idle VMs.
_RETURNED_S = 12.0


def _store(*jobs: JobSpec) -> JobStore:
    store = store_with(*jobs)
    services = (ServiceSpec(SERVICE), ServiceSpec(_STANDBY, is_standby=True))
    commit(store, SetManifest(Manifest(2, store.manifest.queues, services)))
    return store


def _standby_vm(vm: str, *labels: str) -> VmRecord:
    return VmRecord(vm, _STANDBY, VmPhase.UP, 'a', labels[-1], '', labels)


class TestPoolLabels(testtools.TestCase):
    """One busy pool, and standby VMs of two kinds on two racks."""

    def _lead(self, *steps: StepSpec, pool: int = 2) -> FakeLead:
        settings = SchedulingSettings(far_factor=_FAR_FACTOR)
        lead = FakeLead(_store(job(*steps)), workers(pool), settings=settings)
        lead.scheduler.pools.note_vms(
            (
                _standby_vm('off1', 'kind', 'rack'),
                _standby_vm('off2', 'other', 'rack'),
                _standby_vm('off3', 'kind', 'away'),
            ),
        )
        lead.round()
        return lead

    def _moves(self, lead: FakeLead) -> list[Move]:
        return lead.scheduler.plan_moves(lead.now_s)

    def test_vm_with_missing_label_is_moved_in(self) -> None:
        """Without it the job would never start."""
        lead = self._lead(step(1, label='other'))
        expected = [Move('off2', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))

    def test_serving_task_gets_vm_with_its_label(self) -> None:
        """Other workers have free capacity, but lack the label."""
        lead = self._lead(serving_step(1, label='other'))
        expected = [Move('off2', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))

    def test_worker_with_the_label_stays(self) -> None:
        """Only workers without the label are moved out as a surplus."""
        pool = workers(3)
        pool[0].kind = 'other'
        labeled = job(serving_step(1, label='other', cpu_millicores=1))
        lead = FakeLead(_store(labeled), pool)
        moved: set[str] = set()
        while lead.now_s < _RETURNED_S:
            lead.round()
            moved.update(move.vm for move in self._moves(lead))
        self.assertThat(moved, matchers.Equals({'vm1', 'vm2'}))

    def test_vm_on_data_rack_is_moved_in(self) -> None:
        """Away from its data the job would be late."""
        lead = self._lead(step(1, data_rack='away'))
        expected = [Move('off3', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))

    def test_data_rack_without_spare_vms_causes_no_move(self) -> None:
        """VMs on other racks move in only if the work requires them."""
        lead = self._lead(step(1, data_rack='nowhere'))
        self.assertThat(self._moves(lead), matchers.Equals([]))

    def test_unavailable_label_does_not_block_other_moves(self) -> None:
        """The pool gets the VMs that its other work needs."""
        rare = step(1, label='nowhere')
        lead = self._lead(rare, step(120, estimate_ms=1500))
        self.assertThat(
            {move.vm for move in self._moves(lead)},
            matchers.Equals({'off1', 'off2'}),
        )

    def test_gang_wider_than_its_pool_gets_a_vm(self) -> None:
        """All members of the gang have to fit at once."""
        lead = self._lead(step(3, cpu_millicores=16_000, is_gang=True))
        expected = [Move('off1', _STANDBY, SERVICE)]
        self.assertThat(self._moves(lead), matchers.Equals(expected))


class TestTimedJobs(testtools.TestCase):
    """A job with occurrences at regular intervals."""

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
        off = (
            _standby_vm(f'off{number}', 'kind', 'rack') for number in range(9)
        )
        lead.scheduler.pools.note_vms(off)
        lead.round()
        return lead

    def test_later_occurrences_need_no_vm_yet(self) -> None:
        """Only the first is due: 40 tasks of 2 s on 2 x 16 processors."""
        moves = self._lead(1).scheduler.plan_moves(0.1)
        self.assertThat(moves, matchers.HasLength(0))

    def test_objective_starts_at_the_due_time(self) -> None:
        """A job accepted long before it is due is not late."""
        lead = self._lead(50_000)
        lead.now_s = 50.1
        found = lead.scheduler.ready.by_priority(50.1, 50_100, {SERVICE: 32.0})
        self.assertThat(found, matchers.HasLength(1))
        self.assertThat(found[0].latest_start_s, matchers.GreaterThan(50.1))
