"""Read the state that a target reports in the headers of a response."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Mapping
from typing import Final

from wigeonreach.wire._target_messages import TargetState

STATE_HEADER: Final = 'X-Target-State'
INCARNATION_HEADER: Final = 'X-Target-Incarnation'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswered:
    """State that a target reported in a response.

    ``sent_s`` is when this entry sent the request, in monotonic seconds; the
    target was in this state at that time or later.
    """

    address: str
    incarnation_ns: int
    state: TargetState
    sent_s: float


def read_target_state(
    headers: Mapping[str, str],
    address: str,
    sent_s: float,
) -> TargetAnswered | None:
    """Return the target's state according to a response's headers.

    Parameters
    ----------
    headers
        Headers of the response.
    address
        ``IP:PORT`` of the target.
    sent_s
        When the request was sent, in monotonic seconds of this process.

    Returns
    -------
    TargetAnswered or None
        None if a header is missing or malformed: the headers are optional.
    """
    with contextlib.suppress(KeyError, ValueError):
        return TargetAnswered(
            address=address,
            incarnation_ns=int(headers[INCARNATION_HEADER]),
            state=TargetState(headers[STATE_HEADER]),
            sent_s=sent_s,
        )
    return None
