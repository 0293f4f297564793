"""Quarantine workers on which runs keep failing.

A broken worker may fail every run that it starts, and each failure costs a job
one of its few attempts.  After a few failures in a row a worker therefore gets
no new work for a while.
"""

from __future__ import annotations

import dataclasses

# Failures in a row, of different jobs.  A healthy worker fails up to three
# tasks in a hundred, so two in a row happen about once in a thousand tasks.
_FAILURE_THRESHOLD = 2
# A few times the length of a task; each further quarantine lasts twice as long.
_FIRST_QUARANTINE_S = 2.0
_MAX_QUARANTINE_S = 16.0
# Greatest share of a service's workers; if more fail, the workers are not the
# cause.
_MAX_QUARANTINED_RATIO = 0.34


@dataclasses.dataclass(slots=True)
class _FailureRecord:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    next_duration_s: float = _FIRST_QUARANTINE_S
    until_s: float = 0.0


class WorkerQuarantine:
    """Tracks failures by worker, and which workers are quarantined for them."""

    def __init__(self) -> None:
        """Start without any failure."""
        self._records: dict[str, _FailureRecord] = {}

    @property
    def failing_workers(self) -> set[str]:
        """Workers whose last runs failed or stalled."""
        return set(self._records)

    def note_done(self, worker: str) -> None:
        """Record that a run succeeded, which clears its worker's failures."""
        self._records.pop(worker, None)

    def note_failed(self, worker: str, job_id: str, now_s: float) -> bool:
        """Record a failed run; return whether its worker is quarantined now."""
        score = self._records.setdefault(worker, _FailureRecord())
        score.failed_jobs.add(job_id)
        if len(score.failed_jobs) < _FAILURE_THRESHOLD:
            return False
        score.until_s = now_s + score.next_duration_s
        score.next_duration_s = min(
            score.next_duration_s * 2, _MAX_QUARANTINE_S
        )
        score.failed_jobs.clear()
        return True

    def quarantined(self, workers: list[str], now_s: float) -> set[str]:
        """Return which of a service's workers are quarantined."""
        quarantined = [
            worker
            for worker in workers
            if worker in self._records and self._records[worker].until_s > now_s
        ]
        allowed = int(len(workers) * _MAX_QUARANTINED_RATIO)
        quarantined.sort(key=lambda worker: -self._records[worker].until_s)
        return set(quarantined[:allowed])

    def forget(self, worker: str) -> None:
        """Drop the record of a worker that has ended."""
        self._records.pop(worker, None)
