"""Choose the jobs of an overloaded pool or fleet that still finish on time.

During a peak the jobs may need more than the processors can do within their
objectives.  With least laxity alone every job would wait until it is just too
late, and nearly all would be late.  The Moore-Hodgson algorithm for a single
machine minimizes the number of late jobs: it takes jobs in the order of their
due times, and whenever they can't all finish by the due time of the last one,
it defers the job with the most work.  Deferred jobs are not rejected; they run
where capacity is left, and after the peak.

One claimant may flood while others ask for their usual.  The deferred job is
therefore the largest among those of claimants that ask for more per weight than
the mean of all.  A claimant within its weighted share is below that mean
whenever something has to be deferred, so it never gives way to a flood.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from wigeonreach.scheduling._backlog import StepWork

# Share of the processors that can be used.  The rest is lost to packing and to
# the gaps between the end of one task and the start of the next.
USABLE_RATIO = 0.85
# Weight of a claimant without a workspace that has one.
_DEFAULT_WEIGHT = 1.0


# Job id and occurrence number.
OccurrenceId = tuple[str, int]
# Service and workspace.
Claimant = tuple[str, str]
_NO_WEIGHTS: Mapping[str, float] = MappingProxyType({})


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
    service
        The service whose workers run it.
    """

    job_id: str
    work_s: float
    due_s: float
    critical_path_s: float
    occurrence: int = 0
    begin_s: float = 0.0
    steps: tuple[StepWork, ...] = ()
    workspace: str = ''
    service: str = ''

    @property
    def occurrence_id(self) -> OccurrenceId:
        """Job id and occurrence number."""
        return self.job_id, self.occurrence

    @property
    def claimant(self) -> Claimant:
        """Who competes with others for the processors."""
        return self.service, self.workspace

    def is_too_late(self, now_s: float) -> bool:
        """Whether it can't meet its objective even if it starts now."""
        return now_s + self.critical_path_s > self.due_s


def deferred_occurrences(
    jobs: Iterable[PendingOccurrence],
    processors: float,
    now_s: float,
    weights: Mapping[str, float] = _NO_WEIGHTS,
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
    weights
        Weights of the workspaces that have one.
    """
    return deferred_on(
        jobs, lambda until_s: processors * until_s, now_s, weights
    )


def deferred_on(
    jobs: Iterable[PendingOccurrence],
    processor_s: Callable[[float], float],
    now_s: float,
    weights: Mapping[str, float] = _NO_WEIGHTS,
) -> set[OccurrenceId]:
    """Return the deferred occurrences, on processors that may still come.

    Parameters
    ----------
    jobs
        Unfinished occurrences that share the processors.
    processor_s
        Returns the processor seconds available within a number of seconds.
    now_s
        Clock in seconds.
    weights
        Weights of the workspaces that have one.
    """
    deferred: set[OccurrenceId] = set()
    claims = _Claims(weights)
    for job in sorted(jobs, key=_by_due):
        if job.is_too_late(now_s):
            deferred.add(job.occurrence_id)
            continue
        claims.add(job)
        usable_s = USABLE_RATIO * processor_s(job.due_s - now_s)
        while claims.has_jobs and claims.needed_s > usable_s:
            deferred.add(claims.pop_excess())
    return deferred


def _by_due(job: PendingOccurrence) -> tuple[float, OccurrenceId]:
    """Sort key: the next due first, in the same order at each leader."""
    return job.due_s, job.occurrence_id


@dataclasses.dataclass(slots=True)
class _Claim:
    """What one claimant asks for.

    Attributes
    ----------
    weight
        Its weight.
    work_s
        Processor seconds of its jobs.
    jobs
        Heap of its jobs, the one with the most work first.
    """

    weight: float
    work_s: float = 0.0
    jobs: list[tuple[float, OccurrenceId]] = dataclasses.field(
        default_factory=list,
    )

    @property
    def work_per_weight_s(self) -> float:
        """Processor seconds that it asks for, per weight."""
        return self.work_s / self.weight


class _Claims:
    """The jobs that are still to finish on time, by claimant.

    Attributes
    ----------
    needed_s
        Processor seconds that they need.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Start without jobs."""
        self.needed_s = 0.0
        self._weights = weights
        self._claims: dict[Claimant, _Claim] = {}
        self._total_weight = 0.0

    @property
    def has_jobs(self) -> bool:
        """Whether any job is left."""
        return any(claim.jobs for claim in self._claims.values())

    def add(self, job: PendingOccurrence) -> None:
        """Add a job."""
        claim = self._claims.get(job.claimant)
        if claim is None:
            weight = self._weights.get(job.workspace) or _DEFAULT_WEIGHT
            claim = _Claim(weight)
            self._claims[job.claimant] = claim
            self._total_weight += weight
        heapq.heappush(claim.jobs, (-job.work_s, job.occurrence_id))
        claim.work_s += job.work_s
        self.needed_s += job.work_s

    def pop_excess(self) -> OccurrenceId:
        """Remove the largest job of the claimants that ask for most."""
        mean_s = self.needed_s / self._total_weight
        asking = [claim for claim in self._claims.values() if claim.jobs]
        # The one that asks for most is never below the mean, but for rounding.
        most_s = max(claim.work_per_weight_s for claim in asking)
        limit_s = min(mean_s, most_s)
        claim = min(
            (claim for claim in asking if claim.work_per_weight_s >= limit_s),
            key=lambda candidate: candidate.jobs[0],
        )
        negative_work_s, largest = heapq.heappop(claim.jobs)
        claim.work_s += negative_work_s
        self.needed_s += negative_work_s
        return largest
