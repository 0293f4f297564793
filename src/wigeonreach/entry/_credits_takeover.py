"""Use the shares of peers whose process is known to have ended."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator, Sequence

from wigeonreach.entry._credits import LEASE_S, permanent_share
from wigeonreach.entry._slots import SlotPool, TargetKey
from wigeonreach.wire._target_messages import TargetRecord


@dataclasses.dataclass(slots=True)
class RefusalPeriod:
    """Refused connections to a peer, each within a lease of the previous.

    Both times are monotonic seconds.
    """

    first_s: float
    last_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _PoolKey:
    peer: str
    target: TargetKey


class Takeover:
    """Shares of peers that refuse connections.

    A refused connection proves that no process is listening; a timeout does
    not.  The shares may be used one lease plus one maximum request duration
    after the first refusal, when all loans and requests of the ended process
    have ended too.  A restarted peer waits for the same time after its start
    before it uses its shares, and it refuses no connections once it listens.

    Parameters
    ----------
    names
        Names of all entries of the zone, this one included.
    """

    def __init__(self, names: Sequence[str]) -> None:
        """Start without any refused connection."""
        self._names = tuple(names)
        self._connected: set[str] = set()
        self._refusals: dict[str, RefusalPeriod] = {}
        self._pools: dict[_PoolKey, SlotPool] = {}

    def note_connected(self, peer: str) -> None:
        """Record that a peer's process runs at its configured address."""
        self._connected.add(peer)
        self._refusals.pop(peer, None)

    def note_refused(self, peer: str, attempted_s: float) -> None:
        """Record that a connection to a peer was refused.

        Parameters
        ----------
        peer
            Name of the peer.  A peer that never accepted a connection at its
            address may run at another one, so its refusals are ignored.
        attempted_s
            Monotonic time at which the connection was attempted, in seconds.
        """
        if peer not in self._connected:
            return
        refusal = self._refusals.get(peer)
        if refusal is None or attempted_s - refusal.last_s >= LEASE_S:
            # A process may have started and ended within so long a gap.
            self._refusals[peer] = RefusalPeriod(attempted_s, attempted_s)
        else:
            refusal.last_s = attempted_s

    def free_pools(
        self,
        record: TargetRecord,
        work_bound_s: float,
        now_s: float,
    ) -> Iterator[SlotPool]:
        """Iterate over the taken-over pools with a free slot of a target."""
        for peer, refusal in self._refusals.items():
            usable_from_s = refusal.first_s + LEASE_S + work_bound_s
            if usable_from_s <= now_s < refusal.last_s + LEASE_S:
                pool = self._pool(peer, record)
                if pool.busy(now_s) < pool.size:
                    yield pool

    def forget_idle(self, known: set[TargetKey], now_s: float) -> None:
        """Remove unused pools of targets that are no longer known."""
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
            share = permanent_share(
                record.slots,
                self._names,
                peer,
                record.target_id,
            )
            # Every other entry may see the same refusals.  They divide the
            # share equally among themselves without coordination.
            pool = SlotPool(share // (len(self._names) - 1))
            self._pools[key] = pool
        return pool
