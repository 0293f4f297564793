"""Tell whether a workspace's cap lets something start."""

from __future__ import annotations

import msgspec

from wigeonreach.workspaces._amounts import Amounts


def fits_cap(
    cap: Amounts,
    used: Amounts,
    need: Amounts,
    one_task: Amounts,
) -> bool:
    """Whether a start keeps a workspace within its cap.

    What is left of a cap may be too little for ever for a task that is larger than
    half of it.  While less than half is used, one task may go beyond it.

    Parameters
    ----------
    cap
        Of the workspace; 0 for no limit.
    used
        What it has running, or may have.
    need
        What would start.
    one_task
        One task of it.
    """
    told = (cap, used, need, one_task)
    limits = list(zip(*map(msgspec.structs.astuple, told), strict=True))
    if all(_is_within(*limit) for limit in limits):
        return True
    return all(_is_half_free(*limit) for limit in limits)


def _is_within(most: int, has: int, more: int, one_task: int) -> bool:
    return not most or not more or has + more <= most


def _is_half_free(most: int, has: int, more: int, one_task: int) -> bool:
    if not most or not more:
        return True
    return has * 2 < most and has + more <= most + one_task
