"""Split the work of all queues into what can be in time and what can't."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from wigeonreach.scheduling._backlog import StepWork
from wigeonreach.scheduling.shortage._triage import (
    OccurrenceId,
    PendingOccurrence,
    deferred_on,
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetCapacity:
    """Processors of all pools, now and once VMs have moved.

    Attributes
    ----------
    processors
        Those of the workers that accept work.
    standby_processors
        Those of the VMs in the standby pool.
    move_s
        How long a VM is unavailable while it moves.
    """

    processors: float
    standby_processors: float = 0.0
    move_s: float = 0.0

    def within_s(self, duration_s: float) -> float:
        """Return the processor seconds available within a duration."""
        moved_s = max(duration_s - self.move_s, 0)
        return self.processors * duration_s + self.standby_processors * moved_s


@dataclasses.dataclass(frozen=True, slots=True)
class FleetWork:
    """Remaining work of the accepted jobs of each service.

    Attributes
    ----------
    steps
        All of it.
    in_time_steps
        Work of the occurrences that can be on time.
    late
        The other occurrences.
    """

    steps: Mapping[str, list[StepWork]]
    in_time_steps: Mapping[str, list[StepWork]]
    late: frozenset[OccurrenceId] = frozenset()

    def in_time_share(self, service: str) -> float:
        """Return the share of a service's work that can be on time."""
        total_s = _processor_s(self.steps.get(service, ()))
        in_time_s = _processor_s(self.in_time_steps.get(service, ()))
        return in_time_s / total_s if total_s else 1.0


def all_in_time(jobs: Iterable[PendingOccurrence]) -> FleetWork:
    """Return work without any split."""
    steps = _by_service(jobs)
    return FleetWork(steps, steps)


def split_work(
    jobs: Iterable[PendingOccurrence],
    capacity: FleetCapacity,
    now_s: float,
    weights: Mapping[str, float],
) -> FleetWork:
    """Return the work of all queues, with what can be on time.

    Parameters
    ----------
    jobs
        Unfinished occurrences of all queues.
    capacity
        Processors of the fleet.
    now_s
        Clock in seconds.
    weights
        Weights of the workspaces that have one.
    """
    found = tuple(jobs)
    late = deferred_on(found, capacity.within_s, now_s, weights)
    in_time = [job for job in found if job.occurrence_id not in late]
    return FleetWork(
        _by_service(found),
        _by_service(in_time),
        frozenset(late),
    )


def _processor_s(steps: Iterable[StepWork]) -> float:
    return sum(
        step.spec.resources.processors * step.tasks * step.task_duration_s
        for step in steps
    )


def _by_service(
    jobs: Iterable[PendingOccurrence],
) -> dict[str, list[StepWork]]:
    work: dict[str, list[StepWork]] = collections.defaultdict(list)
    for pending in jobs:
        work[pending.service].extend(pending.steps)
    return dict(work)
