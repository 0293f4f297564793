"""The narrow interface through which everything asks the platform."""

from __future__ import annotations

from typing import Protocol

from wigeonreach.provider._model import Action, TaskView, VmPage


class Platform(Protocol):
    """What the system needs of a platform.

    Each call may raise ``PlatformError``: the action may then have been done
    or not, and is sent again under the same id.
    """

    async def list_vms(self, after_revision: int) -> VmPage:
        """Return the VMs that changed after a revision; 0 for all."""

    async def list_tasks(self, worker: str) -> tuple[TaskView, ...]:
        """Return the tasks of a worker with their lagging usage."""

    async def act(self, action: Action) -> None:
        """Ask for an action; its effect shows in the lists."""
