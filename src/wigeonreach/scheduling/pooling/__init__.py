"""Size the VM pools, and move VMs between them."""

from wigeonreach.scheduling.pooling._pool_needs import (
    WORK_HORIZON_S,
    ServingNeed,
)
from wigeonreach.scheduling.pooling._pool_vms import Move
from wigeonreach.scheduling.pooling._pools import PoolPlanner

__all__ = ('WORK_HORIZON_S', 'Move', 'PoolPlanner', 'ServingNeed')
