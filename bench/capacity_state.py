"""Measure what the records of VMs cost in the durable state."""

from __future__ import annotations

import statistics
import time
import tracemalloc
from collections.abc import Iterator

import msgspec

from bench.figures import Figure, told
from wigeonreach.state._machine import Machine
from wigeonreach.wire._command_messages import Command, GrantVm

_NAME = 'capacity'
_VMS = 22_000
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
    yield told(_NAME, 'vm_record_bytes', used_bytes / _VMS, 'bytes/VM')
    yield told(_NAME, 'command_apply_us', _apply_us(), 'us/command')
    snapshots_ms = [_snapshot_ms(machine) for _ in range(_REPEATS)]
    yield told(
        _NAME,
        'snapshot_encode_ms',
        statistics.median(snapshots_ms),
        'ms at 22000 VMs',
    )
    yield told(
        _NAME,
        'snapshot_bytes',
        len(machine.snapshot()),
        'bytes at 22000 VMs',
    )


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
