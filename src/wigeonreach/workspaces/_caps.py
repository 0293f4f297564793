"""Check starts against the cap of a workspace."""

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

    A task larger than half of the cap could otherwise wait forever, as the free
    part may never be large enough.  So while less than half of the cap is used,
    a start may exceed the cap by up to one task.

    Parameters
    ----------
    cap
        Cap of the workspace; 0 for no limit.
    used
        Resources that count as used by the workspace.
    need
        Resources of all tasks that are started together.
    one_task
        Resources of one of these tasks.
    """
    amounts = (cap, used, need, one_task)
    limits = list(zip(*map(msgspec.structs.astuple, amounts), strict=True))
    if all(_fits_exactly(*limit) for limit in limits):
        return True
    return all(_fits_with_overshoot(*limit) for limit in limits)


def _fits_exactly(cap: int, used: int, need: int, one_task: int) -> bool:
    return not cap or not need or used + need <= cap


def _fits_with_overshoot(cap: int, used: int, need: int, one_task: int) -> bool:
    if not cap or not need:
        return True
    return used * 2 < cap and used + need <= cap + one_task
