"""Commands, reports, effects and durable state of maintenance waves."""

from __future__ import annotations

import dataclasses
import enum

from wigeonreach.fleet._waves_chart import EffectKind, Phase, VmEvent


class WaveStatus(enum.StrEnum):
    """Status of a wave; only a running one starts further VMs."""

    RUNNING = 'running'
    PAUSED = 'paused'
    HALTED = 'halted'
    STOPPED = 'stopped'
    DONE = 'done'


@dataclasses.dataclass(frozen=True, slots=True)
class WaveSettings:
    """Limits of waves.

    Attributes
    ----------
    max_at_once
        Largest number of VMs of one wave that are in any phase from draining
        to settling at the same time.
    halt_failures, halt_window
        A wave halts after `halt_failures` failures among its last
        `halt_window` results, or on a failure with no success among them.
    drain_limit_s, reboot_limit_s, check_limit_s
        Timeouts of the phases, in seconds.
    settle_s
        Length of the settling phase, in seconds.
    resend_s
        Interval at which the effects of a phase are sent again, in seconds.
    expected_s
        Typical downtime of a VM, in seconds; a drain that leaves promised
        slots missing needs this much time in the budget.
    """

    max_at_once: int = 20
    halt_failures: int = 3
    halt_window: int = 20
    drain_limit_s: float = 900.0
    reboot_limit_s: float = 600.0
    check_limit_s: float = 180.0
    settle_s: float = 300.0
    resend_s: float = 60.0
    expected_s: float = 900.0

    def limit_s(self, phase: Phase) -> float:
        """Return the longest stay in a phase, in seconds."""
        return {
            Phase.DRAINING: self.drain_limit_s,
            Phase.REBOOTING: self.reboot_limit_s,
            Phase.CHECKING: self.check_limit_s,
            Phase.SETTLING: self.settle_s,
        }[phase]


@dataclasses.dataclass(frozen=True, slots=True)
class StartWave:
    """Start maintenance of VMs; ignored if the wave id is known."""

    command_id: str
    wave_id: str
    vms: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PauseWave:
    """Start no further VMs; those already started are finished."""

    command_id: str
    wave_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeWave:
    """Start further VMs again, also after the wave halted by itself."""

    command_id: str
    wave_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopWave:
    """End the wave; VMs that are still draining are put back in service."""

    command_id: str
    wave_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainProgress:
    """Work remaining on a draining VM."""

    vm: str
    in_flight: int
    open_checkpoints: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmReport:
    """Event of a VM, reported by the platform.

    Attributes
    ----------
    operation_id
        The operation that the report answers; empty for unsolicited reports,
        such as a loss.
    """

    vm: str
    event: VmEvent
    operation_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class VmBack:
    """A lost VM is serving again."""

    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


Message = (
    StartWave
    | PauseWave
    | ResumeWave
    | StopWave
    | DrainProgress
    | VmReport
    | VmBack
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class WaveEffect:
    """Request to the platform.

    Attributes
    ----------
    operation_id
        Idempotency key: the same in each resend, so that the platform
        executes the request once.
    """

    kind: EffectKind
    vm: str
    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Track:
    """Progress of one VM in a wave.

    Attributes
    ----------
    attempt
        Number of grants so far; part of the operation ids.
    since_s
        Time at which the VM entered the phase, in seconds.
    """

    vm: str
    phase: Phase = Phase.WAITING
    attempt: int = 0
    since_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaveState:
    """Durable state of a wave.

    Attributes
    ----------
    results
        The most recent results, newest last; True for a maintained VM.
    successes
        VMs maintained since the last failure, by pool; the step size grows
        with them.
    commands
        Ids of the most recent commands, for deduplication.
    """

    wave_id: str
    status: WaveStatus
    reason: str
    tracks: tuple[Track, ...]
    results: tuple[bool, ...]
    successes: tuple[tuple[str, int], ...]
    commands: tuple[str, ...]
