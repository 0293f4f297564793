"""Rest workers that fail what others can do.

Answers the pattern of a worker that fails all that it starts: each failure
costs a job one of its few attempts, so a worker rests after a few failures in
a row, and takes one task as a probe when its rest is over.
"""

from __future__ import annotations

import dataclasses

# Failures in a row of different jobs.  A sound worker fails a few tasks in a
# hundred, so three in a row come about once in ten thousand.
_FAILURES_IN_ROW = 2
# A worker that fails a whole probe after its rest rests for twice as long.
_FIRST_REST_S = 2.0
_LONGEST_REST_S = 16.0
# Of the workers of a service; more than that and it isn't the workers.
_MOST_RESTING_RATIO = 0.34


@dataclasses.dataclass(slots=True)
class _Score:
    failed_jobs: set[str] = dataclasses.field(default_factory=set)
    rest_s: float = _FIRST_REST_S
    resting_until_s: float = 0.0


class WorkerQuarantine:
    """Which workers rest, by the ends of their runs."""

    def __init__(self) -> None:
        """Trust everybody."""
        self._scores: dict[str, _Score] = {}

    def note_done(self, worker: str) -> None:
        """Take note that a run ended well."""
        self._scores.pop(worker, None)

    def note_failed(self, worker: str, job_id: str, now_s: float) -> bool:
        """Take note that a run failed; tell whether the worker rests now."""
        score = self._scores.setdefault(worker, _Score())
        score.failed_jobs.add(job_id)
        if len(score.failed_jobs) < _FAILURES_IN_ROW:
            return False
        score.resting_until_s = now_s + score.rest_s
        score.rest_s = min(score.rest_s * 2, _LONGEST_REST_S)
        score.failed_jobs.clear()
        return True

    def quarantined(self, workers: list[str], now_s: float) -> set[str]:
        """Return who of a service's workers rests."""
        quarantined = [
            worker
            for worker in workers
            if worker in self._scores
            and self._scores[worker].resting_until_s > now_s
        ]
        allowed = int(len(workers) * _MOST_RESTING_RATIO)
        quarantined.sort(
            key=lambda worker: -self._scores[worker].resting_until_s
        )
        return set(quarantined[:allowed])

    def forget(self, worker: str) -> None:
        """Drop what is known of a dead worker."""
        self._scores.pop(worker, None)
