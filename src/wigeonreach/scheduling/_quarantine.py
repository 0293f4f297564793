"""Quarantine workers that fail what others can do.

Answers the pattern of a worker that fails all that it starts: each failure
costs a job one of its few tries, so a worker gets nothing for a while after a
few failures in a row.
"""

from __future__ import annotations

import dataclasses

# Failures in a row of different jobs.  A sound worker fails up to three tasks
# in a hundred, so two in a row come about once in a thousand tasks.
_FAILURES_IN_ROW = 2
# A few times a task's length; each further quarantine lasts twice as long.
_FIRST_S = 2.0
_LONGEST_S = 16.0
# Of the workers of a service; with more it is not the workers' fault.
_MOST_RATIO = 0.34


@dataclasses.dataclass(slots=True)
class _Score:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    next_s: float = _FIRST_S
    until_s: float = 0.0


class WorkerQuarantine:
    """Which workers get nothing for a while, by the ends of their runs."""

    def __init__(self) -> None:
        """Trust everybody."""
        self._scores: dict[str, _Score] = {}

    @property
    def suspects(self) -> set[str]:
        """Workers whose last runs failed or stood still."""
        return set(self._scores)

    def note_done(self, worker: str) -> None:
        """Take note that a run ended well."""
        self._scores.pop(worker, None)

    def note_failed(self, worker: str, job_id: str, now_s: float) -> bool:
        """Take note of a failed run; tell if it quarantines its worker."""
        score = self._scores.setdefault(worker, _Score())
        score.failed_jobs.add(job_id)
        if len(score.failed_jobs) < _FAILURES_IN_ROW:
            return False
        score.until_s = now_s + score.next_s
        score.next_s = min(score.next_s * 2, _LONGEST_S)
        score.failed_jobs.clear()
        return True

    def quarantined(self, workers: list[str], now_s: float) -> set[str]:
        """Return which of a service's workers are quarantined."""
        quarantined = [
            worker
            for worker in workers
            if worker in self._scores and self._scores[worker].until_s > now_s
        ]
        allowed = int(len(workers) * _MOST_RATIO)
        quarantined.sort(key=lambda worker: -self._scores[worker].until_s)
        return set(quarantined[:allowed])

    def forget(self, worker: str) -> None:
        """Drop what is known of a dead worker."""
        self._scores.pop(worker, None)
