"""Describe why the leader's view of a worker, VM or job changed."""

from __future__ import annotations

import dataclasses

from wigeonreach.observe import LogEvent


@dataclasses.dataclass(frozen=True, slots=True)
class LogNote:
    """One change of that view, for a log line.

    Attributes
    ----------
    event
        The log event.
    subject
        The worker, VM or job that it concerns.
    reason
        The cause, with its age or figure.
    """

    event: LogEvent
    subject: str
    reason: str
