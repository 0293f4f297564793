"""Calculate the needs of each role at the planned size from measurements."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Final

from bench.measured import Measured
from wigeonreach.entry._pace import announce_after_s
from wigeonreach.entry._peers import FAR_HEARTBEAT_S, ZONE_HEARTBEAT_S

_DAY_S: Final = 86_400
_US_PER_S: Final = 1_000_000
_MEBIBYTE: Final = 1024 * 1024
_MAINTENANCE_DAYS: Final = 42
_VM_STEPS: Final = 6
"""Number of state changes stored for the maintenance of one VM."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The planned size and layout of the fleet."""

    workers: int = 22_000
    zones: int = 11
    pools: int = 40
    entries_per_zone: int = 3
    changes_per_day: int = 29_000
    failures_per_day: int = 410
    restarts_per_day: int = 3200
    voters: int = 5

    @property
    def workers_per_zone(self) -> float:
        """Workers of one zone; each announces one target."""
        return self.workers / self.zones

    @property
    def entries(self) -> int:
        """All entries."""
        return self.zones * self.entries_per_zone

    @property
    def heartbeats_per_s(self) -> float:
        """Heartbeats that one entry sends and receives."""
        near = (self.entries_per_zone - 1) / ZONE_HEARTBEAT_S
        far = (self.entries - self.entries_per_zone) / FAR_HEARTBEAT_S
        return 2 * (near + far)

    @property
    def changes_per_s(self) -> float:
        """Mean rate of an operator's changes."""
        return self.changes_per_day / _DAY_S

    @property
    def wave_steps_per_s(self) -> float:
        """Mean rate of steps that the maintenance of VMs stores."""
        return self.workers / _MAINTENANCE_DAYS * _VM_STEPS / _DAY_S

    @property
    def vm_events_per_s(self) -> float:
        """Mean rate of stored VM events: failures, restarts, maintenance."""
        events = self.failures_per_day + self.restarts_per_day
        return events / _DAY_S + self.wave_steps_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what one daemon may use for control."""

    core_share: float = 0.03
    memory_bytes: float = 128 * _MEBIBYTE
    bytes_per_s: float = 6000
    control_vms: int = 33


@dataclasses.dataclass(frozen=True, slots=True)
class RoleNeed:
    """The needs of one daemon of a role at the planned size."""

    role: str
    count: int
    state: str
    messages_per_s: float
    bytes_per_s: float
    core_share: float
    memory_bytes: float
    mechanism: str

    def misfits(self, limits: Limits) -> Iterator[str]:
        """Iterate over the limits that the role exceeds."""
        if self.core_share > limits.core_share:
            yield f'processor {self.core_share / limits.core_share:.1f} x'
        if self.memory_bytes > limits.memory_bytes:
            yield f'memory {self.memory_bytes / limits.memory_bytes:.1f} x'
        if self.bytes_per_s > limits.bytes_per_s:
            yield f'bytes {self.bytes_per_s / limits.bytes_per_s:.1f} x'


def role_needs(measured: Measured, size: Size) -> list[RoleNeed]:
    """Return the needs of each role.

    Parameters
    ----------
    measured
        The slopes; a missing one raises ``KeyError``.
    size
        The planned size.

    Returns
    -------
    list of RoleNeed
        One for each role.
    """
    return [
        _entry(measured, size),
        _replica(measured, size),
        _manager(measured, size),
    ]


def announce_interval_s(size: Size) -> float:
    """Return how often a target announces itself at a size, in seconds."""
    return announce_after_s(int(size.workers_per_zone), size.entries_per_zone)


def _entry(measured: Measured, size: Size) -> RoleNeed:
    of = measured.median
    zone_rate = size.workers_per_zone / announce_interval_s(size)
    own_rate = zone_rate / size.entries_per_zone
    relayed_rate = zone_rate - own_rate
    # An entry relays its announcements to each peer and receives theirs.
    renewals_per_s = 2 * relayed_rate
    text_bytes = of('control_bytes.text_bytes')
    spent_us = (
        own_rate * of('capacity.announce_http_us')
        + relayed_rate * of('capacity.record_relay_us')
        + size.changes_per_s * of('control_bytes.entry_change_us')
    )
    return RoleNeed(
        role='entry',
        count=size.entries,
        state=(
            f'{size.workers_per_zone:.0f} records of its zone; '
            f'the text ({text_bytes / 1000:.0f} kB)'
        ),
        messages_per_s=(
            own_rate
            + renewals_per_s
            + size.heartbeats_per_s
            + size.changes_per_s
        ),
        bytes_per_s=(
            own_rate * of('capacity.announce_http_bytes')
            + renewals_per_s * of('capacity.renewal_bytes')
            + size.heartbeats_per_s * of('capacity.heartbeat_bytes')
            + size.changes_per_s * of('control_bytes.change_bytes')
            + of('control_bytes.entry_idle_bytes')
        ),
        core_share=(
            of('control_bytes.entry_idle_core_share') + spent_us / _US_PER_S
        ),
        memory_bytes=(
            of('capacity.entry_memory_bytes')
            + size.workers_per_zone * of('capacity.record_memory_bytes')
            + 2 * text_bytes
        ),
        mechanism=(
            'announcements paced by the entries, relayed in batches; '
            'contact of peers instead of short leases; deltas of the text'
        ),
    )


def _replica(measured: Measured, size: Size) -> RoleNeed:
    of = measured.median
    change_bytes = of('control_bytes.change_bytes')
    stored_per_s = size.changes_per_s + size.vm_events_per_s
    # A leader sends each change to the other voters; each replica feeds its
    # part of the entries.
    voters = size.voters - 1
    followers = size.entries / size.voters
    text_bytes = of('control_bytes.text_bytes')
    wave_bytes = size.workers / size.pools * of('capacity.wave_record_bytes')
    logged_bytes = of('capacity.logged_change_bytes') + of(
        'control_bytes.replica_change_bytes'
    )
    return RoleNeed(
        role='replica (leader)',
        count=size.voters,
        state=f'{size.workers} VM records, the text, history',
        messages_per_s=stored_per_s * (voters + followers),
        bytes_per_s=(
            stored_per_s * voters * logged_bytes
            + size.wave_steps_per_s * voters * wave_bytes
            + size.changes_per_s * followers * change_bytes
            + followers * of('control_bytes.entry_idle_bytes')
            + of('control_bytes.replica_idle_bytes')
        ),
        core_share=(
            of('control_bytes.replica_idle_core_share')
            + stored_per_s * of('control_bytes.replica_change_us') / _US_PER_S
        ),
        memory_bytes=(
            of('capacity.replica_memory_bytes')
            + size.workers * of('capacity.vm_record_bytes')
            + 2 * text_bytes
        ),
        mechanism=(
            'replicated log over 4 regions, group commit, snapshots; each '
            'replica feeds the entries near it'
        ),
    )


def _manager(measured: Measured, size: Size) -> RoleNeed:
    of = measured.median
    # One manager holds the lease and decides on waves for the whole fleet;
    # the others stand by, and each places the jobs of its own zone.
    events_per_s = size.vm_events_per_s
    # Each step of a VM stores the record of its whole wave; a wave over one
    # pool keeps that as small as operators can make it.
    wave_bytes = size.workers / size.pools * of('capacity.wave_record_bytes')
    return RoleNeed(
        role='manager (deciding)',
        count=size.zones,
        state=f'{size.workers} VMs, waves, leases',
        messages_per_s=events_per_s,
        bytes_per_s=size.wave_steps_per_s * wave_bytes,
        core_share=(
            of('capacity.manager_idle_core_share')
            + events_per_s
            * of('planner.22000 VMs: one event, against a full plan')
            / _US_PER_S
        ),
        memory_bytes=(
            of('capacity.manager_memory_bytes')
            + size.workers * of('planner.22000 VMs: memory')
        ),
        mechanism=(
            'one decides under a lease with a rising token; a change feed '
            'of the platform; decisions of constant cost'
        ),
    )
