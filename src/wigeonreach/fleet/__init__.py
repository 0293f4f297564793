"""Decide what may be moved, drained and rebooted, without any I/O."""

from wigeonreach.fleet._budget import ALLOWED, Budgets, Refusal, Verdict
from wigeonreach.fleet._budget_limits import (
    Shortfall,
    find_shortfalls,
    spare_slots,
)
from wigeonreach.fleet._budget_parts import (
    ZonePart,
    acknowledge,
    held_slots,
    offer,
    split,
)
from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import (
    PoolNeed,
    Vm,
    VmState,
    pool_needs,
    widest,
)

__all__ = (
    'ALLOWED',
    'Budgets',
    'Inventory',
    'PoolNeed',
    'Refusal',
    'Shortfall',
    'Verdict',
    'Vm',
    'VmState',
    'ZonePart',
    'acknowledge',
    'find_shortfalls',
    'held_slots',
    'offer',
    'pool_needs',
    'spare_slots',
    'split',
    'widest',
)
