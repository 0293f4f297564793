"""Keep what each workspace has running."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonreach.workspaces._amounts import NO_AMOUNTS, Amounts


class UseBook:
    """The sum of what the tasks of each workspace take.

    It is kept by changes, so that a start costs no walk over what runs.
    """

    def __init__(self) -> None:
        """Have nothing running."""
        self._used: dict[str, Amounts] = {}

    @property
    def by_workspace(self) -> Mapping[str, Amounts]:
        """What each workspace with anything has."""
        return self._used

    def used(self, workspace: str) -> Amounts:
        """Return what a workspace has."""
        return self._used.get(workspace, NO_AMOUNTS)

    def add(self, workspace: str, need: Amounts) -> None:
        """Count a task in; one of no workspace is not counted."""
        if workspace:
            self._set(workspace, self.used(workspace) + need)

    def remove(self, workspace: str, need: Amounts) -> None:
        """Count a task out."""
        if workspace:
            self._set(workspace, self.used(workspace) - need)

    def clear(self) -> None:
        """Count nothing."""
        self._used.clear()

    def _set(self, workspace: str, amounts: Amounts) -> None:
        if amounts == NO_AMOUNTS:
            self._used.pop(workspace, None)
        else:
            self._used[workspace] = amounts
