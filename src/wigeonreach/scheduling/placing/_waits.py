"""How long tasks wait for better workers than those with capacity."""

from __future__ import annotations

from collections.abc import Iterable

from wigeonreach.scheduling.placing._worker_capacity import WorkerCapacity

# Users expect a task to start within 3 s where there is capacity for it, and the
# order takes up to a heartbeat interval (0.8 s) to arrive.
MAX_WAIT_S = 1.5
# They expect it only where at most this share of the capacity is in use.
_BUSY_RATIO = 0.5


def is_busy(workers: Iterable[WorkerCapacity]) -> bool:
    """Whether most of the capacity of workers is in use."""
    free = 0.0
    total = 0.0
    for worker in workers:
        free += worker.free.processors
        total += worker.incarnation.resources.processors
    return free < total * (1 - _BUSY_RATIO)
