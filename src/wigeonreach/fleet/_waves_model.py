"""Commands, reports, effects and durable state of maintenance waves."""

from __future__ import annotations

import dataclasses
import enum

from wigeonreach.fleet._waves_chart import EffectKind, Phase, VmEvent


class WaveStatus(enum.StrEnum):
    """Whether a wave takes new VMs."""

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
        Most VMs of one wave between drain and settling.
    halt_failures, halt_window
        A wave halts at so many failures among so many last results.
    limits_s
        Longest stay in a phase, by phase; of settling, its length.
    resend_s
        After this time in a phase its effect is sent again.
    expected_s
        For how long a VM is down as a rule; what the budget is asked for.
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
    """Maintain some VMs; a wave id that is known changes nothing."""

    command_id: str
    wave_id: str
    vms: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PauseWave:
    """Take no new VMs; those begun are finished."""

    command_id: str
    wave_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeWave:
    """Take new VMs again, also after the wave halted by itself."""

    command_id: str
    wave_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopWave:
    """Take no new VMs ever; VMs that only drain go back."""

    command_id: str
    wave_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainProgress:
    """What a draining VM still holds."""

    vm: str
    in_flight: int
    open_checkpoints: int


@dataclasses.dataclass(frozen=True, slots=True)
class VmReport:
    """What the platform says of a VM.

    Attributes
    ----------
    operation_id
        The operation that is answered; empty where the platform speaks of
        its own accord, as of a loss.
    """

    vm: str
    event: VmEvent
    operation_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class VmBack:
    """A VM that was lost serves again."""

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
    """What the platform is asked to do.

    Attributes
    ----------
    operation_id
        The same in each resend, so that the platform does it once.
    """

    kind: EffectKind
    vm: str
    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Track:
    """One VM's way through a wave.

    Attributes
    ----------
    attempt
        Grants so far; the operation ids of each attempt differ.
    since_s
        When it entered the phase.
    """

    vm: str
    phase: Phase = Phase.WAITING
    attempt: int = 0
    since_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaveState:
    """All that must survive a restart.

    Attributes
    ----------
    results
        The last results, newest last; True for a VM maintained.
    successes
        VMs maintained since the last failure, by pool; the step size grows
        with them.
    commands
        Ids of the last commands taken.
    """

    wave_id: str
    status: WaveStatus
    reason: str
    tracks: tuple[Track, ...]
    results: tuple[bool, ...]
    successes: tuple[tuple[str, int], ...]
    commands: tuple[str, ...]
