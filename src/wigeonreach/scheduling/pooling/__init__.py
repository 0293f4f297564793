"""Decide how many VMs each pool has, and which ones move."""

from wigeonreach.scheduling.pooling._pool_vms import Move
from wigeonreach.scheduling.pooling._pool_wants import FINISH_S
from wigeonreach.scheduling.pooling._pools import PoolPlanner

__all__ = ('FINISH_S', 'Move', 'PoolPlanner')
