"""Test that VMs move between pools with the demand.

For some seconds a queue asks for several times what its pool can run, and for
next to nothing in between.  VMs in the standby pool cost nothing.
"""

from __future__ import annotations

import msgspec
import testtools
from testtools import matchers

from tests.builders_jobs import (
    OTHER_JOB,
    QUEUE,
    SERVICE,
    FakeLead,
    job,
    queue,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    AddJob,
    JobStore,
    Manifest,
    ServiceSpec,
    SetManifest,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling.pooling._pool_vms import Move

_STANDBY = 'standby'
_OTHER = 'other'


def _with_standby(store: JobStore) -> JobStore:
    known = store.manifest
    services = (ServiceSpec(SERVICE), ServiceSpec(_STANDBY, is_standby=True))
    commit(store, SetManifest(Manifest(2, known.queues, services)))
    return store


def _standby_vms(*vms: str) -> list[VmRecord]:
    return [VmRecord(vm, _STANDBY, VmPhase.UP, 'a', 'rack', '') for vm in vms]


class TestPools(testtools.TestCase):
    """Moves between one busy pool and the standby pool."""

    def test_peak_takes_standby_vms(self) -> None:
        """VMs are moved at once if the pool can't finish its work in time."""
        peak = [
            job(step(20, estimate_ms=1500), job_id=f'{number:016x}')
            for number in range(1, 13)
        ]
        lead = FakeLead(_with_standby(store_with(*peak)), workers(4))
        lead.scheduler.pools.note_vms(_standby_vms('off1', 'off2'))
        lead.round()
        moves = lead.scheduler.plan_moves(lead.now_s)
        self.assertThat(
            moves,
            matchers.Equals(
                [
                    Move('off1', _STANDBY, SERVICE),
                    Move('off2', _STANDBY, SERVICE),
                ],
            ),
        )

    def test_empty_pool_gets_vms(self) -> None:
        """A pool that lost its last worker still gets VMs."""
        serving = job(serving_step(3))
        lead = FakeLead(_with_standby(store_with(serving)), workers(1))
        lead.scheduler.pools.note_vms(
            _standby_vms('off1', 'off2', 'off3', 'off4')
        )
        lead.round()
        lead.workers.clear()
        lead.now_s += 60
        lead.round()
        moves = lead.scheduler.plan_moves(lead.now_s)
        self.assertThat(
            [move.to_pool for move in moves],
            matchers.Equals([SERVICE, SERVICE, SERVICE]),
        )

    def test_unplaced_serving_task_gets_a_vm(self) -> None:
        """The pool has enough workers for the spread, but all are full."""
        serving = job(
            serving_step(4, cpu_millicores=16_000, spread_limit=0),
        )
        lead = FakeLead(_with_standby(store_with(serving)), workers(4))
        lead.scheduler.pools.note_vms(_standby_vms('off1', 'off2', 'off3'))
        lead.round()
        lead.workers.pop('w0')
        for _ in range(60):
            lead.round()
        moves: list[Move] = []
        for _ in range(5):
            lead.round()
            found = lead.scheduler.plan_moves(lead.now_s)
            for move in found:
                lead.scheduler.pools.note_moved(move, lead.now_s)
            moves.extend(found)
        self.assertThat(
            moves,
            matchers.Equals([Move('off1', _STANDBY, SERVICE)]),
        )

    def test_vm_in_unreachable_zone_is_taken_last(self) -> None:
        """No worker in its zone sends heartbeats, so it would not join."""
        peak = [
            job(step(20, estimate_ms=1500), job_id=f'{number:016x}')
            for number in range(1, 12)
        ]
        lead = FakeLead(_with_standby(store_with(*peak)), workers(4))
        unreachable = (
            VmRecord(f'behind{number}', _STANDBY, VmPhase.UP, 'b', 'rack', '')
            for number in range(3)
        )
        lead.scheduler.pools.note_vms(
            (*unreachable, *_standby_vms('off1', 'off2'))
        )
        lead.round()
        moves = lead.scheduler.plan_moves(lead.now_s)
        self.assertThat(
            [move.vm for move in moves],
            matchers.Equals(['off1', 'off2', 'behind0']),
        )

    def test_pool_gives_only_its_surplus(self) -> None:
        """Giving more at once would only cause moves back."""
        whole_vm = step(8, cpu_millicores=16_000, estimate_ms=1000)
        # The job waits for a label, so its pool needs three VMs and uses none.
        waiting = msgspec.structs.replace(whole_vm, label='nowhere')
        store = store_with()
        services = (ServiceSpec(SERVICE), ServiceSpec(_OTHER))
        queues = (queue(), queue(_OTHER, service=_OTHER))
        commit(store, SetManifest(Manifest(2, queues, services)))
        commit(store, AddJob(job(waiting), QUEUE))
        peak = msgspec.structs.replace(whole_vm, count=64)
        commit(store, AddJob(job(peak, job_id=OTHER_JOB), _OTHER))
        lead = FakeLead(store, workers(6))
        lead.round()
        moves = lead.scheduler.plan_moves(lead.now_s)
        self.assertThat(
            [move.to_pool for move in moves],
            matchers.Equals([_OTHER, _OTHER, _OTHER]),
        )

    def test_idle_vms_return_to_standby(self) -> None:
        """Once demand is known, only workers with serving tasks stay."""
        store = _with_standby(store_with(job(serving_step(2))))
        lead = FakeLead(store, workers(6))
        moves: list[Move] = []
        for _ in range(100):
            lead.round()
            moves = lead.scheduler.plan_moves(lead.now_s) or moves
        self.assertThat(
            {move.to_pool for move in moves}, matchers.Equals({_STANDBY})
        )
        self.assertThat(moves, matchers.HasLength(4))

    def test_worker_with_serving_tasks_stays(self) -> None:
        """A VM that runs a serving task is never moved."""
        store = _with_standby(store_with(job(serving_step(4))))
        lead = FakeLead(store, workers(4))
        for _ in range(100):
            lead.round()
            self.assertThat(
                lead.scheduler.plan_moves(lead.now_s),
                matchers.HasLength(0),
            )

    def test_returned_vm_is_available_again(self) -> None:
        """It can be moved again before the platform lists it anew."""
        store = _with_standby(store_with(job(serving_step(3))))
        lead = FakeLead(store, ())
        pools = lead.scheduler.pools
        pools.note_moved(Move('vm0', SERVICE, _STANDBY), lead.now_s)
        self.assertThat(
            lead.scheduler.plan_moves(lead.now_s + 1.0),
            matchers.HasLength(0),
        )
        self.assertThat(
            lead.scheduler.plan_moves(lead.now_s + 2.0),
            matchers.Equals([Move('vm0', _STANDBY, SERVICE)]),
        )

    def test_vm_of_a_maintenance_wave_stays(self) -> None:
        """A VM that a maintenance wave uses is not moved."""
        store = _with_standby(store_with())
        lead = FakeLead(store, workers(4))
        lead.round()
        lead.start_wave([f'vm{number}' for number in range(4)], limit=4)
        lead.scheduler.maintenance.step(set(), lead.now_s)
        taken = lead.scheduler.maintenance.cordoned
        moved: set[str] = set()
        for _ in range(30):
            lead.round()
            moves = lead.scheduler.plan_moves(lead.now_s)
            moved.update(move.vm for move in moves)
        self.assertThat(moved & taken, matchers.HasLength(0))

    def test_no_vm_moves_without_standby_pool(self) -> None:
        """Idle VMs stay where no other pool is cheaper."""
        lead = FakeLead(store_with(), workers(4))
        for _ in range(30):
            lead.round()
            self.assertThat(
                lead.scheduler.plan_moves(lead.now_s),
                matchers.HasLength(0),
            )
