"""Test that drains never violate a budget, whatever else fails."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable, Iterator

import testtools
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from testtools.matchers import Equals, Is

from tests.builders_fleet import (
    FLEET_TEXT,
    build_fleet_text,
    build_inventory,
    build_vm,
)
from wigeonreach.fleet import (
    Budgets,
    Inventory,
    Refusal,
    Vm,
    VmState,
    find_shortfalls,
    spare_slots,
)
from wigeonreach.text import FailureDomain, FleetText

_EXPECTED_S = 600.0
_DAY_S = 86_400.0
_TWO_POOLS = """
[fleet]
name = "two"
guard = ["{guard}"]
[pools.desk]
vms = ["vm-0"]
[pools.hold]
vms = ["vm-1"]
[services.desk]
pool = "desk"
promised_slots = {desk}
[services.desk.budget]
missing_ratio = {ratio}
[services.hold]
pool = "hold"
promised_slots = {hold}
depends_on = ["desk"]
"""

Factory = Callable[[FleetText, Inventory], Budgets]


class ForgetsDownInventory(Inventory):
    """Injected fault: counts failed VMs as serving."""

    def put(self, vm: Vm) -> None:
        """Add a failed VM as a serving one."""
        if vm.state is VmState.DOWN:
            super().put(dataclasses.replace(vm, state=VmState.SERVING))
        else:
            super().put(vm)


class ForgetsDomainInventory(Inventory):
    """Injected fault: treats every VM as a zone of its own."""

    def put(self, vm: Vm) -> None:
        """Add the VM in a zone that no other VM shares."""
        super().put(dataclasses.replace(vm, zone=vm.name))


class TestBudgets(testtools.TestCase):
    """Decisions on taking one more VM down."""

    @seed(5)
    @settings(max_examples=150, deadline=None, database=None)
    @given(st.integers(min_value=0, max_value=10**6))
    def test_drains_never_violate(self, case: int) -> None:
        """No allowed drain violates a budget when a guarded domain is lost."""
        self.assertThat(list(_violations(case, Inventory)), Equals([]))

    def test_detects_injected_faults(self) -> None:
        """The check detects inventories that ignore failures or domains."""
        for faulty in (ForgetsDownInventory, ForgetsDomainInventory):
            found = [
                fault
                for case in range(60)
                for fault in _violations(case, faulty)
            ]
            self.assertNotEqual([], found, faulty.__name__)

    def test_watched(self) -> None:
        """A VM of a watched service is never taken down."""
        watched = FLEET_TEXT.replace('= 40', '= 0\nmode = "watched"')
        inventory = Inventory((build_vm(),))
        budgets = Budgets(build_fleet_text(watched), inventory)

        decision = budgets.check_drain(build_vm(), 0, _EXPECTED_S)

        self.assertThat(decision.refusal, Is(Refusal.WATCHED))

    def test_time_is_spent_once(self) -> None:
        """Budget time that an outage has used can't be used again."""
        source = FLEET_TEXT.replace('"zone"', '').replace('= 40', '= 48')
        text = build_fleet_text(source)
        inventory = build_inventory(text)
        budgets = Budgets(text, inventory)
        vm = build_vm()
        self.assertThat(
            budgets.check_drain(vm, 0, 3600).is_allowed, Equals(True)
        )

        inventory.put(dataclasses.replace(vm, state=VmState.DOWN))
        budgets.observe('desk', 0)
        inventory.put(vm)
        budgets.observe('desk', 3000)

        decision = budgets.check_drain(vm, 4000, 3600)
        self.assertThat(decision.refusal, Is(Refusal.TIME))
        self.assertThat(decision.have, Equals(600))
        later = budgets.check_drain(vm, 4000 + _DAY_S, 3600)
        self.assertThat(later.is_allowed, Equals(True))

    def test_new_text(self) -> None:
        """Services keep the budget time already used under a new text."""
        text = build_fleet_text()
        inventory = Inventory()
        budgets = Budgets(text, inventory)
        budgets.observe('desk', 0)

        budgets.apply(build_fleet_text(), 600)

        self.assertThat(
            budgets.shortages.remaining_s('desk', 600), Equals(3000)
        )

    def test_dependency(self) -> None:
        """No VM of a service goes down while a dependency lacks capacity."""
        source = _TWO_POOLS.format(guard='vm', desk=8, hold=8, ratio=0.5)
        text = build_fleet_text(source)
        inventory = Inventory(_vms(random.Random(1), 12))  # noqa: S311
        budgets = Budgets(text, inventory)
        for vm in list(inventory.vms_in_pool('desk')):
            inventory.put(dataclasses.replace(vm, state=VmState.DOWN))
        budgets.observe('desk', 0)
        held = next(inventory.vms_in_pool('hold'))

        decision = budgets.check_drain(held, 1, _EXPECTED_S)

        self.assertThat(decision.refusal, Is(Refusal.DEPENDENCY))

    def test_limits(self) -> None:
        """A promise that the VMs can't keep is reported as a shortfall."""
        text = build_fleet_text()
        vms = list(build_inventory(text))
        self.assertThat(spare_slots(text, vms), Equals(8))
        greedy = build_fleet_text(FLEET_TEXT.replace('= 40', '= 49'))

        shortfalls = {
            (fault.pool, fault.lost): fault.missing_slots
            for fault in find_shortfalls(greedy, vms)
        }

        self.assertThat(
            shortfalls,
            Equals(
                {
                    ('desk', None): 1,
                    # Here each zone consists of a single rack.
                    ('', FailureDomain.RACK): 1,
                    ('', FailureDomain.ZONE): 1,
                },
            ),
        )


