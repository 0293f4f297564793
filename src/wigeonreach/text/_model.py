"""Hold a checked operator's text as plain immutable data."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping


class FailureDomain(enum.StrEnum):
    """What may fail as a whole and must be survived."""

    VM = 'vm'
    RACK = 'rack'
    ZONE = 'zone'


class ServiceMode(enum.StrEnum):
    """Whether a service's VMs are acted on or only counted."""

    MANAGED = 'managed'
    WATCHED = 'watched'


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """How much of a service may be missing, and for how long."""

    missing_ratio: float
    missing_s: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service that callers ask for by name.

    Attributes
    ----------
    promised_slots
        Capacity promised.
    guards
        Failure domains that it must survive; None for those of the fleet.
    deferrable_ratio
        Share of the promised slots whose work can be throttled, or
        checkpointed and stopped, while a failure domain is lost.
    """

    name: str
    mode: ServiceMode
    depends_on: tuple[str, ...]
    pool: str | None
    promised_slots: int
    guards: frozenset[FailureDomain] | None
    deferrable_ratio: float
    deadline_s: float
    idempotent_methods: frozenset[str]
    retry_ratio: float
    budget: Budget


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A named group of VMs."""

    name: str
    vms: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Team:
    """A group of callers with a share and a quota."""

    name: str
    weight: float
    quota_processors: float
    urgent_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Maintenance:
    """When waves may run and how often each VM must be maintained."""

    period_s: float
    window_start_s: float
    window_length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetText:
    """The whole checked text."""

    name: str
    guards: frozenset[FailureDomain]
    maintenance: Maintenance
    services: Mapping[str, Service]
    pools: Mapping[str, Pool]
    teams: Mapping[str, Team]
