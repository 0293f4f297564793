"""Leases and fencing tokens that keep two owners from acting on one VM.

Both checks are needed.  A holder measures its lease on its own clock, from
before it requested the lease, so that it stops no later than the lease expires
in the replicated state.  A process may still be paused between that check and
its action.  Therefore whatever carries out actions on a VM admits only the
highest token it was shown, and a new owner shows its token before it first
uses the VM.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A lease on a VM or a name, as its holder knows it.

    Parameters
    ----------
    token
        Fencing token of the grant.
    asked_s
        Monotonic time in seconds just before the grant or its last renewal
        was requested.
    lease_s
        Requested duration in seconds.
    """

    token: int
    asked_s: float
    lease_s: float

    def may_act(self, now_s: float, margin_s: float = 0) -> bool:
        """Whether the lease is valid for at least ``margin_s`` more seconds."""
        return now_s + margin_s < self.asked_s + self.lease_s

    def renewed(self, asked_s: float) -> Holding:
        """Return the lease after a renewal requested at ``asked_s``."""
        return dataclasses.replace(self, asked_s=asked_s)


class Fence:
    """Rejects actions with outdated tokens, by the highest seen for each VM."""

    def __init__(self) -> None:
        """Start without tokens; the first one of each VM is admitted."""
        self._tokens: dict[str, int] = {}

    def admit(self, vm: str, token: int) -> bool:
        """Check a token and refuse older ones from now on.

        Parameters
        ----------
        vm
            Name of the VM.
        token
            Fencing token of the process that acts on it.

        Returns
        -------
        bool
            False if a higher token was seen before.
        """
        if token < self._tokens.get(vm, 0):
            return False
        self._tokens[vm] = token
        return True
