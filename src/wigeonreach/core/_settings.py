"""Settings of a core process."""

from __future__ import annotations

import dataclasses
import pathlib

from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.wire import Address


@dataclasses.dataclass(frozen=True, slots=True)
class CoreSettings:
    """Identity and configuration of a core process.

    Attributes
    ----------
    listen
        Address for the other processes.
    seeds
        Names of some core processes.
    is_first_start
        Whether the whole system starts for the first time; only then may the
        seeds found a new cluster without existing state.
    tolerated_losses
        Number of disks that may be lost at the same time.
    api_port
        Port for workers, the same on all core processes; 0 if there is none
        because workers find the leader by themselves.
    order_pause_s
        Minimum time between the last order of one leader for a VM and the
        first order of another leader for it.
    scheduling
        Settings of the scheduler.
    advertised
        Address at which the others reach it, if that is not ``listen``.
    """

    listen: Address
    zone: str
    seeds: tuple[str, ...]
    data_folder: pathlib.Path
    is_first_start: bool
    tolerated_losses: int
    api_port: int
    order_pause_s: float
    scheduling: SchedulingSettings
    advertised: Address | None = None

    @property
    def name(self) -> str:
        """Name of the process: the address at which the others reach it."""
        return str(self.advertised or self.listen)

    @property
    def voter_target(self) -> int:
        """Number of voters that keep a majority after the tolerated losses."""
        return 2 * self.tolerated_losses + 1
