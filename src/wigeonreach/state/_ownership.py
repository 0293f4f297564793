"""Decide the next step that brings a VM to the pool that shall own it."""

from __future__ import annotations

from wigeonreach.charts import load_chart
from wigeonreach.wire._command_messages import GrantVm, ReleaseVm
from wigeonreach.wire._state_messages import VmRecord

_CHART = load_chart('vm_ownership')


def next_step(
    record: VmRecord | None,
    wanted: GrantVm,
    now_s: float,
) -> GrantVm | ReleaseVm | None:
    """Return the command that comes next in a move.

    Parameters
    ----------
    record
        Who owns the VM, as the state told; None if no pool ever did.
    wanted
        The grant that ends the move.
    now_s
        Unix time in seconds.

    Returns
    -------
    GrantVm, ReleaseVm or None
        None if the move is done, or has to wait until the owner confirms or
        its lease ends.
    """
    if record is None:
        return wanted
    if _CHART.step(record.phase, 'grant') is not None:
        return wanted
    if _CHART.step(record.phase, 'expire') is not None:
        return wanted if record.lease_ends_s <= now_s else None
    if record.pool == wanted.pool:
        return None
    return ReleaseVm(record.vm, record.token)
