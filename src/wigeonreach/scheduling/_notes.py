"""Describe why the leader's view of a worker or job changed."""

from __future__ import annotations

import dataclasses

from wigeonreach.observe import LogEvent


@dataclasses.dataclass(frozen=True, slots=True)
class Note:
    """One change of that view, for a log line.

    Attributes
    ----------
    subject
        What it is about: a worker, a VM or a job.
    reason
        What decided it, with its age or figure.
    """

    event: LogEvent
    subject: str
    reason: str
