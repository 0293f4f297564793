"""Build configuration texts of any size and a client that changes them."""

from __future__ import annotations

import time

from bench.cluster import Cluster
from wigeonreach.state import StateClient
from wigeonreach.wire import Member
from wigeonreach.wire._command_messages import ChangeText

_SERVICE = """
[services.service-{number}]
pool = "pool-{number}"
promised_slots = {slots}
deadline_s = 2.0
"""
_POOL = """
[pools.pool-{number}]
vms = [
{vms}
]
"""


def build_text(pools: int, vms_per_pool: int, slots: int) -> str:
    """Return a valid configuration text.

    Parameters
    ----------
    pools
        Number of pools, each with one service.
    vms_per_pool
        Number of VMs per pool, one per line.
    slots
        Promised slots of the first service; vary it for a small change.

    Returns
    -------
    str
        The text.
    """
    parts = ['[fleet]\nname = "bench"\n']
    for number in range(pools):
        names = '\n'.join(
            f'  "vm-{number}-{vm}",' for vm in range(vms_per_pool)
        )
        promised = slots if number == 0 else 8
        parts.append(_POOL.format(number=number, vms=names))
        parts.append(_SERVICE.format(number=number, slots=promised))
    return ''.join(parts)


def members_of(cluster: Cluster) -> list[Member]:
    """Return the replicas of a fleet as members."""
    return [replica.member for replica in cluster.replicas]


class ChangeClient:
    """Client that submits one small change after the other.

    Parameters
    ----------
    cluster
        The fleet.
    pools, vms_per_pool
        Size of the text.
    """

    def __init__(self, cluster: Cluster, pools: int, vms_per_pool: int) -> None:
        """Start before the first version."""
        self._client = StateClient('bench', members_of(cluster))
        self._pools = pools
        self._vms_per_pool = vms_per_pool
        self.version = 0

    async def change(self) -> float:
        """Submit one change; return the Unix time at which it was sent."""
        text = build_text(self._pools, self._vms_per_pool, self.version + 1)
        sent_s = time.time()
        reply = await self._client.submit(ChangeText(self.version, text))
        assert not reply.code, reply.detail
        self.version = reply.version
        return sent_s
