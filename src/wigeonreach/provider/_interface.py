"""Interface of the platform that the manager depends on."""

from __future__ import annotations

from typing import Protocol

from wigeonreach.provider._model import Action, TaskView, VmPage


class Platform(Protocol):
    """Operations that a platform must provide.

    Each call may raise ``PlatformError``. An action may then have taken
    effect or not, and is resent with the same id.
    """

    async def list_vms(self, after_revision: int) -> VmPage:
        """Return the VMs that changed after a revision; 0 for all."""

    async def list_tasks(self, worker: str) -> tuple[TaskView, ...]:
        """Return the tasks of a worker; their usage is reported late."""

    async def act(self, action: Action) -> None:
        """Request an action; its effect shows in later lists."""
