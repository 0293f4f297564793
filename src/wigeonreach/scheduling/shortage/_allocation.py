"""Divide the VMs of a short fleet between the pools.

One pool may need more VMs than there are while others need little.  VMs go to
work that can still be in time; small needs are met in full and large ones share
the rest evenly.  Late work keeps a small share, so that it always goes on.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

# Share of the VMs that late work asks for which it keeps while VMs are short.
# Its backlog is finished in ten times the time that the fleet would need, and
# no more work in time is given up than packing costs anyway.
LATE_SHARE = 0.1


def fair_shares(needs: Mapping[str, int], vms: int) -> dict[str, int]:
    """Return the max-min fair number of VMs of each pool.

    Parameters
    ----------
    needs
        Number of VMs that each pool needs.
    vms
        Number of VMs that there are.
    """
    shares: dict[str, int] = {}
    left = max(vms, 0)
    ascending = sorted(needs.items(), key=lambda need: (need[1], need[0]))
    for met, (pool, needed) in enumerate(ascending):
        even_share = left // (len(ascending) - met)
        shares[pool] = min(needed, even_share)
        left -= shares[pool]
    return shares


def late_share(late_vms: int) -> int:
    """Return how many of the VMs that late work asks for it keeps."""
    return math.ceil(late_vms * LATE_SHARE)
