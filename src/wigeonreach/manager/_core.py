"""Decisions on maintenance waves, without I/O."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import TypeAlias

from wigeonreach.fleet import (
    Budgets,
    EffectKind,
    Inventory,
    PauseWave,
    Phase,
    ResumeWave,
    StartWave,
    StopWave,
    Tick,
    Track,
    Vm,
    WaveEffect,
    WavePlanner,
    WaveSettings,
    WaveState,
    WaveStatus,
)
from wigeonreach.manager._body import WaveBody, decode_body, encode_body
from wigeonreach.manager._vm_events import (
    maintenance_reports,
    unexpected_changes,
)
from wigeonreach.provider import VmPhase, VmView
from wigeonreach.text import FleetText
from wigeonreach.wire._command_messages import RecordWave
from wigeonreach.wire._state_messages import WaveRecord

_Command: TypeAlias = type[PauseWave | ResumeWave | StopWave]
_COMMANDS: Mapping[str, _Command] = MappingProxyType(
    {'paused': PauseWave, 'running': ResumeWave, 'stopped': StopWave},
)
# Action that returns a VM to service after its maintenance has ended or its
# drain was cancelled, by the phases that the platform and the wave record.
_FINAL_EFFECTS = MappingProxyType(
    {
        (VmPhase.BOOTED, Phase.MAINTAINED): EffectKind.RESTORE,
        (VmPhase.DRAINING, Phase.SKIPPED): EffectKind.UNDRAIN,
        (VmPhase.DRAINING, Phase.WAITING): EffectKind.UNDRAIN,
    },
)
_PAUSED_STATUSES = frozenset((WaveStatus.PAUSED, WaveStatus.HALTED))


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Records to write, then effects to request from the platform."""

    records: tuple[RecordWave, ...]
    effects: tuple[WaveEffect, ...]


