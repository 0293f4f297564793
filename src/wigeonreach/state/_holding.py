"""Act on a VM only while its lease surely runs, and never after a newer owner.

The two checks belong together.  The holder stops by its own clock, counted
from before it asked, so that it stops no later than the state lets the lease
end.  A process may still be paused between that check and its act; therefore
whatever acts on the VM admits only the newest token it was shown, and a new
owner shows its token before it first uses the VM.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A granted VM or lease, as its holder knows it.

    Parameters
    ----------
    token
        Token of the grant.
    asked_s
        Monotonic time in seconds just before the grant or its last renewal
        was asked for.
    lease_s
        For how many seconds it was asked.
    """

    token: int
    asked_s: float
    lease_s: float

    def may_act(self, now_s: float, margin_s: float = 0) -> bool:
        """Whether the lease surely runs for another ``margin_s`` seconds."""
        return now_s + margin_s < self.asked_s + self.lease_s

    def renewed(self, asked_s: float) -> Holding:
        """Return the holding after a renewal asked for at a time."""
        return dataclasses.replace(self, asked_s=asked_s)


class Fence:
    """Highest token shown for each VM, kept where acts on it arrive."""

    def __init__(self) -> None:
        """Admit any first token."""
        self._tokens: dict[str, int] = {}

    def admit(self, vm: str, token: int) -> bool:
        """Tell whether an act may pass, and refuse older tokens from now on.

        Parameters
        ----------
        vm
            The VM that is acted on.
        token
            Token of whoever acts.

        Returns
        -------
        bool
            False if a newer token was shown before.
        """
        if token < self._tokens.get(vm, 0):
            return False
        self._tokens[vm] = token
        return True
