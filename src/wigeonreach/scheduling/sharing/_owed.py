"""Tell which jobs a workspace's weight covers.

Answers a workspace that hands in many times its share: what lies beyond its weight in
jobs a second is done where room is left, and takes none from jobs within theirs.
"""

from __future__ import annotations

import dataclasses

from wigeonreach.jobs import JobRecord, JobStore

_MS_PER_S = 1000.0
# Jobs of so many seconds may come at once: teams hand in by bursts, and the weight
# is what they are owed over any second.
_BURST_S = 1.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """What a workspace may still hand in, as of its newest job."""

    jobs: float
    at_ms: float


class OwedJobs:
    """The jobs of all workspaces, by when they were accepted.

    Parameters
    ----------
    store
        The weights; it is only read.
    """

    def __init__(self, store: JobStore) -> None:
        """Have seen no job."""
        self._store = store
        self._buckets: dict[str, _Bucket] = {}

    def take(self, job: JobRecord) -> bool:
        """Take a job, the older first; return whether its weight covers it."""
        workspace = self._store.workspaces.named(job.workspace)
        if workspace is None or not workspace.weight:
            return True
        most = max(workspace.weight * _BURST_S, 1.0)
        bucket = self._buckets.setdefault(
            workspace.name,
            _Bucket(most, job.accepted_ms),
        )
        passed_s = max(job.accepted_ms - bucket.at_ms, 0.0) / _MS_PER_S
        bucket.jobs = min(bucket.jobs + passed_s * workspace.weight, most)
        bucket.at_ms = max(job.accepted_ms, bucket.at_ms)
        if bucket.jobs < 1:
            return False
        bucket.jobs -= 1
        return True
