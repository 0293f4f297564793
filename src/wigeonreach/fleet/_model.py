"""Hold VMs and what each pool needs as plain immutable data."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from wigeonreach.text import FailureDomain, FleetText, Service, ServiceMode

_DOMAINS_BY_WIDTH = (
    FailureDomain.ZONE,
    FailureDomain.RACK,
    FailureDomain.VM,
)


class VmState(enum.StrEnum):
    """What a VM does for its pool."""

    SERVING = 'serving'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    CHECKING = 'checking'
    DOWN = 'down'
    QUARANTINED = 'quarantined'


_MAINTAINED_STATES = frozenset(
    (VmState.DRAINING, VmState.REBOOTING, VmState.CHECKING),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM, in exactly one pool.

    Attributes
    ----------
    name
        Unique in the fleet.
    zone, rack
        The failure domains it stands in; a rack stands in one zone.
    pool
        The only pool whose work it may get.
    state
        Only a serving VM counts as capacity.
    slots
        Requests or tasks that it serves at once.
    processors, memory_bytes, accelerators
        What its worker offers to jobs.
    """

    name: str
    zone: str
    rack: str
    pool: str
    state: VmState = VmState.SERVING
    slots: int = 8
    processors: float = 16.0
    memory_bytes: int = 32 * 1024**3
    accelerators: int = 0

    @property
    def is_up(self) -> bool:
        """Whether the VM counts as capacity."""
        return self.state is VmState.SERVING

    @property
    def is_maintained(self) -> bool:
        """Whether the VM is down because of this system's own action."""
        return self.state in _MAINTAINED_STATES

    def domain(self, kind: FailureDomain) -> str:
        """Return the name of the VM's failure domain of a kind."""
        if kind is FailureDomain.ZONE:
            return self.zone
        if kind is FailureDomain.RACK:
            return f'{self.zone}/{self.rack}'
        return self.name


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNeed:
    """What the services of one pool need of it together.

    Attributes
    ----------
    slots
        Sum of the capacity promised.
    least_slots
        Slots below which the strictest budget is broken at once.
    deferrable_slots
        Part of ``slots`` whose work can wait while a domain is lost.
    services
        Names of the services of the pool.
    guard
        The widest failure domain guarded against, if any.
    is_watched
        Whether some service is still run by others, so that no VM of the
        pool may be touched.
    """

    pool: str
    slots: int
    least_slots: float
    deferrable_slots: float
    services: tuple[str, ...]
    guard: FailureDomain | None
    is_watched: bool

    @property
    def guarded_slots(self) -> float:
        """What must be left while a domain is lost and some work waits."""
        return self.slots - self.deferrable_slots

    def guards(self, kind: FailureDomain) -> bool:
        """Return whether the loss of one domain of this kind is guarded.

        A wider guard includes the narrower ones, for a rack stands in one
        zone and a VM in one rack.
        """
        if self.guard is None:
            return False
        width = _DOMAINS_BY_WIDTH.index
        return width(self.guard) <= width(kind)


def widest(kinds: Iterable[FailureDomain]) -> FailureDomain | None:
    """Return the widest of some failure domains, or None of none."""
    found = frozenset(kinds)
    return next((kind for kind in _DOMAINS_BY_WIDTH if kind in found), None)


def pool_needs(text: FleetText) -> Mapping[str, PoolNeed]:
    """Return what each pool of a text must hold, by pool.

    Parameters
    ----------
    text
        The checked text in force.

    Returns
    -------
    Mapping[str, PoolNeed]
        Also the pools without services, which need nothing.
    """
    services: dict[str, list[Service]] = {name: [] for name in text.pools}
    for service in text.services.values():
        if service.pool is not None:
            services[service.pool].append(service)
    return MappingProxyType(
        {
            pool: _need(pool, members, text.guards)
            for pool, members in services.items()
        }
    )


def _need(
    pool: str,
    services: list[Service],
    fleet_guards: frozenset[FailureDomain],
) -> PoolNeed:
    slots = sum(service.promised_slots for service in services)
    # Services of a pool share its VMs, so the strictest ratio binds all.
    missing_ratio = min(
        (service.budget.missing_ratio for service in services),
        default=0.0,
    )
    guards = (
        fleet_guards if service.guards is None else service.guards
        for service in services
    )
    return PoolNeed(
        pool=pool,
        slots=slots,
        least_slots=slots * (1 - missing_ratio),
        deferrable_slots=sum(
            service.promised_slots * service.deferrable_ratio
            for service in services
        ),
        services=tuple(service.name for service in services),
        guard=widest(kind for some in guards for kind in some),
        is_watched=any(
            service.mode is ServiceMode.WATCHED for service in services
        ),
    )
