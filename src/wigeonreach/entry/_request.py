"""Hold one checked request of a caller."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from wigeonreach.text import Service


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request that was read whole and checked.

    Nothing of it has run yet.  ``due_s`` is the moment, on this process's
    monotonic clock, after which no answer is of use to the caller.  Teams
    that the text does not name share one class, whose name is empty.
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
        """Whether running it twice does no harm.

        A caller that sends a key asks for at most one run of any method.
        """
        if self.key:
            return False
        return self.method in self.service.idempotent_methods
