"""Simulation of one day: callers, workers and the leader."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator

from wigeonreach.jobs import (
    AddJob,
    JobPhase,
    JobStore,
    Manifest,
    SetManifest,
    TaskKey,
)
from wigeonreach.lab._checks import check_start, check_workers
from wigeonreach.lab._demand import (
    STANDBY,
    Arrival,
    Demand,
    DemandPlan,
    queues,
    service_name,
    services,
)
from wigeonreach.lab._fleet import Fleet, FleetPlan, Vm
from wigeonreach.lab._outcome import Outcome
from wigeonreach.lab._virtual_leader import VirtualLead, commit
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.scheduling._objectives import objective_s
from wigeonreach.scheduling._vms import VmPhase, VmRecord
from wigeonreach.wire._worker_messages import WorkerOrders

_STEP_S = 0.05
# As in the core process.
_MOVE_INTERVAL_S = 0.1
_LIST_INTERVAL_S = 4.0
_CHECK_INTERVAL_S = 0.25
# Before the first job, for the leader to learn its fleet; after the last one,
# for jobs to complete.
_WARM_UP_S = 9.0
_COOL_DOWN_S = 14.0
# Relative deviation of a task's duration from the mean of its step.
_DURATION_SPREAD = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class DayPlan:
    """Parameters of one day.

    Attributes
    ----------
    faults_per_s
        Rate at which workers crash, become unreachable or slow down.
    leader_changes
        Number of leader changes, evenly spaced.
    scheduling
        Settings of the scheduler; None for those that the fleet implies.
    """

    demand: DemandPlan = DemandPlan()
    fleet: FleetPlan = FleetPlan()
    faults_per_s: float = 0.0
    leader_changes: int = 0
    scheduling: SchedulingSettings | None = None


class Day:
    """One simulated day, generated from a seed.

    Parameters
    ----------
    plan
        Parameters of the day.
    seed
        The same seed gives the same arrivals, durations and faults.
    """

    def __init__(self, plan: DayPlan, seed: int) -> None:
        """Create the fleet and draw the jobs; none is submitted yet."""
        self.outcome = Outcome()
        self.store = JobStore()
        self._plan = plan
        self._seed = seed
        self._fault_rng = random.Random(seed + 1)
        self._now_s = 0.0
        manifest = Manifest(1, queues(plan.demand), services(plan.demand))
        commit(self.store, SetManifest(manifest))
        names = tuple(map(service_name, range(plan.demand.services)))
        self.fleet = Fleet(
            plan.fleet, names, self.store, self._task_duration_s, seed
        )
        drawn = Demand(
            plan.demand, self.fleet.racks, plan.fleet.labels, seed
        ).arrivals()
        self._not_completed = {
            arrival.spec.job_id: dataclasses.replace(
                arrival, at_s=arrival.at_s + _WARM_UP_S
            )
            for arrival in drawn
        }
        self._not_submitted = list(reversed(self._not_completed.values()))
        self._all_arrivals = dict(self._not_completed)
        self._durations_s: dict[TaskKey, float] = {}
        self._leader = self._new_leader()

    def simulate(self) -> Outcome:
        """Simulate the whole day.

        Raises
        ------
        BrokenRuleError
            If an invariant is violated.
        """
        length_s = _WARM_UP_S + self._plan.demand.length_s + _COOL_DOWN_S
        for number in range(round(length_s / _STEP_S)):
            self._now_s = number * _STEP_S
            self._step(number)
        self._record_unfinished()
        return self.outcome

    def _step(self, number: int) -> None:
        self._leader.now_s = self._now_s
        self._submit()
        self._inject_faults()
        self.fleet.advance(self._now_s, _STEP_S)
        self._send_heartbeats()
        self._leader.plan()
        self._answer_heartbeats()
        if not number % round(_MOVE_INTERVAL_S / _STEP_S):
            self._move_vms()
        if not number % round(_LIST_INTERVAL_S / _STEP_S):
            self._list_vms()
        if not number % round(_CHECK_INTERVAL_S / _STEP_S):
            workers = (worker for _, worker in self.fleet.running_workers())
            check_workers(workers, self.store)
        self._measure()

    def _submit(self) -> None:
        while (
            self._not_submitted and self._not_submitted[-1].at_s <= self._now_s
        ):
            arrival = self._not_submitted.pop()
            command = AddJob(arrival.spec, arrival.queue, self._now_s * 1000)
            commit(self.store, command)

    def _inject_faults(self) -> None:
        if self._fault_rng.random() < self._plan.faults_per_s * _STEP_S:
            self._inject_fault(
                self._fault_rng.choice(list(self.fleet.vms.values()))
            )
        changes = self._plan.leader_changes
        if changes and self._leader.term <= changes:
            length_s = self._plan.demand.length_s
            due_s = _WARM_UP_S + length_s / (changes + 1) * self._leader.term
            if self._now_s >= due_s:
                self._leader = self._new_leader(self._leader.term + 1)

    def _inject_fault(self, vm: Vm) -> None:
        kind = self._fault_rng.randrange(3)
        duration_s = self._fault_rng.uniform(2, 7)
        if kind == 0:
            self.fleet.crash(vm, self._now_s, duration_s)
        elif kind == 1:
            vm.partitioned_until_s = self._now_s + duration_s
        else:
            vm.slow_until_s = self._now_s + duration_s

    def _new_leader(self, term: int = 1) -> VirtualLead:
        fleet = self._plan.fleet
        settings = self._plan.scheduling or SchedulingSettings(
            fleet.move_s, fleet.far_factor
        )
        return VirtualLead(self.store, term, self._now_s, settings)

    def _send_heartbeats(self) -> None:
        for vm, worker in self.fleet.running_workers():
            is_due = (
                vm.heartbeat_sent_s is None
                and self._now_s >= vm.next_heartbeat_s
            )
            if is_due and not vm.is_partitioned(self._now_s):
                vm.heartbeat_sent_s = self._now_s
                self._leader.take(worker.report())

    def _answer_heartbeats(self) -> None:
        known = self._leader.scheduler.workers.incarnations
        for vm, worker in self.fleet.running_workers():
            incarnation = known.get(worker.incarnation)
            if vm.heartbeat_sent_s is None or incarnation is None:
                vm.heartbeat_sent_s = None
                continue
            orders = self._leader.scheduler.answers.answer_if_due(
                incarnation,
                vm.heartbeat_sent_s,
                self._now_s,
            )
            if orders is not None and not vm.is_partitioned(self._now_s):
                self._check_orders(vm, orders)
                self.fleet.deliver_orders(vm, orders, self._now_s)

    def _check_orders(self, vm: Vm, orders: WorkerOrders) -> None:
        for start in orders.starts:
            check_start(start, self.store)
            self.outcome.starts += 1
            self.outcome.far_starts += self.fleet.is_far(start, vm)
            self.outcome.restarts += start.run > 1

    def _move_vms(self) -> None:
        scheduler = self._leader.scheduler
        for move in scheduler.plan_moves(self._now_s):
            worker = self.fleet.vms[move.vm].worker
            if worker is not None:
                scheduler.workers.note_ordered(worker.incarnation, self._now_s)
            self.fleet.move(move.vm, move.to_pool, self._now_s)
            scheduler.pools.note_moved(move, self._now_s)
            self.outcome.moves += 1

    def _list_vms(self) -> None:
        records = (self._vm_record(vm) for vm in self.fleet.vms.values())
        self._leader.scheduler.pools.note_vms(records)

    def _vm_record(self, vm: Vm) -> VmRecord:
        is_up = vm.worker is not None or (
            vm.pool == STANDBY and self._now_s >= vm.available_from_s
        )
        phase = VmPhase.UP if is_up else VmPhase.MOVING
        worker = vm.worker.name if vm.worker else ''
        labels = (vm.label, vm.rack)
        return VmRecord(vm.name, vm.pool, phase, 'a', vm.rack, worker, labels)

    def _measure(self) -> None:
        if self._now_s < _WARM_UP_S:
            return
        self.outcome.vm_s += self.fleet.vms_in_use() * _STEP_S
        demand = self._plan.demand
        self.outcome.required_s += (
            demand.serving_tasks * demand.services * _STEP_S
        )
        serving = sum(
            self.store.is_serving(key)
            for _, worker in self.fleet.running_workers()
            for key, _ in worker.running
        )
        self.outcome.served_s += serving * _STEP_S
        for arrival in self._pop_completed():
            job_objective_s = objective_s(self.store.jobs[arrival.spec.job_id])
            took_s = self._now_s - arrival.at_s
            ratios = self.outcome.ratios[arrival.kind]
            ratios.append(took_s / job_objective_s)

    def _pop_completed(self) -> Iterator[Arrival]:
        """Remove and yield the jobs that completed since the last step."""
        for job_id, arrival in list(self._not_completed.items()):
            job = self.store.jobs.get(job_id)
            if job is not None and job.phase is JobPhase.COMPLETED:
                self._not_completed.pop(job_id)
                self._add_needed_time(arrival)
                yield arrival

    def _add_needed_time(self, arrival: Arrival) -> None:
        millicores = self._plan.fleet.millicores
        for step, duration_s in zip(
            arrival.spec.steps, arrival.durations_s, strict=True
        ):
            share = step.cpu_millicores / millicores
            self.outcome.needed_vm_s += share * step.count * duration_s

    def _record_unfinished(self) -> None:
        for arrival in self._not_completed.values():
            if arrival.kind != 'serving':
                self.outcome.ratios[arrival.kind].append(float('inf'))

    def _task_duration_s(self, key: TaskKey) -> float:
        """Return the duration of a task, equal in each of its runs."""
        duration_s = self._durations_s.get(key)
        if duration_s is None:
            rng = random.Random(f'{self._seed}{key}')
            factor = rng.uniform(1 - _DURATION_SPREAD, 1 + _DURATION_SPREAD)
            duration_s = (
                self._all_arrivals[key.job_id].durations_s[key.step] * factor
            )
            self._durations_s[key] = duration_s
        return duration_s
