"""Choose the jobs of an overloaded pool that still finish on time.

During a peak the jobs of a pool may need more than it can do within their
objectives.  With least laxity alone every job would wait until it is just too
late, and nearly all would be late.  The Moore-Hodgson algorithm for a single
machine minimizes the number of late jobs: it takes jobs in the order of their
due times, and whenever they can't all finish by the due time of the last one,
it defers the job with the most work.  Deferred jobs are not rejected; they run
where capacity is left, and after the peak.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Iterable

from wigeonreach.scheduling._backlog import StepWork

# Share of a pool's processors that can be used.  The rest is lost to packing
# and to the gaps between the end of one task and the start of the next.
USABLE_RATIO = 0.85


# Job id and occurrence number.
OccurrenceId = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingOccurrence:
    """An unfinished occurrence of a job.

    Attributes
    ----------
    job_id
        The job.
    work_s
        Processor seconds that it still needs.
    due_s
        When it has to be finished to meet its objective.
    critical_path_s
        Length of the critical path through its unfinished steps.
    occurrence
        Number of the occurrence.
    begin_s
        When it may start.
    steps
        Remaining work of its steps.
    workspace
        The workspace that submitted the job.
    """

    job_id: str
    work_s: float
    due_s: float
    critical_path_s: float
    occurrence: int = 0
    begin_s: float = 0.0
    steps: tuple[StepWork, ...] = ()
    workspace: str = ''

    @property
    def occurrence_id(self) -> OccurrenceId:
        """Job id and occurrence number."""
        return self.job_id, self.occurrence


def deferred_occurrences(
    jobs: Iterable[PendingOccurrence],
    processors: float,
    now_s: float,
) -> set[OccurrenceId]:
    """Return the occurrences that can't be on time, or give way to others.

    Parameters
    ----------
    jobs
        Unfinished occurrences that share the processors.
    processors
        Processors that they may use now: those of the pool, or those within
        the cap of their workspace.
    now_s
        Clock in seconds.
    """
    usable = processors * USABLE_RATIO
    on_time: list[tuple[float, OccurrenceId]] = []
    deferred: set[OccurrenceId] = set()
    needed_s = 0.0
    for job in sorted(jobs, key=lambda pending: pending.due_s):
        if now_s + job.critical_path_s > job.due_s:
            deferred.add(job.occurrence_id)
            continue
        heapq.heappush(on_time, (-job.work_s, job.occurrence_id))
        needed_s += job.work_s
        if needed_s > usable * (job.due_s - now_s):
            negative_work_s, largest = heapq.heappop(on_time)
            needed_s += negative_work_s
            deferred.add(largest)
    return deferred
