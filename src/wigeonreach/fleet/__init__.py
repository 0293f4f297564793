"""Plan moves, drains and reboots of VMs and place jobs, without I/O."""

from wigeonreach.fleet._budget import ALLOWED, Budgets, Decision, Refusal
from wigeonreach.fleet._budget_limits import (
    Shortfall,
    find_shortfalls,
    pool_part_slots,
    spare_slots,
)
from wigeonreach.fleet._budget_parts import (
    ZonePart,
    acknowledge,
    held_slots,
    offer,
    split,
)
from wigeonreach.fleet._buffer import (
    BufferSize,
    BufferWay,
    FleetShape,
    size_buffer,
)
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import (
    PoolNeed,
    Vm,
    VmState,
    pool_needs,
    widest_domain,
)
from wigeonreach.fleet._moves_model import (
    UNDAMPED,
    MoveCause,
    MoveEnded,
    MoveRecord,
    MoveSettings,
    UsageReport,
    VmChanged,
    VmWork,
    WantSpare,
)
from wigeonreach.fleet._moves_planner import MovePlanner
from wigeonreach.fleet._waves_chart import EffectKind, Phase, VmEvent
from wigeonreach.fleet._waves_gates import Gate, ZonePartGate
from wigeonreach.fleet._waves_model import (
    DrainProgress,
    PauseWave,
    ResumeWave,
    StartWave,
    StopWave,
    Tick,
    Track,
    VmBack,
    VmReport,
    WaveEffect,
    WaveSettings,
    WaveState,
    WaveStatus,
)
from wigeonreach.fleet._waves_planner import WavePlanner
from wigeonreach.fleet._waves_wave import Wave, merge_states

__all__ = (
    'ALLOWED',
    'Budgets',
    'BufferSize',
    'BufferWay',
    'Decision',
    'DrainProgress',
    'EffectKind',
    'FleetShape',
    'Gate',
    'Inventory',
    'MoveCause',
    'MoveEnded',
    'MovePlanner',
    'MoveRecord',
    'MoveSettings',
    'PauseWave',
    'Phase',
    'PoolNeed',
    'Refusal',
    'ResumeWave',
    'Shortfall',
    'StartWave',
    'StopWave',
    'Tick',
    'Track',
    'UNDAMPED',
    'UsageReport',
    'Vm',
    'VmBack',
    'VmChanged',
    'VmEvent',
    'VmReport',
    'VmState',
    'VmWork',
    'WantSpare',
    'Wave',
    'WaveEffect',
    'WavePlanner',
    'WaveSettings',
    'WaveState',
    'WaveStatus',
    'ZonePart',
    'ZonePartGate',
    'acknowledge',
    'find_shortfalls',
    'held_slots',
    'merge_states',
    'offer',
    'pool_needs',
    'pool_part_slots',
    'size_buffer',
    'spare_slots',
    'split',
    'widest_domain',
)
