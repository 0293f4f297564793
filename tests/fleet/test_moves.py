"""Test when VMs move between pools and how moves are explained."""

from __future__ import annotations

import dataclasses

import testtools
from testtools.matchers import Contains, Equals, HasLength

from tests.builders_fleet import build_fleet_text, build_inventory
from wigeonreach.fleet import (
    Budgets,
    MoveEnded,
    MovePlanner,
    MoveRecord,
    Tick,
    UsageReport,
    VmChanged,
    VmState,
    VmWork,
)

_GATHER_S = 15.0
_GRACE_S = 300.0


class TestMovePlanner(testtools.TestCase):
    """Decisions on moves between pools."""

    def setUp(self) -> None:
        """Build a pool that promises 40 of 48 slots, and a spare pool."""
        super().setUp()
        self.text = build_fleet_text()
        self.inventory = build_inventory(self.text)
        self.planner = MovePlanner(
            self.inventory,
            Budgets(self.text, self.inventory),
        )

    def test_short_loss(self) -> None:
        """VMs that come back within the grace time trigger no move."""
        self._set('a0', VmState.DOWN, 0)
        self._set('b0', VmState.DOWN, 0)
        self._set('b0', VmState.SERVING, 200)

        self.assertThat(self._tick(_GRACE_S), HasLength(0))

    def test_lasting_loss(self) -> None:
        """A lasting shortage is covered by the VM with the least work."""
        for vm, in_flight in (('a2', 3), ('b2', 1), ('c2', 2)):
            self.planner.handle(VmWork(vm, in_flight, 0), 0)
        self._set('a0', VmState.DOWN, 0)
        self._set('b0', VmState.DOWN, 0)

        moves = self._tick(_GRACE_S)

        self.assertThat([move.vm for move in moves], Equals(['b2']))
        self.planner.handle(MoveEnded('b2', is_done=True), _GRACE_S + 60)
        self.assertThat(self.inventory.up_slots('desk'), Equals(40))
        self.assertThat(
            self.planner.explain('b2')[0],
            Contains('desk had 32 of 40 slots; disturbs 1 in flight'),
        )

    def test_depth_at_once(self) -> None:
        """A pool below its budget's depth gets VMs without the grace time."""
        for vm in ('a0', 'b0', 'a1', 'b1'):
            self._set(vm, VmState.DOWN, 0)

        self.assertThat(self._tick(_GATHER_S - 1), HasLength(0))
        self.assertThat(self._tick(_GATHER_S), HasLength(1))
        self.assertThat(self._tick(_GRACE_S), HasLength(2))

    def test_flapping(self) -> None:
        """A flapping VM is not moved."""
        for at_s in (0, 10):
            self._set('b2', VmState.DOWN, at_s)
            self._set('b2', VmState.SERVING, at_s)
        for vm in ('a0', 'b0', 'a1', 'b1'):
            self._set(vm, VmState.DOWN, 20)

        moves = self._tick(_GRACE_S * 2)

        moved = {move.vm for move in (*moves, *self.planner.records)}
        self.assertThat(moved, Equals({'a2', 'c2'}))

    def test_lagging_usage(self) -> None:
        """Usage measured before a move took effect triggers no other move."""
        moves = 0
        for at_s in range(0, 780, 60):
            report = UsageReport('desk', 46, at_s - 60)
            moves += len(self.planner.handle(report, at_s))

        self.assertThat(moves, Equals(1))

    def test_lost_while_moving(self) -> None:
        """A VM lost during its move stays in its pool; another one moves."""
        self._set('a0', VmState.DOWN, 0)
        self._set('b0', VmState.DOWN, 0)
        first = self._tick(_GRACE_S)[0].vm

        self._set(first, VmState.DOWN, _GRACE_S + 1)

        second = self._tick(_GRACE_S * 3)[0].vm
        self.assertNotEqual(first, second)
        lost = self.inventory.find(first)
        self.assertThat(lost and lost.pool, Equals('spare'))

    def _set(self, name: str, state: VmState, now_s: float) -> None:
        vm = self.inventory.find(name)
        if vm is not None:
            self.inventory.put(dataclasses.replace(vm, state=state))
        is_lost = state is VmState.DOWN
        self.planner.handle(VmChanged(name, is_lost), now_s)

    def _tick(self, now_s: float) -> list[MoveRecord]:
        return self.planner.handle(Tick(), now_s)
