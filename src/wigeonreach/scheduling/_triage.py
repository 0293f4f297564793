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

from wigeonreach.scheduling._backlog import StepWork

# Part of a pool's processors that packing and the gaps between an end and the
# next start leave unused.
USABLE_RATIO = 0.85


# Id and occurrence.
OccurrenceName = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingJob:
    """An occurrence of a job that is not finished.

    Attributes
    ----------
    job_id, occurrence
        Which it is.
    work_s
        Processor seconds that it still needs.
    due_s
        Until when it is of full use.
    chain_s
        Longest chain of work that it still needs.
    begin_s
        From when it may run.
    steps
        What is left of its steps.
    workspace
        Whose it is.
    """

    job_id: str
    work_s: float
    due_s: float
    chain_s: float
    occurrence: int = 0
    begin_s: float = 0.0
    steps: tuple[StepWork, ...] = ()
    workspace: str = ''

    @property
    def name(self) -> OccurrenceName:
        """Its id and its occurrence."""
        return self.job_id, self.occurrence


def put_back(
    jobs: Iterable[PendingJob],
    processors: float,
    now_s: float,
) -> set[OccurrenceName]:
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
    usable = processors * USABLE_RATIO
    kept: list[tuple[float, OccurrenceName]] = []
    waiting: set[OccurrenceName] = set()
    needed_s = 0.0
    for job in sorted(jobs, key=lambda pending: pending.due_s):
        if now_s + job.chain_s > job.due_s:
            waiting.add(job.name)
            continue
        heapq.heappush(kept, (-job.work_s, job.name))
        needed_s += job.work_s
        if needed_s > usable * (job.due_s - now_s):
            negative_work_s, largest = heapq.heappop(kept)
            needed_s += negative_work_s
            waiting.add(largest)
    return waiting
