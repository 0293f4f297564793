"""Decide what may be moved, drained and rebooted, without any I/O."""

from wigeonreach.fleet._inventory import Inventory
from wigeonreach.fleet._model import (
    PoolNeed,
    Vm,
    VmState,
    pool_needs,
    widest,
)

__all__ = (
    'Inventory',
    'PoolNeed',
    'Vm',
    'VmState',
    'pool_needs',
    'widest',
)
