"""Find the workspace that a call is of."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from wigeonreach.workspaces._credentials import Credential
from wigeonreach.workspaces._model import WorkspaceSpec

# Withdrawn credentials that are remembered, so that a refusal can be told from
# one of a stranger.
_MOST_WITHDRAWN = 4096


class Denial(enum.StrEnum):
    """Why a credential stands for no workspace."""

    MISSING = 'no-credential'
    UNKNOWN = 'unknown-credential'
    WITHDRAWN = 'withdrawn-credential'


class WorkspaceIndex:
    """The workspaces of one manifest, by name and by credential.

    Parameters
    ----------
    workspaces
        All of them; None if no call needs a credential.
    before
        Whose withdrawn credentials stay known.
    """

    def __init__(
        self,
        workspaces: Iterable[WorkspaceSpec] | None = None,
        before: WorkspaceIndex | None = None,
    ) -> None:
        """Sort the workspaces."""
        self.asks_credentials = workspaces is not None
        self._by_name = {spec.name: spec for spec in workspaces or ()}
        self._owners = {
            credential: spec.name
            for spec in self._by_name.values()
            for credential in spec.credentials
        }
        self._withdrawn: dict[Credential, str] = {}
        if before is not None:
            self._keep_withdrawn(before.owners)

    @property
    def owners(self) -> Mapping[Credential, str]:
        """Workspace names by credential, the withdrawn ones among them."""
        return {**self._withdrawn, **self._owners}

    def named(self, name: str) -> WorkspaceSpec | None:
        """Return a workspace by name."""
        return self._by_name.get(name)

    def caller(self, credential: Credential, is_public: bool) -> str | None:
        """Return whose call it is.

        Parameters
        ----------
        credential
            That came with it, or nothing.
        is_public
            Whether its queue takes calls from anybody.

        Returns
        -------
        str or None
            Nothing for a call that needs no credential; None for one whose
            credential stands for no workspace.
        """
        if is_public or not self.asks_credentials:
            return self._owners.get(credential, '')
        return self._owners.get(credential)

    def why_denied(self, credential: Credential) -> tuple[Denial, str]:
        """Return why a credential is refused, and whose it was."""
        if not credential:
            return Denial.MISSING, ''
        former = self._withdrawn.get(credential)
        if former is None:
            return Denial.UNKNOWN, ''
        return Denial.WITHDRAWN, former

    def _keep_withdrawn(self, before: Mapping[Credential, str]) -> None:
        gone = [
            (credential, name)
            for credential, name in before.items()
            if credential not in self._owners
        ]
        self._withdrawn = dict(gone[-_MOST_WITHDRAWN:])
