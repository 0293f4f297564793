"""Data model of a workspace."""

from __future__ import annotations

import msgspec

from wigeonreach.workspaces._amounts import NO_AMOUNTS, Amounts
from wigeonreach.workspaces._credentials import Credential


class WorkspaceSpec(msgspec.Struct, frozen=True, array_like=True):
    """A workspace: shared API keys, a share of the workers and a cap.

    Attributes
    ----------
    credentials
        Any of them identifies the workspace.
    weight
        Its share when all workers are busy, and the rate in jobs per second
        that it is entitled to.
    cap
        Limit of the resources it uses on all workers; 0 for no limit.
    """

    name: str
    credentials: tuple[Credential, ...] = ()
    weight: int = 0
    cap: Amounts = NO_AMOUNTS
