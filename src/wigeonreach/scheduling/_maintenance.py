"""Decide which VMs of the waves are emptied and maintained next.

Answers waves that fall into the busiest seconds: VMs with nothing on them are
taken first, as many as the wave allows; of the others only so many at once as
the time that the wave has asks for; batch work ends by itself where it can, serving tasks leave one by one,
and a VM is taken once nothing is on it.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run, VmStep, WaveRecord
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._moving_out import MovingOut, is_empty
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.scheduling._workers import Workers
from wigeonreach.wire._worker_messages import worker_id_of

# Batch tasks last about a second; what still runs after this is stopped, as
# it holds one of the few places of the wave.
_WAIT_FOR_BATCH_S = 3.0
# From when a VM is chosen until it counts as back: emptying, 2 s of maintenance,
# and up to a second until its worker goes on or the list tells.  With 4 s, waves
# ended a tenth or two of their time late.
_VM_TAKES_S = 5.0
# An idle worker's second heartbeat comes within three quarters of a second.
_GOES_ON_S = 0.5
# Of the time that a wave has; the rest covers faults and changes of leader.
_PLANNED_RATIO = 0.8
# Of a pool's workers, so many may be emptied for waves at once.
_MOST_OF_POOL_RATIO = 0.25


@dataclasses.dataclass(slots=True)
class MaintenanceStep:
    """What the maintenance of the waves needs now.

    Attributes
    ----------
    stops
        Runs that have to leave their workers.
    orders
        VMs that are empty, with their wave and the worker that ends.
    returned
        VMs that are back, with their wave.
    """

    stops: list[Run] = dataclasses.field(default_factory=list)
    orders: list[tuple[int, str, str]] = dataclasses.field(
        default_factory=list,
    )
    returned: list[tuple[int, str]] = dataclasses.field(default_factory=list)


class Maintenance:
    """Follow the waves, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations of the workers.
    moving_out
        Which serving tasks may leave.
    maintained_s
        How long a VM is away for its maintenance.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        moving_out: MovingOut,
        maintained_s: float,
    ) -> None:
        """Empty nothing yet."""
        self._maintained_s = maintained_s
        self._busy: frozenset[str] | None = None
        self._store = store
        self._workers = workers
        self._moving_out = moving_out
        self._vms: dict[str, VmRecord] = {}
        # Since when, by wave and VM; until the order is recorded.
        self._emptied_since_s: dict[tuple[int, str], float] = {}
        self._confirmed_s: dict[tuple[int, str], float] = {}
        self._listed_s = float('-inf')
        # How much time is left is known only for waves that came in this term.
        self._inherited = frozenset(store.waves)
        self._began_s: dict[int, float] = {}

    @property
    def cordoned(self) -> set[str]:
        """VMs that get nothing new."""
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
        """Whether a wave is under way."""
        return any(not wave.is_done for wave in self._store.waves.values())

    @property
    def needs_list(self) -> bool:
        """Whether there are VMs of which no heartbeat tells enough."""
        return any(
            progress.step is VmStep.ORDERED or self._workers.of_vm(vm) is None
            for wave in self._store.waves.values()
            for vm, progress in wave.vms.items()
            if progress.step in {VmStep.WAITING, VmStep.ORDERED}
        )

    def note_vms(self, vms: tuple[VmRecord, ...], asked_s: float) -> None:
        """Take the platform's list of VMs, which was asked for then."""
        self._vms = {record.vm: record for record in vms}
        self._listed_s = asked_s

    def note_confirmed(self, wave: int, vm: str, now_s: float) -> None:
        """Take note that the platform carried an order out."""
        self._confirmed_s[wave, vm] = now_s

    def step(
        self,
        stopping: Collection[Run],
        now_s: float,
        held: Collection[str] = (),
    ) -> MaintenanceStep:
        """Return what is to be done now.

        Parameters
        ----------
        stopping
            What is being stopped already.
        now_s
            Clock in seconds.
        held
            VMs that may not be ordered yet; others of their wave go first.
        """
        self._busy = None
        self._choose(held, now_s)
        found = MaintenanceStep()
        for wave in self._store.waves.values():
            for vm, progress in wave.vms.items():
                if progress.step is VmStep.WAITING:
                    self._empty(wave, vm, stopping, now_s, found)
                    continue
                # Nothing was to be started there until this was recorded.
                self._emptied_since_s.pop((wave.wave, vm), None)
                if progress.step is VmStep.ORDERED:
                    self._follow(wave, vm, found)
        return found

    def _follow(
        self,
        wave: WaveRecord,
        vm: str,
        found: MaintenanceStep,
    ) -> None:
        if self._is_back(wave, vm):
            found.returned.append((wave.wave, vm))
        elif (wave.wave, vm) not in self._confirmed_s and self._is_up(vm):
            found.orders.append((wave.wave, vm, wave.vms[vm].worker))

    def _empty(
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
        leaving = {*stopping, *found.stops}
        found.stops.extend(
            self._moving_out.movable_now(incarnation, leaving, now_s),
        )
        if now_s - since_s > _WAIT_FOR_BATCH_S:
            found.stops.extend(self._batch_runs(incarnation))

    def _choose(self, held: Collection[str], now_s: float) -> None:
        """Begin to empty idle VMs as allowed, others as they have to be."""
        for wave in self._store.waves.values():
            for vm in self._candidates(wave, held, now_s):
                if not self._has_turn(wave, vm, now_s):
                    break
                if self._may_empty(vm):
                    self._emptied_since_s[wave.wave, vm] = now_s

    def _has_turn(self, wave: WaveRecord, vm: str, now_s: float) -> bool:
        emptying = [key for key in self._emptied_since_s if key[0] == wave.wave]
        at_once = wave.limit
        if self._load(vm):
            at_once = min(at_once, self._needed_at_once(wave, now_s))
        return wave.ordered + len(emptying) < at_once

    def _needed_at_once(self, wave: WaveRecord, now_s: float) -> int:
        """Return how many VMs at a time end a wave within its time."""
        if wave.wave in self._inherited:
            return wave.limit
        began_s = self._began_s.setdefault(wave.wave, now_s)
        left_s = wave.due_after_s * _PLANNED_RATIO - (now_s - began_s)
        if left_s <= _VM_TAKES_S:
            return wave.limit
        return math.ceil(wave.left * _VM_TAKES_S / left_s)

    def _candidates(
        self,
        wave: WaveRecord,
        held: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Return the VMs that wait, those with the least on them in front."""
        in_hand = self.cordoned.union(held)
        waiting = [
            vm
            for vm, progress in wave.vms.items()
            if progress.step is VmStep.WAITING
            and vm not in in_hand
            and self._may_be_ordered(vm, now_s)
        ]
        waiting.sort(key=lambda vm: (self._load(vm), vm))
        return waiting

    def _may_be_ordered(self, vm: str, now_s: float) -> bool:
        incarnation = self._workers.of_vm(vm)
        if incarnation is not None:
            return not incarnation.report.is_draining
        record = self._vms.get(vm)
        if record is not None:
            return record.phase is VmPhase.UP
        # Who is neither heard nor listed may be gone for good, which only the
        # platform's answer to an order tells; a wave would wait for it for ever.
        is_listed = self._listed_s > float('-inf')
        return is_listed and self._workers.knows_all(now_s)

    def _is_up(self, vm: str) -> bool:
        record = self._vms.get(vm)
        return record is None or record.phase is VmPhase.UP

    def _load(self, vm: str) -> int:
        incarnation = self._workers.of_vm(vm)
        if incarnation is None:
            return 0
        return len(self._store.held_by(incarnation.report.worker))

    def _may_empty(self, vm: str) -> bool:
        incarnation = self._workers.of_vm(vm)
        if incarnation is None:
            return True
        pool = [
            other.report.vm
            for other in self._workers.incarnations.values()
            if other.report.service == incarnation.report.service
        ]
        emptying = self._emptying
        away = sum(other in emptying for other in pool)
        return away < max(1, round(len(pool) * _MOST_OF_POOL_RATIO))

    def _has_unheard_work(self, vm: str) -> bool:
        """Whether a worker that was not heard in this term has tasks."""
        record = self._vms.get(vm)
        return record is not None and record.worker in self._busy_ids()

    def _busy_ids(self) -> frozenset[str]:
        """Return the ids of workers with tasks, found once for a whole step.

        The list names an id, and runs are recorded for one life of it.
        """
        if self._busy is None:
            self._busy = frozenset(map(worker_id_of, self._store.assigned))
        return self._busy

    def _batch_runs(self, incarnation: Incarnation) -> list[Run]:
        held = self._store.held_by(incarnation.report.worker)
        return [run for run in held.items() if self._store.is_batch(run[0])]

    def _is_back(self, wave: WaveRecord, vm: str) -> bool:
        """Whether a VM runs again, by a new incarnation or by the list.

        A worker that crashes has a new incarnation too, so nothing counts that
        came before the platform confirmed the order; and the heartbeat of one
        that the order ended may come late, so it has to go on.
        """
        confirmed_s = self._confirmed_s.get((wave.wave, vm), float('inf'))
        incarnation = self._workers.of_vm(vm)
        if incarnation is not None and incarnation.first_heard_s > confirmed_s:
            heard_for_s = incarnation.heard_s - incarnation.first_heard_s
            return heard_for_s >= _GOES_ON_S
        if self._listed_s <= confirmed_s:
            # A list from before the order tells nothing.
            return False
        record = self._vms.get(vm)
        if record is None or record.phase is not VmPhase.UP:
            return False
        if record.worker != worker_id_of(wave.vms[vm].worker):
            return True
        # No worker at all, or one that may have started again under its id.
        is_over = self._listed_s - confirmed_s >= self._maintained_s
        return is_over or not record.worker
