"""Fill the pools that lack VMs, in one round of planning."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from wigeonreach.scheduling._backlog import ANY_LABEL
from wigeonreach.scheduling.pooling._pool_vms import PoolVms
from wigeonreach.scheduling.pooling._reservations import (
    PoolState,
    Reservations,
    move_reason,
)
from wigeonreach.scheduling.shortage import EmptyingVm


class PoolFilling:
    """Reserves VMs for the pools that lack some.

    Parameters
    ----------
    reservations
        Receives the reserved VMs.
    vms
        Standby and moving VMs.
    excluded_vms
        VMs that must not move.
    now_s
        Clock in seconds.
    """

    def __init__(
        self,
        reservations: Reservations,
        vms: PoolVms,
        excluded_vms: Collection[str],
        now_s: float,
    ) -> None:
        """Prepare; nothing is reserved yet."""
        self._reservations = reservations
        self._vms = vms
        self._excluded_vms = excluded_vms
        self._now_s = now_s

    def fill(self, pools: Mapping[str, PoolState]) -> None:
        """Reserve VMs that stand idle, for the largest shortage first."""
        for pool in self._by_shortage(pools):
            # VMs with labels go first, as they also count toward the total.
            for label in (*pool.required.by_label, ANY_LABEL):
                self._reserve_idle(pool, pools, label)

    def fill_from_busy(
        self,
        pools: Mapping[str, PoolState],
        candidates: Mapping[str, list[EmptyingVm]],
    ) -> list[EmptyingVm]:
        """Reserve VMs of pools with too many, which have to be emptied first.

        Parameters
        ----------
        pools
            The pools, with the VMs that each of them is to have.
        candidates
            The VMs of each pool that may be emptied, in order of preference.

        Returns
        -------
        list of EmptyingVm
            The VMs that were reserved.
        """
        taken: list[EmptyingVm] = []
        for pool in self._by_shortage(pools):
            for label in (*pool.required.by_label, ANY_LABEL):
                taken.extend(self._reserve_busy(pool, pools, candidates, label))
        return taken

    def _by_shortage(self, pools: Mapping[str, PoolState]) -> list[PoolState]:
        return sorted(
            pools.values(),
            key=lambda pool: (
                self._reservations.count(pool) - pool.required.total
            ),
        )

    def _reserve_idle(
        self,
        pool: PoolState,
        pools: Mapping[str, PoolState],
        label: str,
    ) -> None:
        """Reserve VMs with a label that a pool lacks, if any can be spared."""
        for _ in range(self._missing(pool, label)):
            vm = self._donor(pool, pools, label)
            if vm is None:
                return
            reason = move_reason(pool, self._reservations.count(pool), label)
            self._reservations.add(vm, pool.name, self._now_s, reason)

    def _reserve_busy(
        self,
        pool: PoolState,
        pools: Mapping[str, PoolState],
        candidates: Mapping[str, list[EmptyingVm]],
        label: str,
    ) -> list[EmptyingVm]:
        taken: list[EmptyingVm] = []
        for _ in range(self._missing(pool, label)):
            found = self._busy_donor(pool, pools, candidates, label)
            if found is None:
                break
            giver, vm = found
            candidates[giver].remove(vm)
            needs = move_reason(pool, self._reservations.count(pool), label)
            reason = f'{needs}; {giver} runs only late work on it'
            self._reservations.add_busy(vm.vm, pool.name, self._now_s, reason)
            taken.append(vm)
        return taken

    def _busy_donor(
        self,
        receiver: PoolState,
        pools: Mapping[str, PoolState],
        candidates: Mapping[str, list[EmptyingVm]],
        label: str,
    ) -> tuple[str, EmptyingVm] | None:
        """Return the first fitting VM of a pool with more than its share."""
        offers = (
            (name, vm)
            for name, vms in candidates.items()
            if name != receiver.name and self._has_surplus(pools[name])
            for vm in vms
            if not label or label in self._vms.labels(vm.vm)
        )
        return next(offers, None)

    def _has_surplus(self, pool: PoolState) -> bool:
        return self._reservations.count(pool) > pool.required.total

    def _missing(self, pool: PoolState, label: str) -> int:
        """Return how many VMs with a label, or in total, a pool lacks."""
        if not label:
            lacks = pool.required.total - self._reservations.count(pool)
            return max(lacks, 0)
        has = self._vms.count_labels(self._reservations.vms_of(pool))
        return max(pool.required.by_label[label] - has[label], 0)

    def _donor(
        self,
        receiver: PoolState,
        pools: Mapping[str, PoolState],
        label: str,
    ) -> str | None:
        """Return a VM with a label that can be spared for a pool, or None."""
        spare = [
            vm
            for pool in pools.values()
            if pool.name != receiver.name and self._has_surplus(pool)
            for vm in self._reservations.idle_vms(pool)
        ]
        reserved = self._reservations.reserved
        standby = self._vms.standby.difference(self._excluded_vms, reserved)
        return self._best_match(spare, receiver, label) or self._best_match(
            standby, receiver, label
        )

    def _best_match(
        self,
        vms: Iterable[str],
        pool: PoolState,
        label: str,
    ) -> str | None:
        """Return the VM with a label that has most of the required labels.

        A VM in a zone without heartbeats comes last: the zone may be cut off,
        and the VM of no use.
        """
        fitting = [
            vm for vm in vms if not label or label in self._vms.labels(vm)
        ]
        fitting.sort(
            key=lambda vm: (
                not self._vms.is_reachable(vm),
                -self._matching_labels(vm, pool),
                vm,
            ),
        )
        return next(iter(fitting), None)

    def _matching_labels(self, vm: str, pool: PoolState) -> int:
        """Return how many of the labels required by a pool a VM has."""
        return sum(
            label in pool.required.by_label for label in self._vms.labels(vm)
        )