class ManagerCore:
    """Decision logic of one manager; performs no I/O.

    It is rebuilt from the durable state after a restart, when the lease or the
    configuration changes, and after a failed round, such as when another
    manager has written, unless the VMs could merely not be listed.

    Parameters
    ----------
    text
        The fleet configuration in force.
    settings
        Limits of waves.
    """

    def __init__(self, text: FleetText, settings: WaveSettings) -> None:
        """Start with no known VM or wave."""
        watched = frozenset(
            service.pool
            for service in text.services.values()
            if service.mode.value == 'watched' and service.pool
        )
        self._inventory = Inventory((), watched)
        self._planner = WavePlanner(
            self._inventory,
            Budgets(text, self._inventory),
            settings,
            text.maintenance,
        )
        self._pool_of = {
            vm: pool.name for pool in text.pools.values() for vm in pool.vms
        }
        self._records: dict[str, WaveRecord] = {}
        self._bodies: dict[str, WaveBody] = {}
        self._effects: list[WaveEffect] = []
        # VMs that are not serving are examined in every step, because the
        # events derived from a change may be lost.
        self._not_serving: dict[str, VmView] = {}

    def step(
        self,
        vms: Iterable[VmView],
        records: Sequence[WaveRecord],
        now_s: float,
    ) -> Plan:
        """Apply changes and decide what to do next.

        Parameters
        ----------
        vms
            VMs that changed.
        records
            All waves in the durable state.
        now_s
            Unix time, in seconds.

        Returns
        -------
        Plan
            Records to write, and effects to request once they are written.
        """
        for view in vms:
            self._register_vm(view)
        for record in records:
            self._apply_record(record, now_s)
        for view in tuple(self._not_serving.values()):
            self._observe(view, now_s)
            if view.phase is VmPhase.SERVING:
                self._not_serving.pop(view.name)
        self._effects.extend(self._planner.handle(Tick(), now_s))
        effects = tuple(self._effects)
        self._effects.clear()
        return Plan(tuple(self._changed_records()), effects)

    def note_recorded(self, wave_id: str, version: int) -> None:
        """Set the new version of a record that the durable state accepted."""
        record = self._records[wave_id]
        self._records[wave_id] = _with_version(record, version)

    def _register_vm(self, view: VmView) -> None:
        self._not_serving[view.name] = view
        pool = self._pool_of.get(view.name)
        if pool is not None and self._inventory.find(view.name) is None:
            self._inventory.put(
                Vm(
                    name=view.name,
                    zone=view.zone,
                    rack=view.rack,
                    pool=pool,
                    slots=view.slots,
                    processors=view.processors,
                    memory_bytes=view.memory_bytes,
                    accelerators=view.accelerators,
                )
            )

    def _apply_record(self, record: WaveRecord, now_s: float) -> None:
        wave_id = record.wave_id
        before = self._records.get(wave_id)
        if before is None:
            body = decode_body(record.body)
            if _is_over(record, body):
                return
            self._start_or_restore(record, body, now_s)
        self._records[wave_id] = record
        if before is None or before.phase != record.phase:
            self._send_command(record, now_s)

    def _start_or_restore(
        self,
        record: WaveRecord,
        body: WaveBody,
        now_s: float,
    ) -> None:
        self._bodies[record.wave_id] = body
        if body.state is not None:
            restored = self._planner.restore((body.state,), now_s)
            self._effects.extend(restored)
            return
        vms = tuple(
            vm.name
            for vm in self._inventory
            if not self._inventory.is_watched(vm.pool)
            and _is_selected(vm, body)
        )
        start = StartWave(record.wave_id, record.wave_id, vms)
        if record.phase == 'running':
            self._effects.extend(self._planner.handle(start, now_s))

    def _send_command(self, record: WaveRecord, now_s: float) -> None:
        wave = self._planner.waves.get(record.wave_id)
        kind = _COMMANDS.get(record.phase)
        if kind is None:
            return
        is_paused = wave is not None and wave.status in _PAUSED_STATUSES
        if kind is ResumeWave and not is_paused:
            return
        command_id = f'{record.phase}@{record.version}'
        command = kind(command_id, record.wave_id)
        self._effects.extend(self._planner.handle(command, now_s))

    def _observe(self, view: VmView, now_s: float) -> None:
        vm = self._inventory.find(view.name)
        if vm is None:
            return
        if self._planner.is_busy(view.name):
            # Only a failure of the VM or the result of the current attempt
            # matters; results of earlier attempts are ignored.
            is_relevant = view.phase is VmPhase.DOWN or self._is_current(view)
            messages = maintenance_reports(view) if is_relevant else ()
        else:
            messages = unexpected_changes(vm, view)
            self._effects.extend(self._resend_final_action(view))
        for message in messages:
            self._effects.extend(self._planner.handle(message, now_s))

    def _resend_final_action(self, view: VmView) -> Iterable[WaveEffect]:
        """Resend a final action that the platform seems to have lost."""
        operation_id, _, _ = view.action_id.rpartition('/')
        track = self._track(operation_id)
        if track is None:
            return
        kind = _FINAL_EFFECTS.get((view.phase, track.phase))
        if kind is not None:
            yield WaveEffect(kind, view.name, operation_id)

    def _is_current(self, view: VmView) -> bool:
        operation_id, _, _ = view.action_id.rpartition('/')
        track = self._track(operation_id)
        attempt = operation_id.rpartition('/')[2]
        return track is not None and attempt == str(track.attempt)

    def _track(self, operation_id: str) -> Track | None:
        wave_id, _, rest = operation_id.rpartition('/')[0].rpartition('/')
        wave = self._planner.waves.get(wave_id)
        return wave.tracks.get(rest) if wave else None

    def _changed_records(self) -> Iterable[RecordWave]:
        for wave_id, record in self._records.items():
            wave = self._planner.waves.get(wave_id)
            body = self._bodies.get(wave_id)
            if wave is None or body is None:
                continue
            after = wave.state()
            changed = WaveBody(
                body.pools,
                body.zones,
                after,
                self._waiting_reason(wave_id, after),
            )
            event = _event_for(record.phase, after.status)
            if changed != body or event:
                self._bodies[wave_id] = changed
                yield RecordWave(
                    wave_id,
                    record.version,
                    encode_body(changed),
                    event,
                )

    def _waiting_reason(self, wave_id: str, state: WaveState) -> str:
        if state.reason:
            return state.reason
        verdict = self._planner.last_refusals.get(wave_id)
        has_waiting = any(
            track.phase is Phase.WAITING for track in state.tracks
        )
        if verdict is None or not has_waiting:
            return ''
        return f'{verdict.refusal} of {verdict.subject}'


def _is_selected(vm: Vm, body: WaveBody) -> bool:
    is_pool = not body.pools or vm.pool in body.pools
    return is_pool and (not body.zones or vm.zone in body.zones)


def _is_over(record: WaveRecord, body: WaveBody) -> bool:
    if record.phase == 'finished':
        return True
    if record.phase != 'stopped':
        return False
    if body.state is None:
        return True
    # Reboots in progress finish after a stop, so the wave is still tracked.
    return all(track.phase.is_final for track in body.state.tracks)


def _event_for(phase: str, status: WaveStatus) -> str:
    if phase != 'running':
        return ''
    if status is WaveStatus.HALTED:
        return 'pause'
    return 'finish' if status is WaveStatus.DONE else ''


def _with_version(record: WaveRecord, version: int) -> WaveRecord:
    return WaveRecord(
        wave_id=record.wave_id,
        version=version,
        phase=record.phase,
        author=record.author,
        at_s=record.at_s,
        body=record.body,
    )
