"""Check by simulation that own actions violate no availability budget."""

from __future__ import annotations

import dataclasses
import random

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools.matchers import Equals

from bench import fleet_driver
from bench.fleet_check import Report, check_trace
from bench.fleet_driver import Driver, Policy
from bench.fleet_events import LISTS, Event, Kind
from bench.fleet_layout import USERS, User
from bench.fleet_runs import CHOSEN, run_list
from bench.fleet_zones import ZonesRun, guard_violations
from wigeonreach.fleet import BufferWay, Inventory, Vm, VmState

_END_S = 6 * 3600.0


class FailedVmsServingInventory(Inventory):
    """Injected fault: counts failed VMs as serving."""

    def put(self, vm: Vm) -> None:
        """Store a failed VM as serving."""
        if vm.state is VmState.DOWN:
            vm = dataclasses.replace(vm, state=VmState.SERVING)
        super().put(vm)


class MaintainedVmsServingInventory(Inventory):
    """Injected fault: counts VMs under maintenance as serving."""

    def put(self, vm: Vm) -> None:
        """Store a VM under maintenance as serving."""
        if vm.is_maintained:
            vm = dataclasses.replace(vm, state=VmState.SERVING)
        super().put(vm)


class TestBudgets(testtools.TestCase):
    """Availability budgets during failures and maintenance waves."""

    def test_lists(self) -> None:
        """No stored event list makes own actions violate a budget."""
        for user in USERS:
            for way in (CHOSEN[user.name], BufferWay.SHARED):
                for events in LISTS:
                    report = run_list(user, way, events).report
                    self.assertThat(
                        report.violations,
                        Equals([]),
                        f'{user.name} {way} {events}',
                    )

    @seed(11)
    @settings(max_examples=40, deadline=None, database=None)
    @given(st.integers(min_value=0, max_value=10**6))
    def test_random_failures(self, case: int) -> None:
        """No run of random failures during a wave breaks a budget."""
        self.assertThat(_random_run(case).violations, Equals([]))

    def test_planted_faults(self) -> None:
        """The check detects planners that ignore VMs already down."""
        for planted in (
            FailedVmsServingInventory,
            MaintainedVmsServingInventory,
        ):
            self.patch(fleet_driver, 'Inventory', planted)
            found = [
                fault
                for case in range(12)
                for fault in _random_run(case).violations
            ]
            self.assertNotEqual([], found, planted.__name__)

    def test_cut_off_zone(self) -> None:
        """Zones that plan independently keep the global budgets."""
        for user in USERS:
            vms = user.vms(user.size(BufferWay.PER_POOL))
            for cut_s in range(300, 4000, 700):
                zones = ZonesRun(user, vms, has_parts=True, counts_lost=False)
                zones.run('b', cut_s, cut_s + 1800)
                reboots = [
                    operation
                    for operation in zones.operations
                    if operation.endswith('reboot')
                ]
                self.assertThat(
                    guard_violations(user, vms, zones.trace),
                    Equals([]),
                )
                self.assertThat(len(reboots), Equals(len(vms)))


def _random_run(case: int) -> Report:
    """Simulate a wave with random losses of VMs, racks and zones."""
    rng = random.Random(case)  # noqa: S311 - seeded test data
    user = rng.choice(USERS)
    way = rng.choice(tuple(BufferWay))
    driver = Driver(user, user.vms(user.size(way)), Policy(), seed=case)
    run = driver.run(_random_events(user, rng), _END_S)
    return check_trace(driver.text, run.initial, run.trace, _END_S)


def _random_events(user: User, rng: random.Random) -> list[Event]:
    events = [Event(60, Kind.START)]
    pairs = (
        (Kind.VM_LOST, Kind.VM_BACK, 40),
        (Kind.VM_LOST, Kind.VM_BACK, 40),
        (Kind.RACK_LOST, Kind.RACK_BACK, 12),
        (Kind.ZONE_LOST, Kind.ZONE_BACK, user.shape.zones),
    )
    for _ in range(rng.randrange(1, 12)):
        lost, back, count = rng.choice(pairs)
        at_s = rng.uniform(0, _END_S)
        subject = rng.randrange(count)
        events.append(Event(at_s, lost, subject))
        events.append(Event(at_s + rng.uniform(60, 9000), back, subject))
    return sorted(events, key=lambda event: event.at_s)
