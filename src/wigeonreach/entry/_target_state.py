"""Read what a target says of itself in the headers of an answer."""

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
    """What a target said of itself in an answer.

    ``sent_s`` is when this entry sent what was answered, so that the target
    was in this state at that time or later.
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
    """Return what an answer's headers say of the target.

    Parameters
    ----------
    headers
        Headers of the answer.
    address
        ``IP:PORT`` that answered.
    sent_s
        When the request was sent, in monotonic seconds of this process.

    Returns
    -------
    TargetAnswered or None
        None if a header is missing or malformed: a target need not tell.
    """
    with contextlib.suppress(KeyError, ValueError):
        return TargetAnswered(
            address=address,
            incarnation_ns=int(headers[INCARNATION_HEADER]),
            state=TargetState(headers[STATE_HEADER]),
            sent_s=sent_s,
        )
    return None