def _violations(case: int, kind: type[Inventory]) -> Iterator[str]:
    """Simulate one random fleet; yield each budget violated by a drain."""
    rng = random.Random(case)  # noqa: S311 - seeded test data
    guard = rng.choice(tuple(FailureDomain))
    source = _TWO_POOLS.format(
        guard=guard,
        desk=rng.randrange(60),
        hold=rng.randrange(60),
        ratio=rng.choice((0, 0.25, 0.5)),
    )
    text = build_fleet_text(source)
    may_spend = rng.choice((True, False))
    vms = {vm.name: vm for vm in _vms(rng, rng.randrange(6, 24))}
    inventory = kind(vms.values())
    budgets = Budgets(text, inventory)
    check = _violated_budgets if may_spend else _shortfalls
    for step in range(30):
        vm = vms[rng.choice(sorted(vms))]
        state = rng.choice((VmState.SERVING, VmState.DOWN, VmState.DRAINING))
        decision = budgets.check_drain(
            vm, step, _EXPECTED_S, may_spend=may_spend
        )
        is_drain = state is VmState.DRAINING
        if is_drain and not decision.is_allowed:
            continue
        vms[vm.name] = dataclasses.replace(vm, state=state)
        inventory.put(vms[vm.name])
        budgets.observe(vm.pool, step)
        if is_drain and vm.is_up:
            yield from check(text, list(vms.values()), vm.pool, guard)


def _violated_budgets(
    text: FleetText,
    vms: list[Vm],
    pool: str,
    guard: FailureDomain,
) -> Iterator[str]:
    """Yield the budgets that a drain violates when any one domain is lost.

    Only the drained pool and the fleet are checked, as earlier failures may
    have violated the budget of another pool.
    """
    promised = sum(service.promised_slots for service in text.services.values())
    for lost in _domains(vms, guard):
        rest = [vm for vm in vms if _domain(vm, guard) != lost]
        left = [vm for vm in rest if vm.is_up]
        eventually_up = [vm for vm in rest if vm.is_up or vm.is_maintained]
        if sum(vm.slots for vm in eventually_up) < promised:
            yield f'fleet after maintenance without {lost}'
        for service in text.services.values():
            have = sum(vm.slots for vm in left if vm.pool == service.pool)
            ratio = 1 - service.budget.missing_ratio
            is_hit = service.pool == pool
            if is_hit and have < service.promised_slots * ratio:
                yield f'{service.name} without {lost}'


def _shortfalls(
    text: FleetText,
    vms: list[Vm],
    pool: str,
    guard: FailureDomain,
) -> Iterator[str]:
    """Yield also temporary shortfalls of the fleet."""
    yield from _violated_budgets(text, vms, pool, guard)
    promised = sum(service.promised_slots for service in text.services.values())
    for lost in _domains(vms, guard):
        left = [vm for vm in vms if _domain(vm, guard) != lost and vm.is_up]
        if sum(vm.slots for vm in left) < promised:
            yield f'fleet during maintenance without {lost}'


def _domains(vms: list[Vm], guard: FailureDomain) -> set[tuple[str, ...]]:
    return {_domain(vm, guard) for vm in vms}


def _domain(vm: Vm, guard: FailureDomain) -> tuple[str, ...]:
    path = (vm.zone, vm.rack, vm.name)
    depth = (FailureDomain.ZONE, FailureDomain.RACK, FailureDomain.VM)
    return path[: depth.index(guard) + 1]


def _vms(rng: random.Random, count: int) -> Iterator[Vm]:
    for number in range(count):
        yield build_vm(
            name=f'vm-{number}',
            zone='abc'[number % 3],
            rack=f'r{number // 6}',
            pool=rng.choice(('desk', 'hold')),
        )
