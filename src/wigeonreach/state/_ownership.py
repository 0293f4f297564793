"""Choose the next command that moves a VM to another pool."""

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
    """Return the next command of a move.

    Parameters
    ----------
    record
        The VM's record in the replicated state; None if it has none because
        no pool ever owned the VM.
    wanted
        The grant that completes the move.
    now_s
        Unix time in seconds.

    Returns
    -------
    GrantVm, ReleaseVm or None
        None if the move is complete, or has to wait until the owner confirms
        the release or its lease expires.
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
