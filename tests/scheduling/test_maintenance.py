"""Test that waves keep their limits and the limits of serving steps."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    FakeLead,
    job,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import StartWave, VmStep
from wigeonreach.lab import commit
from wigeonreach.scheduling._incarnation import LEASE_EXPIRED_S
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.standins import StandInWorker


def _record(vm: str, phase: VmPhase) -> VmRecord:
    return VmRecord(vm, 'standby', phase, 'a', 'rack', '')


class TestMaintenance(testtools.TestCase):
    """Decisions about the VMs of one wave."""

    def test_one_task_of_a_step_is_stopped_at_a_time(self) -> None:
        """Two VMs are emptied together; only one of their tasks is stopped."""
        lead = FakeLead(store_with(job(serving_step(3))), workers(8))
        lead.round()
        lead.round()
        busy = [worker.vm for worker in lead.workers.values() if worker.running]
        lead.start_wave(busy[:2], limit=2, due_after_s=2.0)
        step = lead.scheduler.maintenance.step(set(), lead.now_s)
        self.assertThat(
            lead.scheduler.maintenance.cordoned,
            matchers.Equals(set(busy[:2])),
        )
        self.assertThat(step.stops, matchers.HasLength(1))

    def test_no_task_is_stopped_while_another_is_unavailable(self) -> None:
        """A task that moves to another worker counts as unavailable."""
        lead = FakeLead(store_with(job(serving_step(3))), workers(8))
        lead.round()
        lead.round()
        busy = [worker for worker in lead.workers.values() if worker.running]
        lead.start_wave([busy[0].vm], limit=2)
        run = next(iter(busy[1].running))
        lead.scheduler.stopping.add(run)
        step = lead.scheduler.maintenance.step(
            lead.scheduler.stopping,
            lead.now_s,
        )
        self.assertThat(step.stops, matchers.HasLength(0))

    def test_standby_vm_is_back_by_a_newer_list_only(self) -> None:
        """A list from before the order does not show its effect."""
        lead = FakeLead(store_with(), workers(1))
        maintenance = lead.scheduler.maintenance
        maintenance.note_vms((_record('off1', VmPhase.UP),), 1.0)
        lead.start_wave(('off1', 'off2'), limit=1)
        lead.record_vm('off1', VmStep.ORDERED)
        maintenance.note_confirmed(1, 'off1', 1.5)
        self.assertThat(
            maintenance.step(set(), 1.6).returned,
            matchers.HasLength(0),
        )
        maintenance.note_vms((_record('off1', VmPhase.MAINTAINED),), 2.0)
        self.assertThat(
            maintenance.step(set(), 2.1).returned,
            matchers.HasLength(0),
        )
        maintenance.note_vms((_record('off1', VmPhase.UP),), 4.0)
        self.assertThat(
            maintenance.step(set(), 4.1).returned,
            matchers.Equals([(1, 'off1')]),
        )

    def test_late_heartbeat_of_an_ended_worker_is_no_return(self) -> None:
        """It was sent before the order, but is first heard after it."""
        lead = FakeLead(store_with(), ())
        maintenance = lead.scheduler.maintenance
        lead.start_wave(('vm0',), limit=1)
        lead.record_vm('vm0', VmStep.ORDERED)
        maintenance.note_confirmed(1, 'vm0', lead.now_s)
        lead.now_s += 1.8
        lead.hear(StandInWorker('ended', 'vm0'))
        self.assertThat(
            maintenance.step(set(), lead.now_s).returned,
            matchers.HasLength(0),
        )
        maintained = StandInWorker('maintained', 'vm0')
        lead.now_s += 0.2
        lead.hear(maintained)
        lead.now_s += 0.75
        lead.hear(maintained)
        self.assertThat(
            maintenance.step(set(), lead.now_s).returned,
            matchers.Equals([(1, 'vm0')]),
        )

    def test_worker_that_came_back_by_itself_was_not_maintained(self) -> None:
        """A crash between the record and the order is no maintenance."""
        lead = FakeLead(store_with(), workers(2))
        maintenance = lead.scheduler.maintenance
        lead.round()
        lead.start_wave(('vm0',), limit=1)
        lead.record_vm('vm0', VmStep.ORDERED, 'w0')
        lead.workers['w0'] = StandInWorker('reborn', 'vm0')
        for _ in range(12):
            lead.round(0.2)
        step = maintenance.step(set(), lead.now_s)
        self.assertThat(step.returned, matchers.HasLength(0))
        self.assertThat(step.orders, matchers.HasLength(1))
        maintenance.note_confirmed(1, 'vm0', lead.now_s)
        lead.round()
        self.assertThat(
            maintenance.step(set(), lead.now_s).returned,
            matchers.HasLength(0),
        )
        lead.workers['w0'] = StandInWorker('maintained', 'vm0')
        for _ in range(6):
            lead.round()
        self.assertThat(
            maintenance.step(set(), lead.now_s).returned,
            matchers.Equals([(1, 'vm0')]),
        )

    def test_vm_that_may_not_be_ordered_yet_blocks_no_other(self) -> None:
        """A new leader maintains other VMs in the meantime."""
        lead = FakeLead(store_with(), workers(3))
        lead.round()
        lead.start_wave(('vm0', 'vm1', 'vm2'), limit=1)
        maintenance = lead.scheduler.maintenance
        found = maintenance.step(set(), lead.now_s, held={'vm0', 'vm1'})
        self.assertThat(
            [vm for _, vm, _ in found.orders],
            matchers.Equals(['vm2']),
        )
        self.assertThat(maintenance.cordoned, matchers.Equals({'vm2'}))

    def test_vm_that_is_not_listed_is_ordered(self) -> None:
        """Only the platform's answer to an order shows that a VM is gone."""
        lead = FakeLead(store_with(), workers(1))
        maintenance = lead.scheduler.maintenance
        lead.start_wave(('gone1',), limit=1)
        lead.now_s = LEASE_EXPIRED_S + 1
        found = maintenance.step(set(), lead.now_s)
        self.assertThat(found.orders, matchers.HasLength(0))
        maintenance.note_vms((_record('off1', VmPhase.UP),), lead.now_s)
        found = maintenance.step(set(), lead.now_s)
        self.assertThat(found.orders, matchers.Equals([(1, 'gone1', '')]))
        lead.record_vm('gone1', VmStep.GONE)
        self.assertThat(lead.store.waves[1].is_done, matchers.Is(True))

    def test_vm_that_may_still_be_heard_is_waited_for(self) -> None:
        """The list may lack a VM whose worker is not heard yet."""
        lead = FakeLead(store_with(), workers(1))
        maintenance = lead.scheduler.maintenance
        lead.start_wave(('vm0',), limit=1)
        maintenance.note_vms((_record('off1', VmPhase.UP),), 0.5)
        found = maintenance.step(set(), LEASE_EXPIRED_S - 0.5)
        self.assertThat(found.orders, matchers.HasLength(0))

    def test_vm_that_is_down_is_not_ordered_again(self) -> None:
        """A refused order waits until the list shows the VM up."""
        lead = FakeLead(store_with(), workers(1))
        maintenance = lead.scheduler.maintenance
        lead.start_wave(('off1',), limit=1)
        lead.record_vm('off1', VmStep.ORDERED)
        maintenance.note_vms((_record('off1', VmPhase.DOWN),), 1.0)
        self.assertThat(
            maintenance.step(set(), 1.1).orders,
            matchers.HasLength(0),
        )
        maintenance.note_vms((_record('off1', VmPhase.UP),), 2.0)
        self.assertThat(
            maintenance.step(set(), 2.1).orders,
            matchers.HasLength(1),
        )

    def test_vm_of_two_waves_is_ordered_for_the_one_that_waits(self) -> None:
        """A wave that has maintained a VM does not order it again."""
        lead = FakeLead(store_with(), workers(2))
        lead.round()
        lead.start_wave(('vm0',), limit=1)
        lead.record_vm('vm0', VmStep.ORDERED, 'w0')
        lead.record_vm('vm0', VmStep.DONE)
        commit(lead.store, StartWave(2, ('vm0',), 20.0, 1))
        step = lead.scheduler.maintenance.step(set(), lead.now_s)
        self.assertThat(step.orders, matchers.Equals([(2, 'vm0', 'w0')]))

    def test_vm_of_a_silent_worker_with_tasks_waits(self) -> None:
        """A worker that this leader has not heard may still have runs."""
        store = store_with(job(serving_step(1)))
        FakeLead(store, workers(1)).round()
        lead = FakeLead(store, (), now_s=10.0)
        maintenance = lead.scheduler.maintenance
        record = VmRecord('vm0', 'desk', VmPhase.UP, 'a', 'rack', 'w0')
        maintenance.note_vms((record,), 10.1)
        lead.start_wave(('vm0',), limit=1)
        self.assertThat(
            maintenance.step(set(), 10.2).orders,
            matchers.HasLength(0),
        )

    def test_order_comes_once_a_vm_is_empty(self) -> None:
        """An idle VM is ordered and counts until it is back."""
        lead = FakeLead(store_with(), workers(3))
        lead.round()
        lead.start_wave(('vm0', 'vm1', 'vm2'), limit=1)
        step = lead.scheduler.maintenance.step(set(), lead.now_s)
        self.assertThat(step.orders, matchers.Equals([(1, 'vm0', 'w0')]))
        lead.record_vm('vm0', VmStep.ORDERED, 'w0')
        again = lead.scheduler.maintenance.step(set(), lead.now_s + 1)
        self.assertThat(again.orders, matchers.Equals([(1, 'vm0', 'w0')]))


