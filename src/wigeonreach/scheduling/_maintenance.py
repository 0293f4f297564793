"""Decide which VMs of the maintenance waves are emptied and ordered next.

A wave may come at peak load.  Idle VMs are therefore taken first, as many as
the wave allows, and of the busy ones only as many at once as the wave needs to
end in time.  Batch runs may finish if they are short, serving runs are stopped
one by one, and a VM is ordered once it is empty.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run, VmStep, WaveRecord
from wigeonreach.scheduling._disruption_budget import DisruptionBudget, is_empty
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling._workers import Workers
from wigeonreach.wire._worker_messages import worker_id_of

# Batch tasks last about a second.  A batch run that goes on for longer than
# this after emptying began is stopped, as its VM takes up one of the few that
# the wave may have down at once.
_BATCH_GRACE_S = 3.0
# Time from the choice of a VM until it counts as back: emptying, 2 s of
# maintenance, and up to a second until its worker or the list shows it.  With
# 4 s, waves ended late by a tenth or two of their time.
_VM_TURNAROUND_S = 5.0
# A worker is up if its heartbeats span this time.  The second heartbeat of an
# idle worker comes within three quarters of a second.
_PROVEN_UP_S = 0.5
# Share of a wave's time that is planned; the rest covers faults and changes of
# leader.
_PLANNED_RATIO = 0.8
# Greatest share of a pool's workers to be emptied for waves at once.
_MAX_POOL_RATIO = 0.25


@dataclasses.dataclass(slots=True)
class MaintenanceStep:
    """The actions that the waves need now.

    Attributes
    ----------
    stops
        Runs to be stopped.
    orders
        VMs to be ordered: the wave, the VM and the worker that the order ends.
    returned
        VMs that are back from maintenance: the wave and the VM.
    """

    stops: list[Run] = dataclasses.field(default_factory=list)
    orders: list[tuple[int, str, str]] = dataclasses.field(
        default_factory=list,
    )
    returned: list[tuple[int, str]] = dataclasses.field(default_factory=list)


class Maintenance:
    """Carries out the maintenance waves, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    disruption_budget
        Decides which serving runs may be stopped.
    maintenance_s
        How long a VM is unavailable during its maintenance.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        disruption_budget: DisruptionBudget,
        maintenance_s: float,
    ) -> None:
        """Start with no VM being emptied."""
        self._maintenance_s = maintenance_s
        self._busy_ids_cache: frozenset[str] | None = None
        self._store = store
        self._workers = workers
        self._disruption_budget = disruption_budget
        self._vms: dict[str, VmRecord] = {}
        # By wave and VM: when emptying began; kept until the order is recorded.
        self._emptied_since_s: dict[tuple[int, str], float] = {}
        self._confirmed_s: dict[tuple[int, str], float] = {}
        self._listed_s = float('-inf')
        # The time left is known only for waves that began in this term.
        self._inherited_waves = frozenset(store.waves)
        self._began_s: dict[int, float] = {}

    @property
    def cordoned(self) -> set[str]:
        """VMs that get no new work."""
        ordered = {
            vm
            for wave in self._store.waves.values()
            for vm, progress in wave.vms.items()
            if progress.step is VmStep.ORDERED
        }
        return ordered | self._emptying

    @property
    def _emptying(self) -> set[str]:
        return {vm for _, vm in self._emptied_since_s}

    @property
    def is_active(self) -> bool:
        """Whether a wave is in progress."""
        return any(not wave.is_done for wave in self._store.waves.values())

    @property
    def needs_list(self) -> bool:
        """Whether there are VMs whose state no heartbeat shows."""
        return any(
            progress.step is VmStep.ORDERED or self._workers.of_vm(vm) is None
            for wave in self._store.waves.values()
            for vm, progress in wave.vms.items()
            if progress.step in {VmStep.WAITING, VmStep.ORDERED}
        )

    def note_vms(self, vms: tuple[VmRecord, ...], asked_s: float) -> None:
        """Store the platform's list of VMs, requested at ``asked_s``."""
        self._vms = {record.vm: record for record in vms}
        self._listed_s = asked_s

    def note_confirmed(self, wave: int, vm: str, now_s: float) -> None:
        """Record that the platform carried out an order."""
        self._confirmed_s[wave, vm] = now_s

    def step(
        self,
        stopping: Collection[Run],
        now_s: float,
        held: Collection[str] = (),
    ) -> MaintenanceStep:
        """Return the actions that are due now.

        Parameters
        ----------
        stopping
            Runs that are being stopped already.
        now_s
            Clock in seconds.
        held
            VMs that may not be ordered yet; others of their wave go first.
        """
        self._busy_ids_cache = None
        self._start_emptying(held, now_s)
        found = MaintenanceStep()
        for wave in self._store.waves.values():
            for vm, progress in wave.vms.items():
                if progress.step is VmStep.WAITING:
                    self._continue_emptying(wave, vm, stopping, now_s, found)
                    continue
                # The VM was cordoned until its order was recorded.
                self._emptied_since_s.pop((wave.wave, vm), None)
                if progress.step is VmStep.ORDERED:
                    self._follow_order(wave, vm, found)
        return found

    def _follow_order(
        self,
        wave: WaveRecord,
        vm: str,
        found: MaintenanceStep,
    ) -> None:
        if self._is_back(wave, vm):
            found.returned.append((wave.wave, vm))
        elif (wave.wave, vm) not in self._confirmed_s and self._is_up(vm):
            found.orders.append((wave.wave, vm, wave.vms[vm].worker))

    def _continue_emptying(
        self,
        wave: WaveRecord,
        vm: str,
        stopping: Collection[Run],
        now_s: float,
        found: MaintenanceStep,
    ) -> None:
        since_s = self._emptied_since_s.get((wave.wave, vm))
        if since_s is None:
            return
        incarnation = self._workers.of_vm(vm)
        if incarnation is None and self._has_unheard_work(vm):
            return
        if incarnation is None or is_empty(incarnation, self._store):
            worker = incarnation.report.worker if incarnation else ''
            found.orders.append((wave.wave, vm, worker))
            return
        being_stopped = {*stopping, *found.stops}
        found.stops.extend(
            self._disruption_budget.stoppable_now(
                incarnation, being_stopped, now_s
            ),
        )
        if now_s - since_s > _BATCH_GRACE_S:
            found.stops.extend(self._batch_runs(incarnation))

    def _start_emptying(self, held: Collection[str], now_s: float) -> None:
        """Start emptying idle VMs up to the limit, busy ones to end in time."""
        for wave in self._store.waves.values():
            for vm in self._candidates(wave, held, now_s):
                if not self._is_within_limit(wave, vm, now_s):
                    break
                if self._is_within_pool_share(vm):
                    self._emptied_since_s[wave.wave, vm] = now_s

    def _is_within_limit(self, wave: WaveRecord, vm: str, now_s: float) -> bool:
        emptying = [key for key in self._emptied_since_s if key[0] == wave.wave]
        at_once = wave.limit
        if self._run_count(vm):
            at_once = min(at_once, self._required_concurrency(wave, now_s))
        return wave.ordered_count + len(emptying) < at_once

    def _required_concurrency(self, wave: WaveRecord, now_s: float) -> int:
        """Return how many VMs at once are needed to end a wave in time."""
        if wave.wave in self._inherited_waves:
            return wave.limit
        began_s = self._began_s.setdefault(wave.wave, now_s)
        left_s = wave.due_after_s * _PLANNED_RATIO - (now_s - began_s)
        if left_s <= _VM_TURNAROUND_S:
            return wave.limit
        return math.ceil(wave.remaining_count * _VM_TURNAROUND_S / left_s)

    def _candidates(
        self,
        wave: WaveRecord,
        held: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Return the waiting VMs that may be ordered, fewest runs first."""
        excluded = self.cordoned.union(held)
        waiting = [
            vm
            for vm, progress in wave.vms.items()
            if progress.step is VmStep.WAITING
            and vm not in excluded
            and self._may_be_ordered(vm, now_s)
        ]
        waiting.sort(key=lambda vm: (self._run_count(vm), vm))
        return waiting

    def _may_be_ordered(self, vm: str, now_s: float) -> bool:
        incarnation = self._workers.of_vm(vm)
        if incarnation is not None:
            return not incarnation.report.is_draining
        record = self._vms.get(vm)
        if record is not None:
            return record.phase is VmPhase.UP
        # A VM that is neither heard nor listed may be gone for good.  Only the
        # platform's answer to an order shows that; without one the wave would
        # never end.
        is_listed = self._listed_s > float('-inf')
        return is_listed and self._workers.has_heard_all(now_s)

    def _is_up(self, vm: str) -> bool:
        record = self._vms.get(vm)
        return record is None or record.phase is VmPhase.UP

    def _run_count(self, vm: str) -> int:
        incarnation = self._workers.of_vm(vm)
        if incarnation is None:
            return 0
        return len(self._store.runs_of(incarnation.report.worker))

    def _is_within_pool_share(self, vm: str) -> bool:
        incarnation = self._workers.of_vm(vm)
        if incarnation is None:
            return True
        pool = [
            other.report.vm
            for other in self._workers.incarnations.values()
            if other.report.service == incarnation.report.service
        ]
        emptying = self._emptying
        unavailable = sum(other in emptying for other in pool)
        return unavailable < max(1, round(len(pool) * _MAX_POOL_RATIO))

    def _has_unheard_work(self, vm: str) -> bool:
        """Whether a VM's worker, not heard in this term, has assigned runs."""
        record = self._vms.get(vm)
        return record is not None and record.worker in self._busy_ids()

    def _busy_ids(self) -> frozenset[str]:
        """Return the ids of workers with assigned runs, computed once a step.

        The platform's list gives the worker's id, while runs are recorded for
        one incarnation of it.
        """
        if self._busy_ids_cache is None:
            self._busy_ids_cache = frozenset(
                map(worker_id_of, self._store.assigned_runs)
            )
        return self._busy_ids_cache

    def _batch_runs(self, incarnation: Incarnation) -> list[Run]:
        held = self._store.runs_of(incarnation.report.worker)
        return [run for run in held.items() if self._store.is_batch(run[0])]

    def _is_back(self, wave: WaveRecord, vm: str) -> bool:
        """Whether a VM is up again, by a new incarnation or by the list.

        A crash leads to a new incarnation too, so only one that is first heard
        after the platform confirmed the order counts.  A late heartbeat may
        come from the worker that the order ended, so the incarnation must be
        heard for a while.
        """
        confirmed_s = self._confirmed_s.get((wave.wave, vm), float('inf'))
        incarnation = self._workers.of_vm(vm)
        if incarnation is not None and incarnation.first_heard_s > confirmed_s:
            heard_for_s = incarnation.heard_s - incarnation.first_heard_s
            return heard_for_s >= _PROVEN_UP_S
        if self._listed_s <= confirmed_s:
            # A list from before the order does not show its effect.
            return False
        record = self._vms.get(vm)
        if record is None or record.phase is not VmPhase.UP:
            return False
        if record.worker != worker_id_of(wave.vms[vm].worker):
            return True
        # There is no worker, or one that may have restarted under the same id.
        is_maintenance_over = (
            self._listed_s - confirmed_s >= self._maintenance_s
        )
        return is_maintenance_over or not record.worker
