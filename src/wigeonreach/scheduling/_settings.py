"""Settings of what decides."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """What is known of the platform beforehand.

    Attributes
    ----------
    move_s
        How long a VM is away while it moves to another pool; a VM that only
        changes its pool is not rebooted.
    far_factor
        How much longer work takes away from its data, or on several racks.
    maintained_s
        How long a VM is away for its maintenance.
    stop_s
        How long a run may go on after it was told to stop.
    notice_s
        For how long a serving task is not at work before it counts as away,
        unless an order ended it.
    """

    move_s: float = 1.5
    far_factor: float = 1.0
    maintained_s: float = 2.0
    stop_s: float = 0.4
    notice_s: float = 4.5
