"""Lease that elects the manager which makes decisions."""

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
# The holder stops relying on the lease after this share of its duration; the
# rest tolerates clocks that run at different rates.
_SAFE_RATIO = 0.75
_RENEW_RATIO = 0.3


class DecisionLease:
    """Lease as seen by one manager.

    Parameters
    ----------
    holder
        Name of the manager.
    duration_s
        Duration of each grant, in seconds.
    state
        Durable state that grants leases.
    lease_name
        Name of the lease.
    now_s
        Returns the monotonic time, in seconds.
    """

    def __init__(
        self,
        holder: str,
        duration_s: float,
        state: StateAccess,
        lease_name: str = LEASE_NAME,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without the lease."""
        self._holder = holder
        self._duration_s = duration_s
        self._state = state
        self._name = lease_name
        self._now_s = now_s
        self._requested_s = float('-inf')
        self.token = 0

    @property
    def is_held(self) -> bool:
        """Whether no other manager can hold the lease at this moment."""
        age_s = self._now_s() - self._requested_s
        return self.token > 0 and age_s < self._duration_s * _SAFE_RATIO

    async def ensure(self) -> bool:
        """Acquire the lease, or renew it if a renewal is due.

        If no replica answers, a lease that is held stays held until it
        expires.

        Returns
        -------
        bool
            Whether the lease is held.
        """
        age_s = self._now_s() - self._requested_s
        if self.token and age_s < self._duration_s * _RENEW_RATIO:
            return True
        # The lease counts from before the request, as the reply may be late.
        requested_s = self._now_s()
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
        self._requested_s = requested_s
        return True

    async def release(self) -> None:
        """Release the lease, so that another manager can acquire it at once."""
        if self.is_held:
            action = ReleaseLease(self._name, self._holder, self.token)
            self.token = 0
            await self._state.submit(action)
