"""Index of workspaces by name and credential."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from wigeonreach.workspaces._credentials import Credential
from wigeonreach.workspaces._model import WorkspaceSpec

# Withdrawn credentials are remembered, up to this number, so that a denial can
# distinguish a withdrawn credential from an unknown one.
_MAX_WITHDRAWN = 4096


class Denial(enum.StrEnum):
    """Why a credential identifies no workspace."""

    MISSING = 'no-credential'
    UNKNOWN = 'unknown-credential'
    WITHDRAWN = 'withdrawn-credential'


class WorkspaceIndex:
    """The workspaces of one manifest, by name and by credential.

    Parameters
    ----------
    workspaces
        All workspaces; None if no call needs a credential.
    before
        The previous index; its credentials that are no longer valid are
        remembered as withdrawn.
    """

    def __init__(
        self,
        workspaces: Iterable[WorkspaceSpec] | None = None,
        before: WorkspaceIndex | None = None,
    ) -> None:
        """Build the index."""
        self.requires_credentials = workspaces is not None
        self._by_name = {spec.name: spec for spec in workspaces or ()}
        self._owners = {
            credential: spec.name
            for spec in self._by_name.values()
            for credential in spec.credentials
        }
        self._withdrawn: dict[Credential, str] = {}
        if before is not None:
            self._remember_withdrawn(before.owners)

    @property
    def owners(self) -> Mapping[Credential, str]:
        """Workspace names by credential, including withdrawn credentials."""
        return {**self._withdrawn, **self._owners}

    def named(self, name: str) -> WorkspaceSpec | None:
        """Return the workspace of this name."""
        return self._by_name.get(name)

    def caller(self, credential: Credential, is_public: bool) -> str | None:
        """Return the name of the workspace that makes a call.

        Parameters
        ----------
        credential
            Credential of the call; empty if it has none.
        is_public
            Whether the queue of the call needs no credential.

        Returns
        -------
        str or None
            Empty for a call without a known credential where none is needed;
            None if one is needed and it identifies no workspace.
        """
        if is_public or not self.requires_credentials:
            return self._owners.get(credential, '')
        return self._owners.get(credential)

    def denial_reason(self, credential: Credential) -> tuple[Denial, str]:
        """Return why a credential is denied, and its former workspace."""
        if not credential:
            return Denial.MISSING, ''
        former = self._withdrawn.get(credential)
        if former is None:
            return Denial.UNKNOWN, ''
        return Denial.WITHDRAWN, former

    def _remember_withdrawn(self, before: Mapping[Credential, str]) -> None:
        withdrawn = [
            (credential, name)
            for credential, name in before.items()
            if credential not in self._owners
        ]
        self._withdrawn = dict(withdrawn[-_MAX_WITHDRAWN:])
