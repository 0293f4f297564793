"""Use the shares of a peer whose process is known to be gone."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Sequence

from wigeonreach.entry._credits import LEASE_S, home_share
from wigeonreach.entry._slots import SlotPool, TargetKey
from wigeonreach.wire._target_messages import TargetRecord


@dataclasses.dataclass(slots=True)
class Absence:
    """An unbroken run of refused connections to a peer."""

    since_s: float
    last_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PoolKey:
    peer: str
    target: TargetKey


class Takeover:
    """Shares of peers that refuse connections.

    A refused connection proves that no process listens, which silence does
    not.  The shares may be used from one lease and one longest run after the
    first refusal, when what the gone process lent or had in flight has
    ended.  A restarted peer waits as long before it uses them itself, counted
    from its start, and it refuses no connection from then on.

    Parameters
    ----------
    names
        All entries of the zone, this one among them.
    """

    def __init__(self, names: Sequence[str]) -> None:
        """Start with no peer absent."""
        self._names = tuple(names)
        self._connected: set[str] = set()
        self._absences: dict[str, Absence] = {}
        self._pools: dict[_PoolKey, SlotPool] = {}

    def note_connected(self, peer: str) -> None:
        """Learn that a peer's process lives at the address we know."""
        self._connected.add(peer)
        self._absences.pop(peer, None)

    def note_refused(self, peer: str, began_s: float) -> None:
        """Learn that a connection to a peer was refused.

        Parameters
        ----------
        peer
            Name of the peer.  One that never listened at its address may
            serve at another and counts as present.
        began_s
            Monotonic time at which the connection was tried.
        """
        if peer not in self._connected:
            return
        absence = self._absences.get(peer)
        if absence is None or began_s - absence.last_s >= LEASE_S:
            # A process may have come and gone in a longer gap.
            self._absences[peer] = Absence(began_s, began_s)
        else:
            absence.last_s = began_s

    def free(
        self,
        record: TargetRecord,
        work_bound_s: float,
        now_s: float,
    ) -> Iterator[SlotPool]:
        """Iterate over the pools with a slot of a target to fill now."""
        for peer, absence in self._absences.items():
            from_s = absence.since_s + LEASE_S + work_bound_s
            if from_s <= now_s < absence.last_s + LEASE_S:
                pool = self._pool(peer, record)
                if pool.busy(now_s) < pool.size:
                    yield pool

    def forget_idle(self, known: set[TargetKey], now_s: float) -> None:
        """Forget pools of targets that are gone and have nothing left."""
        self._pools = {
            key: pool
            for key, pool in self._pools.items()
            if key.target in known or pool.busy(now_s)
        }

    def _pool(self, peer: str, record: TargetRecord) -> SlotPool:
        target = TargetKey(record.target_id, record.incarnation_ns)
        key = _PoolKey(peer, target)
        pool = self._pools.get(key)
        if pool is None:
            share = home_share(
                record.slots,
                self._names,
                peer,
                record.target_id,
            )
            # Each other entry may see the same absence or not: they divide
            # the share among them without asking each other.
            pool = SlotPool(share // (len(self._names) - 1))
            self._pools[key] = pool
        return pool
