"""Size the pools while there are fewer VMs than the work of all needs."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Mapping

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling.pooling._pool_needs import RequiredVms
from wigeonreach.scheduling.pooling._reservations import PoolState
from wigeonreach.scheduling.shortage import (
    EmptyingVm,
    OccurrenceId,
    emptying_order,
    emptying_vm,
    fair_shares,
    late_share,
)


def pools_with_shares(
    pools: Mapping[str, PoolState],
    in_time: Mapping[str, PoolState],
    vms: int,
) -> dict[str, PoolState]:
    """Return the pools with the VMs that they are to have at least.

    Parameters
    ----------
    pools
        The pools with the VMs that all their work needs.
    in_time
        The pools with the VMs that their work in time needs.
    vms
        Number of VMs that there are.
    """
    for_late = {
        name: late_share(pool.required.total - in_time[name].required.total)
        for name, pool in pools.items()
    }
    shares = fair_shares(
        {name: pool.required.total for name, pool in in_time.items()},
        vms - sum(for_late.values()),
    )
    return {
        name: dataclasses.replace(
            pool,
            required=_limited(pool.required, shares[name] + for_late[name]),
        )
        for name, pool in in_time.items()
    }


def busy_vms(
    pools: Mapping[str, PoolState],
    store: JobStore,
    late: Collection[OccurrenceId],
) -> dict[str, list[EmptyingVm]]:
    """Return the VMs of each pool that only run late work, best first.

    Parameters
    ----------
    pools
        The pools; workers of other services belong to none of them.
    store
        The replicated state, which tells what runs where.
    late
        Occurrences that can't be on time, or that are deferred.
    """
    return {
        name: sorted(
            (
                vm
                for worker in pool.incarnations
                if (vm := emptying_vm(worker, store, late)) is not None
            ),
            key=emptying_order,
        )
        for name, pool in pools.items()
    }


def _limited(required: RequiredVms, vms: int) -> RequiredVms:
    by_label = {
        label: min(needed, vms) for label, needed in required.by_label.items()
    }
    return RequiredVms(vms, by_label)
