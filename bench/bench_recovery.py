"""Measure the restart time and the cost of full snapshots."""

from __future__ import annotations

import gc
import pathlib
import tempfile
import time
from collections.abc import Iterable, Iterator

import msgspec

from bench.figures import Figure, at_most, unbounded
from wigeonreach.agreement._disk import FolderDisk
from wigeonreach.state._machine import Machine
from wigeonreach.agreement._raft_log import RaftLog
from wigeonreach.agreement._raft_types import JournalBase, Snapshot, Write
from wigeonreach.agreement._storage import Storage
from wigeonreach.wire._command_messages import (
    Action,
    ChangeText,
    Command,
    GrantVm,
    RenewVm,
)
from wigeonreach.wire._raft_messages import EntryKind, LogEntry

_CHANGES_PER_DAY = 29_000
_LEASE_S = 3600.0
_SNAPSHOT_ENTRIES = 4096
_SNAPSHOT_BYTES = 4 * 1024 * 1024
_TRAILING = 1024
_MS_PER_S = 1000
_CURRENT_VMS = 40
_PLANNED_VMS = 22_000
_PLANNED_TEAMS = 1200


def run() -> Iterable[Figure]:
    """Compare restarts with and without snapshots, and sizes of snapshots.

    Yields
    ------
    Figure
        Restart times with the same log without a snapshot as the baseline,
        and the cost of a whole snapshot beside the log it replaces.
    """
    for vms in (_CURRENT_VMS, _PLANNED_VMS):
        yield from _restarts(vms)
    yield from _snapshot_cost('today', _filled(_CURRENT_VMS, teams=0))
    yield from _snapshot_cost('letter', _filled(_PLANNED_VMS, _PLANNED_TEAMS))


def _restarts(vms: int) -> Iterable[Figure]:
    for entries in (_SNAPSHOT_ENTRIES, _CHANGES_PER_DAY, 2 * _CHANGES_PER_DAY):
        log = RaftLog(entries=list(_entries(vms, entries)))
        without_s = _restart_s(log, None)
        with_s = _restart_s(log, _snapshot_behind(log))
        name = f'restart_{vms}_vms_{entries}_entries'
        bound_s = without_s * 2 if entries == _SNAPSHOT_ENTRIES else without_s
        yield at_most('recovery', name, with_s, 's', bound_s, without_s)


def _restart_s(log: RaftLog, snapshot: Snapshot | None) -> float:
    """Store a snapshot and the log after it; return the restart time."""
    with tempfile.TemporaryDirectory() as folder:
        disk = FolderDisk(pathlib.Path(folder))
        storage = Storage(disk)
        storage.load()
        storage.write([_write(log, snapshot)])
        gc.collect()
        started_s = time.perf_counter()
        stored = storage.load()
        machine = Machine()
        applied_index = 0
        if stored.snapshot is not None:
            machine.restore(stored.snapshot.state)
            applied_index = stored.snapshot.index
        last_index = stored.log.last_index
        for entry in stored.log.between(applied_index + 1, last_index):
            machine.apply(entry.index, entry.command)
        taken_s = time.perf_counter() - started_s
        disk.close()
    assert machine.state.revision == log.last_index
    return taken_s


def _write(log: RaftLog, snapshot: Snapshot | None) -> Write:
    if snapshot is None:
        return Write(1, log.last_index, 1, entries=tuple(log.entries))
    base_index = max(snapshot.index - _TRAILING, 0)
    base_term = log.term_at(base_index) or 0
    return Write(
        1,
        log.last_index,
        1,
        snapshot=snapshot,
        journal_base=JournalBase(base_index, base_term),
        journal=tuple(log.between(base_index + 1, log.last_index)),
    )


def _snapshot_behind(log: RaftLog) -> Snapshot:
    """Return the last snapshot that is taken while the log grows."""
    index = log.last_index // _SNAPSHOT_ENTRIES * _SNAPSHOT_ENTRIES
    machine = Machine()
    for entry in log.between(1, index):
        machine.apply(entry.index, entry.command)
    return Snapshot(index, 1, (), machine.snapshot())


def _entries(vms: int, count: int) -> Iterator[LogEntry]:
    """Return log entries that grant all VMs and then renew the grants."""
    for index in range(1, count + 1):
        vm = f'vm-{index % vms}'
        action: Action = GrantVm(vm, 'pool', _LEASE_S)
        if index > vms:
            token = index % vms or vms
            action = RenewVm(vm, token, _LEASE_S)
        command = _command(index, action)
        yield LogEntry(index, 1, EntryKind.COMMAND, command)


def _command(number: int, action: Action) -> bytes:
    return msgspec.msgpack.encode(
        Command(f'{number:032x}', number, 'manager', float(number), action),
    )


def _filled(vms: int, teams: int) -> Machine:
    machine = Machine()
    number = 1
    machine.apply(number, _command(0, ChangeText(0, _text(teams))))
    for entry in _entries(vms, vms + _CHANGES_PER_DAY):
        number += 1
        machine.apply(number, entry.command)
    assert machine.state.accepted.version == 1
    assert len(machine.state.vms) == vms
    return machine


def _text(teams: int) -> str:
    pools = ''.join(
        f'[teams.team-{team}]\nquota_slots = {team}\nshare = 1\n\n'
        for team in range(teams)
    )
    return f'[fleet]\nname = "sample"\n\n{pools}'


def _snapshot_cost(size: str, machine: Machine) -> Iterable[Figure]:
    """Compare full snapshots with the log that they replace."""
    started_s = time.perf_counter()
    state = machine.snapshot()
    taken_ms = (time.perf_counter() - started_s) * _MS_PER_S
    text = machine.state.accepted.text
    yield unbounded('recovery', f'snapshot_{size}', len(state), 'bytes')
    yield unbounded('recovery', f'snapshot_{size}_pause', taken_ms, 'ms')
    renewals = _command(1, RenewVm('vm-1', 1, _LEASE_S))
    texts = _command(1, ChangeText(0, text))
    for kind, command in (('renewals', renewals), ('texts', texts)):
        log_bytes = len(command) * _CHANGES_PER_DAY
        count = max(
            _CHANGES_PER_DAY / _SNAPSHOT_ENTRIES,
            log_bytes / max(_SNAPSHOT_BYTES, len(state)),
        )
        yield unbounded(
            'recovery',
            f'snapshots_{size}_{kind}_a_day',
            len(state) * count,
            'bytes',
            log_bytes,
        )
