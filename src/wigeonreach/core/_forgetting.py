"""Decide when ended jobs and early cancels are forgotten."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import TypeVar

from wigeonreach.jobs import EarlyCancel, ForgetJobs, JobStore

# Longer than the status of an ended job may be queried (120 s).
_ENDED_JOB_TTL_S = 150.0
# Longer than a request may be on its way, in a process that stands still or on
# a link that is cut.
_EARLY_CANCEL_TTL_S = 60.0
_Key = TypeVar('_Key', bound=Hashable)


class Forgetting:
    """Measures how long a leader has seen what can be forgotten.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    """

    def __init__(self, store: JobStore) -> None:
        """Start without having seen anything."""
        self._store = store
        self._ended_s: dict[str, float] = {}
        self._cancelled_s: dict[EarlyCancel, float] = {}

    def due(self, now_s: float) -> ForgetJobs | None:
        """Return the command that forgets what is old, or None."""
        ended = [
            job.spec.job_id
            for job in self._store.jobs.values()
            if not job.is_active
        ]
        old_jobs = _seen_before(self._ended_s, ended, now_s, _ENDED_JOB_TTL_S)
        old_cancels = _seen_before(
            self._cancelled_s,
            self._store.early_cancels.entries(),
            now_s,
            _EARLY_CANCEL_TTL_S,
        )
        if old_jobs or old_cancels:
            return ForgetJobs(old_jobs, old_cancels)
        return None


def _seen_before(
    seen_s: dict[_Key, float],
    present: Iterable[_Key],
    now_s: float,
    ttl_s: float,
) -> tuple[_Key, ...]:
    """Return what has been present for longer than its time to live."""
    known = {key: seen_s.get(key, now_s) for key in present}
    seen_s.clear()
    seen_s.update(known)
    return tuple(
        key for key, first_s in known.items() if now_s - first_s > ttl_s
    )
