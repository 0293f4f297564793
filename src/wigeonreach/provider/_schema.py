"""Schemas of the platform's responses."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from wigeonreach.provider._model import TaskView, VmPage, VmPhase, VmView

_Name = Annotated[str, pydantic.StringConstraints(min_length=1, max_length=99)]
_Count = Annotated[int, pydantic.Field(ge=0)]
_Amount = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class _Response(pydantic.BaseModel):
    """Base of the responses; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class VmSchema(_Response):
    """One VM in a response."""

    name: _Name
    zone: _Name
    rack: _Name
    phase: VmPhase
    slots: _Count
    processors: _Amount
    memory_bytes: _Count
    accelerators: _Count = 0
    in_flight: _Count = 0
    open_checkpoints: _Count = 0
    action_id: str = ''
    is_healthy: bool | None = None

    def view(self) -> VmView:
        """Convert to a plain ``VmView``."""
        return VmView(**self.model_dump())


class VmPageSchema(_Response):
    """Response to ``GET /v1/vms``."""

    request_id: str
    revision: _Count
    vms: tuple[VmSchema, ...]

    def page(self) -> VmPage:
        """Convert to a plain ``VmPage``."""
        return VmPage(self.revision, tuple(vm.view() for vm in self.vms))


class TaskSchema(_Response):
    """One task in a response."""

    job_id: _Name
    worker: _Name
    lease_token: _Count
    state: Literal['running', 'finished', 'failed', 'stopped', 'never']
    used_processors: _Amount = 0
    used_memory_bytes: _Amount = 0
    measured_at_s: _Amount = 0

    def view(self) -> TaskView:
        """Convert to a plain ``TaskView``."""
        return TaskView(**self.model_dump())


class TasksSchema(_Response):
    """Response to ``GET /v1/workers/NAME/tasks``."""

    request_id: str
    tasks: tuple[TaskSchema, ...]


class ActionSchema(_Response):
    """Response to an action."""

    request_id: str
    action_id: str
    subject: str
