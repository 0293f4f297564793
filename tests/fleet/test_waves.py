"""Test maintenance waves, including stops, failures and restarts."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals, Is

from tests.builders_fleet import build_fleet_text, build_inventory
from wigeonreach.fleet import (
    Budgets,
    DrainProgress,
    EffectKind,
    Inventory,
    Phase,
    StartWave,
    StopWave,
    Tick,
    VmEvent,
    VmReport,
    VmState,
    WaveEffect,
    WavePlanner,
    WaveStatus,
    ZonePartGate,
    merge_states,
)

_VMS = tuple('a0 a1 a2 b0 b1 b2 c0 c1 c2'.split())
_START = StartWave('start-1', 'w', _VMS)
_STOP = StopWave('stop-1', 'w')
_SETTLE_S = 300.0


class TestWavePlanner(testtools.TestCase):
    """Decisions on maintenance waves."""

    def setUp(self) -> None:
        """Build a fleet of three zones and a planner."""
        super().setUp()
        self.text = build_fleet_text()
        self.inventory = build_inventory(self.text)
        self.planner = self._planner(self.inventory)
        self.now_s = 0.0
        self.most_in_desk = 0

    def test_every_vm_once(self) -> None:
        """A wave reboots each VM exactly once and ends with all serving."""
        effects = self._run_to_end([_START])

        reboots = sorted(
            effect.vm for effect in effects if effect.kind is EffectKind.REBOOT
        )
        self.assertThat(reboots, Equals(sorted(_VMS)))
        self.assertThat(self._status(), Is(WaveStatus.DONE))
        states = {vm.state for vm in self.inventory}
        self.assertThat(states, Equals({VmState.SERVING}))

    def test_waits_for_work(self) -> None:
        """A VM with work in flight or open checkpoints isn't rebooted."""
        name = self._send(_START)[0].vm

        for busy in (DrainProgress(name, 1, 0), DrainProgress(name, 0, 1)):
            self.assertThat(self._send(busy), Equals([]))

        idle = self._send(DrainProgress(name, 0, 0))
        self.assertThat(idle[0].kind, Is(EffectKind.REBOOT))

    def test_drain_that_never_ends(self) -> None:
        """A VM whose drain times out is put back in service and skipped."""
        name = self._send(_START)[0].vm

        effects = self._wait(1000)

        self.assertThat(effects[0].kind, Is(EffectKind.UNDRAIN))
        self.assertThat(effects[0].vm, Equals(name))
        self.assertThat(self._phase(name), Is(Phase.SKIPPED))

    def test_bad_image(self) -> None:
        """A wave halts if its first VM is unhealthy after the reboot."""
        effects = self._send(_START)
        self._answer(effects, VmEvent.UNHEALTHY)

        self.assertThat(self._status(), Is(WaveStatus.HALTED))
        down = [vm for vm in self.inventory if not vm.is_up]
        self.assertThat(len(down), Equals(1))

    def test_lost_while_settling(self) -> None:
        """A VM lost while settling after its reboot counts as a failure."""
        name = self._send(_START)[0].vm
        self._send(DrainProgress(name, 0, 0))
        self._send(VmReport(name, VmEvent.REBOOTED))
        self._send(VmReport(name, VmEvent.HEALTHY))
        self.assertThat(self._phase(name), Is(Phase.SETTLING))

        self._send(VmReport(name, VmEvent.LOST))

        self.assertThat(self._phase(name), Is(Phase.FAILED))
        self.assertThat(self._status(), Is(WaveStatus.HALTED))

    def test_recall_after_other_losses(self) -> None:
        """A drain is cancelled when other losses exhaust the budget."""
        name = self._send(_START)[0].vm
        others = [vm for vm in _VMS if vm != name]

        effects: list[WaveEffect] = []
        for other in others[:4]:
            effects.extend(self._send(VmReport(other, VmEvent.LOST)))

        recalled = _of_kind(effects, EffectKind.UNDRAIN)
        self.assertThat(recalled, Equals([name]))
        self.assertThat(self._phase(name), Is(Phase.WAITING))

    def test_stop_in_the_middle(self) -> None:
        """A stop undrains a draining VM; resent commands are ignored."""
        name = self._send(_START)[0].vm

        effects = self._send(_STOP)

        self.assertThat(effects[0].kind, Is(EffectKind.UNDRAIN))
        for resent in (_START, _STOP, _START):
            self.assertThat(self._send(resent), Equals([]))
        self.assertThat(self._phase(name), Is(Phase.SKIPPED))

    def test_stop_overtakes_start(self) -> None:
        """A start that arrives after its stop is ignored."""
        self._send(_STOP)

        self.assertThat(self._send(_START), Equals([]))

    def test_stale_report(self) -> None:
        """A report that answers another attempt is ignored."""
        name = self._send(_START)[0].vm
        self._send(DrainProgress(name, 0, 0))

        self._send(VmReport(name, VmEvent.REBOOTED, 'w/other/9'))

        self.assertThat(self._phase(name), Is(Phase.REBOOTING))

    def test_restart_in_the_middle(self) -> None:
        """A restarted planner repeats its requests with the same ids."""
        before = self._send(_START)
        state = self.planner.waves['w'].state()

        self.planner = self._planner(build_inventory(self.text))
        self.inventory = self.planner_inventory
        again = self.planner.restore((state,), self.now_s)

        self.assertThat(again, Equals(before))
        effects = self._run_to_end([], again)
        reboots = _of_kind(effects, EffectKind.REBOOT)
        self.assertThat(sorted(reboots), Equals(sorted(_VMS)))

    def test_two_waves(self) -> None:
        """Two waves together take down no more than one wave may."""
        self._run_to_end([_START, StartWave('s2', 'v', _VMS)])

        # With two VMs down, the loss of a zone would violate the depth.
        self.assertThat(self.most_in_desk, Equals(1))
        self.assertThat(self._status('v'), Is(WaveStatus.DONE))

    def test_partitioned_zone(self) -> None:
        """A partitioned zone keeps to its part; a merge repeats no VM."""
        inventory = build_inventory(self.text)
        gate = ZonePartGate(inventory, 'a', {'desk': 8, 'spare': 8})
        self.planner = self._planner(inventory, (gate,))
        self.inventory = inventory
        self._run_to_end([_START])
        wave = self.planner.waves['w']
        zone_state = wave.state()
        done = [vm for vm in _VMS if self._phase(vm) is Phase.MAINTAINED]
        self.assertThat(done, Equals(['a0', 'a1', 'a2']))

        self.planner = self._planner(build_inventory(self.text))
        self._send(_START)
        wave = self.planner.waves['w']
        merged = merge_states(wave.state(), zone_state)
        self.planner = self._planner(build_inventory(self.text))
        self.inventory = self.planner_inventory
        effects = self.planner.restore((merged,), self.now_s)

        effects = self._run_to_end([], effects)
        again = {one.vm for one in effects} & set(done)
        self.assertThat(again, Equals(set()))
        self.assertThat(self._status(), Is(WaveStatus.DONE))

    def _planner(
        self,
        inventory: Inventory,
        gates: tuple[ZonePartGate, ...] = (),
    ) -> WavePlanner:
        self.planner_inventory = inventory
        budgets = Budgets(self.text, inventory)
        return WavePlanner(inventory, budgets, gates=gates)

    def _send(
        self,
        message: StartWave | StopWave | DrainProgress | VmReport | Tick,
    ) -> list[WaveEffect]:
        return self.planner.handle(message, self.now_s)

    def _wait(self, wait_s: float) -> list[WaveEffect]:
        self.now_s += wait_s
        return self._send(Tick())

    def _status(self, wave_id: str = 'w') -> WaveStatus:
        return self.planner.waves[wave_id].status

    def _phase(self, vm: str) -> Phase:
        wave = self.planner.waves['w']
        return wave.tracks[vm].phase

    def _run_to_end(
        self,
        commands: list[StartWave],
        effects: list[WaveEffect] | None = None,
    ) -> list[WaveEffect]:
        """Execute all requests for 200 rounds and return all effects."""
        seen = list(effects or [])
        for command in commands:
            seen.extend(self._send(command))
        asked = seen
        for _ in range(200):
            asked = self._answer(asked)
            asked.extend(self._wait(_SETTLE_S))
            seen.extend(asked)
        return seen

    def _answer(
        self,
        effects: list[WaveEffect],
        health: VmEvent = VmEvent.HEALTHY,
    ) -> list[WaveEffect]:
        """Execute requests and their follow-ups; return the follow-ups."""
        caused: list[WaveEffect] = []
        waiting = list(effects)
        while waiting:
            after = self._respond(waiting.pop(), health)
            waiting.extend(after)
            caused.extend(after)
        return caused

    def _respond(
        self,
        effect: WaveEffect,
        health: VmEvent,
    ) -> list[WaveEffect]:
        down = [vm for vm in self.inventory if not vm.is_up]
        in_desk = [vm for vm in down if vm.pool == 'desk']
        self.most_in_desk = max(self.most_in_desk, len(in_desk))
        if effect.kind is EffectKind.DRAIN:
            return self._send(DrainProgress(effect.vm, 0, 0))
        events = {
            EffectKind.REBOOT: VmEvent.REBOOTED,
            EffectKind.CHECK: health,
        }
        if effect.kind not in events:
            return []
        report = VmReport(effect.vm, events[effect.kind], effect.operation_id)
        return self._send(report)


def _of_kind(effects: list[WaveEffect], kind: EffectKind) -> list[str]:
    return [effect.vm for effect in effects if effect.kind is kind]
