"""Measure the cost of VM records in the durable state."""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections.abc import Iterator

import msgspec

from bench.config_texts import build_text
from bench.figures import Figure, at_most, unbounded
from wigeonreach.fleet import Phase, Track, WaveState, WaveStatus
from wigeonreach.manager import WaveBody, encode_body
from wigeonreach.state._machine import Machine
from wigeonreach.state._machine_state import AcceptedState
from wigeonreach.state._machine_texts import as_edits
from wigeonreach.wire._command_messages import ChangeText, Command, GrantVm

_NAME = 'capacity'
_VMS = 22_000
_POOLS = 40
# For a small change, a whole text must be at least this many times as large
# as the logged change.
_MIN_SAVING = 100
_REPEATS = 5
_LEASE_S = 30.0
_US_PER_S = 1_000_000
_MS_PER_S = 1000


def state_figures() -> Iterator[Figure]:
    """Measure memory, applying and snapshots at the planned size."""
    tracemalloc.start()
    machine = Machine()
    _grant_all(machine)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield unbounded(_NAME, 'vm_record_bytes', used_bytes / _VMS, 'bytes/VM')
    yield _logged_figure()
    yield unbounded(_NAME, 'wave_record_bytes', _wave_bytes(), 'bytes/VM')
    yield unbounded(_NAME, 'command_apply_us', _apply_us(), 'us/command')
    snapshots_ms = [_snapshot_ms(machine) for _ in range(_REPEATS)]
    yield unbounded(
        _NAME,
        'snapshot_encode_ms',
        statistics.median(snapshots_ms),
        'ms at 22000 VMs',
    )
    yield unbounded(
        _NAME,
        'snapshot_bytes',
        len(machine.snapshot()),
        'bytes at 22000 VMs',
    )


def _logged_figure() -> Figure:
    old = build_text(_POOLS, _VMS // _POOLS, 1)
    change = ChangeText(1, build_text(_POOLS, _VMS // _POOLS, 2))
    edits = as_edits(change, AcceptedState(1, old))
    whole_bytes = len(msgspec.msgpack.encode(change))
    return at_most(
        _NAME,
        'logged_change_bytes',
        len(msgspec.msgpack.encode(edits)),
        'bytes/change',
        whole_bytes / _MIN_SAVING,
        whole_bytes,
    )


def _wave_bytes() -> float:
    tracks = tuple(
        Track(f'region-1-a-vm-{number}', Phase.MAINTAINED, 1, 98765.4321)
        for number in range(_VMS)
    )
    state = WaveState('w', WaveStatus.RUNNING, '', tracks, (), (), ())
    return len(encode_body(WaveBody(state=state))) / _VMS


def _grant_all(machine: Machine) -> None:
    for number in range(_VMS):
        command = Command(
            f'grant-{number}',
            0,
            'manager',
            0,
            GrantVm(f'region-1-a-vm-{number}', f'pool-{number % 40}', _LEASE_S),
        )
        machine.apply(number + 1, msgspec.msgpack.encode(command))


def _apply_us() -> float:
    machine = Machine()
    started_s = time.process_time()
    _grant_all(machine)
    return (time.process_time() - started_s) / _VMS * _US_PER_S


def _snapshot_ms(machine: Machine) -> float:
    started_s = time.process_time()
    machine.snapshot()
    return (time.process_time() - started_s) * _MS_PER_S
