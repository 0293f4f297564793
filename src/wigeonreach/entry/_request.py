"""A caller's request after it was read and validated."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from wigeonreach.text import Service


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request that was read completely and validated.

    It was not sent to a target yet.  ``due_s`` is the caller's deadline on
    this process's monotonic clock, in seconds.  Teams that the fleet
    configuration does not name are all represented by an empty team name.
    """

    service: Service
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    team: str
    is_urgent: bool
    key: str
    due_s: float
    weight: float = 1.0

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may safely run twice.

        A caller that sends an idempotency key asks for at most one run,
        whatever the method.
        """
        if self.key:
            return False
        return self.method in self.service.idempotent_methods
