"""Schemas of the HTTP interface for jobs."""

from __future__ import annotations

from typing import Annotated

import msgspec
import pydantic

from wigeonreach._resources import Resources
from wigeonreach.fleet._placement_model import Job

_Name = Annotated[str, pydantic.StringConstraints(min_length=1, max_length=99)]
_Amount = Annotated[float, pydantic.Field(gt=0, allow_inf_nan=False)]
_MAX_CANCELLED = 10_000


class JobSchema(pydantic.BaseModel):
    """Body of ``POST /v1/jobs``."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    job_id: _Name
    team: _Name
    family: _Name
    pool: _Name
    processors: _Amount
    memory_bytes: _Amount
    accelerators: Annotated[int, pydantic.Field(ge=0)] = 0
    is_urgent: bool = False
    can_wait: bool = False
    is_idempotent: bool = True

    def job(self) -> Job:
        """Convert to the job model of placement."""
        return Job(
            job_id=self.job_id,
            team=self.team,
            family=self.family,
            pool=self.pool,
            declared=Resources(
                self.processors,
                self.memory_bytes,
                self.accelerators,
            ),
            is_urgent=self.is_urgent,
            can_wait=self.can_wait,
            is_idempotent=self.is_idempotent,
        )


class CancelSchema(pydantic.BaseModel):
    """Body of ``POST /v1/jobs/cancel``."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    job_ids: Annotated[
        tuple[_Name, ...],
        pydantic.Field(max_length=_MAX_CANCELLED),
    ]


class JobStatus(msgspec.Struct, frozen=True):
    """Response body of ``GET /v1/jobs/ID``."""

    job_id: str
    state: str
    worker: str
    reason: str
