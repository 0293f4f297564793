"""Decide which jobs are within their workspace's weight.

A workspace may submit many times its share.  Its weight is a rate in jobs per
second.  Jobs beyond it should run only on capacity that is left over, and take
none from jobs within the weight of their workspace.  This module only tells the
two apart; it does not place jobs.
"""

from __future__ import annotations

import dataclasses

from wigeonreach.jobs import JobRecord, JobStore

_MS_PER_S = 1000.0
# Time in which the weight fills an empty bucket: jobs are submitted in bursts,
# and the weight is guaranteed over any second.
_BURST_S = 1.0


@dataclasses.dataclass(slots=True)
class _TokenBucket:
    """Token bucket of one workspace, as of its newest job.

    Attributes
    ----------
    jobs
        Number of jobs that may still be admitted.
    at_ms
        When its newest job was accepted.
    """

    jobs: float
    at_ms: float


class WeightLimiter:
    """Limits the jobs of each workspace with a token bucket.

    Parameters
    ----------
    store
        The replicated state with the weights; it is only read.
    """

    def __init__(self, store: JobStore) -> None:
        """Start with no buckets."""
        self._store = store
        self._buckets: dict[str, _TokenBucket] = {}

    def admit(self, job: JobRecord) -> bool:
        """Count a job and return whether it is within its workspace's weight.

        Jobs have to be passed in the order in which they were accepted.
        """
        workspace = self._store.workspaces.named(job.workspace)
        if workspace is None or not workspace.weight:
            return True
        capacity = max(workspace.weight * _BURST_S, 1.0)
        bucket = self._buckets.setdefault(
            workspace.name,
            _TokenBucket(capacity, job.accepted_ms),
        )
        elapsed_s = max(job.accepted_ms - bucket.at_ms, 0.0) / _MS_PER_S
        bucket.jobs = min(bucket.jobs + elapsed_s * workspace.weight, capacity)
        bucket.at_ms = max(job.accepted_ms, bucket.at_ms)
        if bucket.jobs < 1:
            return False
        bucket.jobs -= 1
        return True
