"""Test which records and effects a manager decides on."""

from __future__ import annotations

import dataclasses

import testtools
from testtools.matchers import Equals, HasLength

from wigeonreach.fleet import Phase, WaveSettings
from wigeonreach.manager import WaveBody, decode_body, encode_body
from wigeonreach.manager._core import ManagerCore, Plan
from wigeonreach.provider import VmPhase, VmView
from wigeonreach.standins._platform_fleet import new_vms
from wigeonreach.text import parse_fleet_text
from wigeonreach.wire._state_messages import WaveRecord

_SOURCE = """
[fleet]
name = "sample"
guard = ["vm"]

[pools.desk]
vms = ["a-vm-0", "a-vm-1", "a-vm-2", "a-vm-3"]

[pools.old]
vms = ["a-vm-4"]

[services.desk]
pool = "desk"
promised_slots = 8

[services.old]
mode = "watched"
pool = "old"
"""
_TEXT = parse_fleet_text(_SOURCE)
_VMS = new_vms(['a'], 5, 5)
_RECORD = WaveRecord('w1', 1, 'running', 'operator', 0, encode_body(WaveBody()))


def _core() -> ManagerCore:
    return ManagerCore(_TEXT, WaveSettings())


def _after(record: WaveRecord, plan: Plan, phase: str = '') -> WaveRecord:
    """Return a record as the durable state holds it after a plan."""
    body = plan.records[0].body if plan.records else record.body
    return WaveRecord(
        record.wave_id,
        record.version + 1,
        phase or record.phase,
        record.author,
        record.at_s,
        body,
    )


def _drained(action_id: str) -> VmView:
    return dataclasses.replace(
        _VMS[0],
        phase=VmPhase.DRAINING,
        action_id=action_id,
    )


class TestManagerCore(testtools.TestCase):
    """Waves over one pool; a second pool is only watched."""

    def test_effects_are_recorded_first(self) -> None:
        """The record already contains each effect sent to the platform."""
        plan = _core().step(_VMS, [_RECORD], 0)

        state = decode_body(plan.records[0].body).state
        assert state is not None
        phases = {track.vm: track.phase for track in state.tracks}
        affected = {effect.vm for effect in plan.effects}
        draining = {vm for vm in phases if phases[vm] is Phase.DRAINING}
        self.assertThat(affected, Equals(draining))
        self.assertThat('a-vm-4' in phases, Equals(False))

    def test_new_manager_resends_effects(self) -> None:
        """A manager that takes over resends effects with the same ids."""
        first = _core().step(_VMS, [_RECORD], 0)

        second = _core().step(_VMS, [_after(_RECORD, first)], 1)

        self.assertThat(second.effects, Equals(first.effects))

    def test_reboot_follows_own_drain(self) -> None:
        """A VM is rebooted only when the current attempt's drain has ended."""
        core = _core()
        plan = core.step(_VMS, [_RECORD], 0)
        record = _after(_RECORD, plan)
        drain_id = f'{plan.effects[0].operation_id}/drain'

        early = core.step([_drained('w1/a-vm-0/0/drain')], [record], 1)
        late = core.step([_drained(drain_id)], [record], 2)

        self.assertThat(early.effects, Equals(()))
        self.assertThat(
            [effect.kind for effect in late.effects], Equals(['reboot'])
        )

    def test_stop_undrains_vm(self) -> None:
        """Stopping a wave returns a VM that is still draining to service."""
        core = _core()
        plan = core.step(_VMS, [_RECORD], 0)

        stopped = core.step((), [_after(_RECORD, plan, 'stopped')], 1)

        self.assertThat(
            [effect.kind for effect in stopped.effects], Equals(['undrain'])
        )

    def test_lost_undrain_is_resent(self) -> None:
        """An undrain that the platform lost is sent again."""
        core = _core()
        plan = core.step(_VMS, [_RECORD], 0)
        record = _after(_RECORD, plan, 'stopped')
        stopped = core.step((), [record], 1)
        drain_id = f'{plan.effects[0].operation_id}/drain'

        again = core.step([_drained(drain_id)], [record], 2)

        self.assertThat(again.effects, Equals(stopped.effects))

    def test_wave_stopped_before_start(self) -> None:
        """A wave that was stopped before it started is ignored."""
        stopped = _after(_RECORD, Plan((), ()), 'stopped')

        plan = _core().step(_VMS, [stopped], 0)

        self.assertThat(plan.records, HasLength(0))
        self.assertThat(plan.effects, HasLength(0))
