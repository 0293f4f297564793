"""Choose which jobs of a full pool are still finished in time.

Answers peaks that ask for more than a pool can do within the objectives of
its jobs.  By least laxity alone every job then waits until it is just too
late, and nearly all are late together.  Here the jobs are taken by their due
times, and whenever they can't all be done until one of them is due, the one
with the most work is put back: so as many jobs as possible are in time
(Moore and Hodgson's rule for one machine).  What is put back is not refused;
it runs where room is left, and after the peak.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Iterable

# Part of a pool's processors that packing and the gaps between an end and the
# next start leave unused.
_USABLE_RATIO = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class PendingJob:
    """A job that is not finished.

    Attributes
    ----------
    job_id
        Which it is.
    work_s
        Processor seconds that it still needs.
    due_s
        Until when it is of full use.
    chain_s
        Longest chain of work that it still needs.
    """

    job_id: str
    work_s: float
    due_s: float
    chain_s: float


def put_back(
    jobs: Iterable[PendingJob],
    processors: float,
    now_s: float,
) -> set[str]:
    """Return the jobs that are to wait for the others.

    Parameters
    ----------
    jobs
        All unfinished jobs of a pool.
    processors
        That the pool has now.
    now_s
        Clock in seconds.
    """
    usable = processors * _USABLE_RATIO
    kept: list[tuple[float, str]] = []
    waiting: set[str] = set()
    needed_s = 0.0
    for job in sorted(jobs, key=lambda pending: pending.due_s):
        if now_s + job.chain_s > job.due_s:
            waiting.add(job.job_id)
            continue
        heapq.heappush(kept, (-job.work_s, job.job_id))
        needed_s += job.work_s
        if needed_s > usable * (job.due_s - now_s):
            negative_work_s, largest = heapq.heappop(kept)
            needed_s += negative_work_s
            waiting.add(largest)
    return waiting
