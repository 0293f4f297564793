"""Record maintenance waves, so that each of their steps is taken once."""

from __future__ import annotations

import msgspec

from wigeonreach.charts import load_chart
from wigeonreach.codes import ResultCode
from wigeonreach.state._machine_dispatch import Context, answer, execute
from wigeonreach.state._machine_state import MachineState
from wigeonreach.wire._command_messages import (
    RecordWave,
    Reply,
    StartWave,
    SteerWave,
)
from wigeonreach.wire._state_messages import ReadWaves, WaveRecord, Waves

_CHART = load_chart('wave_phase')


@execute.register
def start_wave(action: StartWave, context: Context) -> Reply:
    """Record a new wave."""
    record = context.state.waves.get(action.wave_id)
    if record is not None:
        return context.refused(
            ResultCode.STATE_RECORD_CHANGED,
            f'wave {action.wave_id!r} exists since {record.at_s:.0f}',
            record.version,
        )
    command = context.command
    context.state.waves[action.wave_id] = WaveRecord(
        wave_id=action.wave_id,
        version=1,
        phase=_CHART.initial,
        author=command.author,
        at_s=command.at_s,
        body=action.body,
    )
    _drop_oldest_ended(context)
    return context.succeeded(version=1)


@execute.register
def steer_wave(action: SteerWave, context: Context) -> Reply:
    """Pause, resume or stop a wave."""
    record = context.state.waves.get(action.wave_id)
    if record is None:
        return _refuse_unknown(context, action.wave_id)
    return _transition(context, record, action.event, record.body)


@execute.register
def record_wave(action: RecordWave, context: Context) -> Reply:
    """Record progress of a wave, if its record did not change meanwhile."""
    record = context.state.waves.get(action.wave_id)
    if record is None:
        return _refuse_unknown(context, action.wave_id)
    if record.version != action.record_version:
        return context.refused(
            ResultCode.STATE_RECORD_CHANGED,
            f'based on {action.record_version}, now {record.version}',
            record.version,
        )
    if action.lease and not _is_newest_token(context, action):
        return context.refused(
            ResultCode.STATE_NOT_HELD,
            f'token {action.token} of lease {action.lease!r} is not the newest',
            record.version,
        )
    return _transition(context, record, action.event, action.body)


@answer.register
def read_waves(_question: ReadWaves, state: MachineState) -> Waves:
    """Return all recorded waves."""
    return Waves(tuple(state.waves.values()))


def _transition(
    context: Context,
    record: WaveRecord,
    event: str,
    body: bytes,
) -> Reply:
    phase = _CHART.step(record.phase, event) if event else record.phase
    if phase is None:
        allowed = ', '.join(_CHART.events(record.phase)) or 'nothing'
        return context.refused(
            ResultCode.STATE_NOT_ALLOWED,
            f'{event!r} while {record.phase}; allowed: {allowed}',
            record.version,
        )
    context.state.waves[record.wave_id] = msgspec.structs.replace(
        record,
        version=record.version + 1,
        phase=phase,
        body=body,
    )
    return context.succeeded(version=record.version + 1)


def _is_newest_token(context: Context, action: RecordWave) -> bool:
    lease = context.state.leases.get(action.lease)
    return lease is not None and lease.token == action.token


def _refuse_unknown(context: Context, wave_id: str) -> Reply:
    return context.refused(
        ResultCode.STATE_UNKNOWN_RECORD,
        f'there is no wave {wave_id!r}',
    )


def _drop_oldest_ended(context: Context) -> None:
    waves = context.state.waves
    ended = [
        wave_id
        for wave_id, wave in waves.items()
        if not _CHART.events(wave.phase)
    ]
    for wave_id in ended[: max(0, len(ended) - context.limits.ended_waves)]:
        waves.pop(wave_id)