class TestPaceOfWaves(testtools.TestCase):
    """A wave over a quarter of a fleet in which every worker is busy."""

    def setUp(self) -> None:
        """Start twenty workers with one run each."""
        super().setUp()
        work = job(step(20, cpu_millicores=16_000))
        self._lead(FakeLead(store_with(work), workers(20)))

    def test_wave_with_time_takes_few_vms_at_once(self) -> None:
        """Five VMs at 5 s each fit one by one into four fifths of 32 s."""
        self._start(due_after_s=32.0)
        self.assertThat(self._chosen(), matchers.HasLength(1))

    def test_wave_with_less_time_takes_two_at_once(self) -> None:
        """They don't all fit one by one into four fifths of 25 s."""
        self._start(due_after_s=25.0)
        self.assertThat(self._chosen(), matchers.HasLength(2))

    def test_idle_vms_are_taken_as_allowed(self) -> None:
        """Idle VMs are taken up to the limit, as nothing runs on them."""
        self.lead.cancel()
        self.lead.round()
        self.lead.round()
        self._start(due_after_s=25.0)
        self.assertThat(self._chosen(), matchers.HasLength(4))

    def test_wave_that_is_short_of_time_goes_to_its_limit(self) -> None:
        """The time of the wave is too short to go slower."""
        self._start(due_after_s=4.0)
        self.assertThat(self._chosen(), matchers.HasLength(4))

    def test_wave_that_falls_behind_takes_more(self) -> None:
        """Most of its time has passed and no VM is done."""
        self._start(due_after_s=25.0)
        self._chosen()
        self.lead.now_s += 18
        self.assertThat(self._chosen(), matchers.HasLength(4))

    def test_wave_of_a_former_leader_goes_to_its_limit(self) -> None:
        """The new leader does not know how much of its time is left."""
        self._start(due_after_s=25.0)
        before = self.lead
        after = before.now_s
        fleet = before.workers.values()
        self._lead(FakeLead(before.store, fleet, before.term + 1, after))
        self.assertThat(self._chosen(), matchers.HasLength(4))

    def _lead(self, lead: FakeLead) -> None:
        self.lead = lead
        self.lead.round()
        self.lead.round()
        self.maintenance = lead.scheduler.maintenance

    def _start(self, due_after_s: float) -> None:
        vms = [f'vm{number}' for number in range(5)]
        self.lead.start_wave(vms, limit=4, due_after_s=due_after_s)

    def _chosen(self) -> set[str]:
        found = self.maintenance.step(set(), self.lead.now_s)
        ordered = {vm for _, vm, _ in found.orders}
        return ordered | self.maintenance.cordoned
