"""Settings of a core process."""

from __future__ import annotations

import dataclasses
import pathlib

from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.wire import Address


@dataclasses.dataclass(frozen=True, slots=True)
class CoreSettings:
    """Who a core process is and how it finds the others.

    Attributes
    ----------
    listen
        Address for the other processes.
    seeds
        Names of some core processes.
    is_first_start
        Whether the whole system starts for the first time, so that there may
        be no state yet; only then may the seeds found one.
    tolerated_losses
        Disks that may be lost at once.
    api_port
        Port on which workers reach any core process; 0 if there is none, as
        workers find the leader by themselves.
    order_pause_s
        How long two holders' orders for one VM must be apart.
    scheduling
        What decisions about workers and VMs go by.
    advertised
        Address at which the others reach it, where that is not ``listen``.
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
        """Voters of whom so many losses leave a majority."""
        return 2 * self.tolerated_losses + 1
