"""Settings of the scheduler."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """Properties of the platform that the scheduler relies on.

    Attributes
    ----------
    move_s
        How long a VM is unavailable while it moves to another pool.  It is not
        rebooted for that.
    far_factor
        How much longer a task takes away from its data, or across racks.
    maintenance_s
        How long a VM is unavailable during its maintenance.
    stop_s
        How long a run may continue after its worker was told to stop it.
    unavailable_after_s
        How long a serving task may be down before it counts as unavailable,
        unless an order ended it.
    shares_shortage
        Whether late work makes way for work that can be in time while there
        are fewer VMs than all work needs.
    keeps_jobs_in_zones
        Whether the tasks of a batch job preferably run in one zone.
    """

    move_s: float = 1.5
    far_factor: float = 1.0
    maintenance_s: float = 2.0
    stop_s: float = 0.4
    unavailable_after_s: float = 4.5
    shares_shortage: bool = True
    keeps_jobs_in_zones: bool = False
