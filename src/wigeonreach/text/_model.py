"""Immutable data classes for a checked configuration text."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping


class FailureDomain(enum.StrEnum):
    """Group of VMs that may fail together."""

    VM = 'vm'
    RACK = 'rack'
    ZONE = 'zone'


class ServiceMode(enum.StrEnum):
    """Whether the VMs of a service are managed or only counted."""

    MANAGED = 'managed'
    WATCHED = 'watched'


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """How much of a service may be unavailable, and for how long.

    Attributes
    ----------
    missing_ratio
        Share of the promised slots that may be missing.
    missing_s
        How long, within a window, the service or one that it depends on may
        lack slots.
    window_s
        Length of the window.
    """

    missing_ratio: float
    missing_s: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service that callers address by name.

    Attributes
    ----------
    promised_slots
        Capacity guaranteed to callers.
    guards
        Failure domains whose loss it must survive; None for the default of
        the fleet.
    deferrable_ratio
        Share of the promised slots whose tasks may be throttled, or
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
    """A group of callers with a weighted share and a quota."""

    name: str
    weight: float
    quota_processors: float
    urgent_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Maintenance:
    """Daily window of maintenance waves and the period between two of a VM."""

    period_s: float
    window_start_s: float
    window_length_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetText:
    """A whole checked configuration text."""

    name: str
    guards: frozenset[FailureDomain]
    maintenance: Maintenance
    services: Mapping[str, Service]
    pools: Mapping[str, Pool]
    teams: Mapping[str, Team]
