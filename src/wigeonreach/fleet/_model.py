"""Immutable data classes of VMs and of the capacity that pools need."""

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
    """Operational state of a VM."""

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
        Name, unique in the fleet.
    zone, rack
        Failure domains of the VM; a rack belongs to exactly one zone.
    pool
        The only pool whose work the VM accepts.
    state
        Operational state; only a serving VM counts as capacity.
    slots
        Requests or tasks that the VM serves concurrently.
    processors, memory_bytes, accelerators
        Resources that its worker offers to jobs.
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
        """Whether this system took the VM down for maintenance or a move."""
        return self.state in _MAINTAINED_STATES

    def domain(self, kind: FailureDomain) -> str:
        """Return the name of the VM's failure domain of the given kind."""
        if kind is FailureDomain.ZONE:
            return self.zone
        if kind is FailureDomain.RACK:
            return f'{self.zone}/{self.rack}'
        return self.name


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNeed:
    """Capacity that the services of one pool need together.

    Attributes
    ----------
    slots
        Sum of the slots promised by the services.
    min_slots
        Slots below which the strictest budget is violated immediately.
    deferrable_slots
        Part of ``slots`` whose work can wait while a domain is lost.
    services
        Names of the services of the pool.
    guard
        Widest failure domain whose loss must be survived, if any.
    is_watched
        Whether another system still operates some service of the pool, so
        that none of its VMs may be drained or moved.
    """

    pool: str
    slots: int
    min_slots: float
    deferrable_slots: float
    services: tuple[str, ...]
    guard: FailureDomain | None
    is_watched: bool

    @property
    def guarded_slots(self) -> float:
        """Slots that must remain while a domain is lost and some work waits."""
        return self.slots - self.deferrable_slots

    def guards(self, kind: FailureDomain) -> bool:
        """Return whether the loss of one domain of this kind is guarded.

        A wider guard includes the narrower ones, because a rack belongs to
        one zone and a VM to one rack.
        """
        if self.guard is None:
            return False
        width = _DOMAINS_BY_WIDTH.index
        return width(self.guard) <= width(kind)


def widest_domain(kinds: Iterable[FailureDomain]) -> FailureDomain | None:
    """Return the widest of the given failure domains, or None if empty."""
    found = frozenset(kinds)
    return next((kind for kind in _DOMAINS_BY_WIDTH if kind in found), None)


def pool_needs(text: FleetText) -> Mapping[str, PoolNeed]:
    """Return the capacity that each pool needs, by pool name.

    Parameters
    ----------
    text
        The validated configuration text in force.

    Returns
    -------
    Mapping[str, PoolNeed]
        Includes pools without services, which need no capacity.
    """
    services: dict[str, list[Service]] = {name: [] for name in text.pools}
    for service in text.services.values():
        if service.pool is not None:
            services[service.pool].append(service)
    return MappingProxyType(
        {
            pool: _pool_need(pool, members, text.guards)
            for pool, members in services.items()
        }
    )


def _pool_need(
    pool: str,
    services: list[Service],
    fleet_guards: frozenset[FailureDomain],
) -> PoolNeed:
    slots = sum(service.promised_slots for service in services)
    # Services of a pool share its VMs, so the strictest ratio applies to all.
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
        min_slots=slots * (1 - missing_ratio),
        deferrable_slots=sum(
            service.promised_slots * service.deferrable_ratio
            for service in services
        ),
        services=tuple(service.name for service in services),
        guard=widest_domain(kind for some in guards for kind in some),
        is_watched=any(
            service.mode is ServiceMode.WATCHED for service in services
        ),
    )
