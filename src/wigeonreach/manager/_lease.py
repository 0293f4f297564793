"""Hold the right to decide on maintenance, for as long as it is certain."""

from __future__ import annotations

import time
from collections.abc import Callable

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import StateError
from wigeonreach.state import StateAccess
from wigeonreach.wire._command_messages import (
    AcquireLease,
    ReleaseLease,
    RenewLease,
)

LEASE_NAME = 'maintenance'
# Clocks may run apart by this part of the lease.
_SAFE_RATIO = 0.75
_RENEW_RATIO = 0.3


class DecisionLease:
    """One manager's hold on the lease.

    Parameters
    ----------
    holder
        Name of the manager.
    duration_s
        For how long each grant lasts.
    state
        Where leases are granted.
    lease_name
        What the right is called.
    now_s
        Monotonic time, in seconds.
    """

    def __init__(
        self,
        holder: str,
        duration_s: float,
        state: StateAccess,
        lease_name: str = LEASE_NAME,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Hold nothing yet."""
        self._holder = holder
        self._duration_s = duration_s
        self._state = state
        self._name = lease_name
        self._now_s = now_s
        self._requested_s = float('-inf')
        self.token = 0

    @property
    def is_held(self) -> bool:
        """Whether nobody else can hold it at this moment."""
        age_s = self._now_s() - self._requested_s
        return self.token > 0 and age_s < self._duration_s * _SAFE_RATIO

    async def ensure(self) -> bool:
        """Acquire or renew the lease where that is due.

        Returns
        -------
        bool
            Whether it is held.

        Raises
        ------
        StateError
            If no replica told; what is held then still is until its end.
        """
        age_s = self._now_s() - self._requested_s
        if self.token and age_s < self._duration_s * _RENEW_RATIO:
            return True
        # Counted from before the question: the answer may be late.
        asked_s = self._now_s()
        action = (
            RenewLease(self._name, self._holder, self.token, self._duration_s)
            if self.is_held
            else AcquireLease(self._name, self._holder, self._duration_s)
        )
        try:
            reply = await self._state.submit(action)
        except StateError:
            return self.is_held
        if reply.code != ResultCode.OK:
            self.token = 0
            return False
        self.token = reply.token
        self._requested_s = asked_s
        return True

    async def release(self) -> None:
        """Let another manager go on at once."""
        if self.is_held:
            action = ReleaseLease(self._name, self._holder, self.token)
            self.token = 0
            await self._state.submit(action)
