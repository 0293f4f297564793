"""Resource use of each workspace."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonreach.workspaces._amounts import NO_AMOUNTS, Amounts


class WorkspaceUsage:
    """Sums of the resources that the tasks of each workspace use.

    The sums are updated incrementally, so that a start does not have to iterate
    over all running tasks.
    """

    def __init__(self) -> None:
        """Start with no resources in use."""
        self._used: dict[str, Amounts] = {}

    @property
    def by_workspace(self) -> Mapping[str, Amounts]:
        """Resources in use, for each workspace that uses any."""
        return self._used

    def used(self, workspace: str) -> Amounts:
        """Return the resources that a workspace uses."""
        return self._used.get(workspace, NO_AMOUNTS)

    def add(self, workspace: str, need: Amounts) -> None:
        """Add a task; one without a workspace is not counted."""
        if workspace:
            self._set(workspace, self.used(workspace) + need)

    def remove(self, workspace: str, need: Amounts) -> None:
        """Remove a task; one without a workspace is not counted."""
        if workspace:
            self._set(workspace, self.used(workspace) - need)

    def clear(self) -> None:
        """Reset all sums."""
        self._used.clear()

    def _set(self, workspace: str, amounts: Amounts) -> None:
        if amounts == NO_AMOUNTS:
            self._used.pop(workspace, None)
        else:
            self._used[workspace] = amounts
