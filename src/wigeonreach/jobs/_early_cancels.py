"""Remember cancels of jobs that are not known.

The request that submits such a job may still be on its way, for example in a
process that stands still.  Its caller was told that there is no such job, so
the job must not run when the request arrives.
"""

from __future__ import annotations

from collections.abc import Iterable

from wigeonreach.jobs._commands import EarlyCancel

# Bounds the memory and the snapshots: ids are the callers' choice.
MAX_EARLY_CANCELS = 10_000


class EarlyCancels:
    """Cancels of unknown jobs, by job id and owner.

    The owner is the workspace that may own the job, so that no workspace can
    cancel the jobs of another before they are submitted.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._counts: dict[tuple[str, str], int] = {}

    def add(self, job_id: str, owner: str) -> bool:
        """Remember a cancel; return False if there are too many."""
        key = (job_id, owner)
        if key not in self._counts and len(self._counts) >= MAX_EARLY_CANCELS:
            return False
        self._counts[key] = self._counts.get(key, 0) + 1
        return True

    def take(self, job_id: str, owner: str) -> bool:
        """Remove a cancel; return whether there was one."""
        return self._counts.pop((job_id, owner), None) is not None

    def entries(self) -> list[EarlyCancel]:
        """Return all of them."""
        return [
            EarlyCancel(job_id, owner, count)
            for (job_id, owner), count in self._counts.items()
        ]

    def restore(self, entries: Iterable[EarlyCancel]) -> None:
        """Replace all of them."""
        self._counts = {
            (entry.job_id, entry.owner): entry.count for entry in entries
        }

    def drop(self, entries: Iterable[EarlyCancel]) -> None:
        """Remove cancels, unless they were repeated since."""
        for entry in entries:
            key = (entry.job_id, entry.owner)
            if self._counts.get(key) == entry.count:
                self._counts.pop(key)
