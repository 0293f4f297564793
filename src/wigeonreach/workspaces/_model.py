"""Describe a workspace."""

from __future__ import annotations

import msgspec

from wigeonreach.workspaces._amounts import NO_AMOUNTS, Amounts
from wigeonreach.workspaces._credentials import Credential


class WorkspaceSpec(msgspec.Struct, frozen=True, array_like=True):
    """Whoever shares API keys, a share of the workers and a cap.

    Attributes
    ----------
    credentials
        Any of them stands for it.
    weight
        Its share when all is full, and the jobs a second that it is owed.
    cap
        What it may have running over all workers; 0 for no limit.
    """

    name: str
    credentials: tuple[Credential, ...] = ()
    weight: int = 0
    cap: Amounts = NO_AMOUNTS
