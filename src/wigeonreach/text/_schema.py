"""Schemas that validate the structure of a configuration text."""

from __future__ import annotations

from typing import Annotated

import pydantic

from wigeonreach.text._model import FailureDomain, ServiceMode

Name = Annotated[
    str,
    pydantic.StringConstraints(pattern='^[a-z][a-z0-9-]{0,62}$'),
]
Ratio = Annotated[float, pydantic.Field(ge=0, le=1)]
PositiveSeconds = Annotated[float, pydantic.Field(gt=0)]
DAY_S = 86_400.0


class _StrictModel(pydantic.BaseModel):
    """Base of all schemas; rejects unknown keys."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class FleetSchema(_StrictModel):
    """The ``[fleet]`` table."""

    name: Name
    guard: frozenset[FailureDomain] = frozenset(FailureDomain)


class BudgetSchema(_StrictModel):
    """The ``[services.NAME.budget]`` table."""

    missing_ratio: Ratio = 0.25
    missing_s: Annotated[float, pydantic.Field(ge=0)] = 3600.0
    window_s: PositiveSeconds = DAY_S


class ServiceSchema(_StrictModel):
    """One ``[services.NAME]`` table."""

    mode: ServiceMode = ServiceMode.MANAGED
    depends_on: tuple[Name, ...] = ()
    pool: Name | None = None
    promised_slots: Annotated[int, pydantic.Field(ge=0)] = 0
    guard: frozenset[FailureDomain] | None = None
    deferrable_ratio: Ratio = 0.0
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=60)] = 2.0
    idempotent_methods: frozenset[str] = frozenset(('GET', 'HEAD'))
    retry_ratio: Ratio = 0.1
    budget: BudgetSchema = BudgetSchema()


class PoolSchema(_StrictModel):
    """One ``[pools.NAME]`` table."""

    vms: tuple[str, ...] = ()


class TeamSchema(_StrictModel):
    """One ``[teams.NAME]`` table."""

    weight: Annotated[float, pydantic.Field(gt=0)] = 1.0
    quota_processors: Annotated[float, pydantic.Field(ge=0)] = 0.0
    urgent_ratio: Ratio = 0.2


class MaintenanceSchema(_StrictModel):
    """The ``[maintenance]`` table."""

    period_s: PositiveSeconds = 42 * DAY_S
    window_start_s: Annotated[float, pydantic.Field(ge=0, lt=DAY_S)] = 0.0
    window_length_s: Annotated[float, pydantic.Field(gt=0, le=DAY_S)] = DAY_S


class TextSchema(_StrictModel):
    """The whole text."""

    fleet: FleetSchema
    maintenance: MaintenanceSchema = MaintenanceSchema()
    services: dict[Name, ServiceSchema] = {}
    pools: dict[Name, PoolSchema] = {}
    teams: dict[Name, TeamSchema] = {}
