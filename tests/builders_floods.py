"""Builders of days on which some queues ask for far more than usual."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Iterator

from wigeonreach.lab import Day, DayPlan, DemandPlan, FleetPlan, Flood
from wigeonreach.lab._demand import Arrival
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.scheduling._objectives import objective_s

_FLEET = FleetPlan(
    pool_vms=3, standby_vms=3, rack_vms=3, millicores=16_000, memory_mb=65_536
)
_TURN_S = 3.0
# When VMs are cut off, and for how long; jobs come from second 9 on.
_LOST_FROM_S = 11.0
_LOST_FOR_S = 5.0
_DEMAND = DemandPlan(
    peak_s=_TURN_S, length_s=18.0, serving_tasks=0, millicores=2500
)


@dataclasses.dataclass(slots=True)
class FloodedDay:
    """What became of the jobs of a day.

    Attributes
    ----------
    in_time
        Whether each job was in time, by the turn in which it came.
    worth
        Mean worth of all jobs.
    stopped_runs
        Runs that started again.
    max_runs
        The largest number of runs of one task.
    """

    in_time: dict[int, list[bool]]
    worth: float
    stopped_runs: int
    max_runs: int

    def share_in_time(self, *turns: int) -> float:
        """Return the share of jobs of some turns that were in time."""
        ends = [end for turn in turns for end in self.in_time[turn]]
        return sum(ends) / len(ends)


class _RecordingDay(Day):
    """A day that records when jobs complete, and may lose VMs in a flood."""

    def __init__(self, plan: DayPlan, seed: int, lost_vms: int) -> None:
        self.completed_s: dict[str, float] = {}
        self._lost_vms = lost_vms
        super().__init__(plan, seed)

    @property
    def arrivals(self) -> Iterator[Arrival]:
        yield from self._all_arrivals.values()

    def _inject_faults(self) -> None:
        super()._inject_faults()
        if self._now_s >= _LOST_FROM_S:
            for vm in list(self.fleet.vms.values())[: self._lost_vms]:
                vm.partitioned_until_s = _LOST_FROM_S + _LOST_FOR_S

    def _pop_completed(self) -> Iterator[Arrival]:
        for arrival in super()._pop_completed():
            self.completed_s[arrival.spec.job_id] = self._now_s
            yield arrival


def play_flood(
    *floods: Flood,
    jobs_per_s: float,
    seed: int,
    is_shared: bool = True,
    leader_changes: int = 0,
    lost_vms: int = 0,
) -> FloodedDay:
    """Simulate a day of four queues whose turns follow each other.

    Parameters
    ----------
    floods
        Queues that ask for more than their usual.
    jobs_per_s
        Usual rate of a queue in its turn; 15 VMs can do some 5 a second.
    seed
        Seed of the day.
    is_shared
        Whether late work makes way while VMs are short.
    leader_changes
        Number of leader changes, evenly spaced.
    lost_vms
        VMs that are cut off together while the first turn goes on.
    """
    demand = dataclasses.replace(_DEMAND, jobs_per_s=jobs_per_s, floods=floods)
    day = _RecordingDay(
        DayPlan(
            demand,
            _FLEET,
            leader_changes=leader_changes,
            scheduling=SchedulingSettings(
                move_s=_FLEET.move_s,
                far_factor=_FLEET.far_factor,
                shares_shortage=is_shared,
            ),
        ),
        seed,
        lost_vms,
    )
    arrivals = list(day.arrivals)
    outcome = day.simulate()
    in_time: dict[int, list[bool]] = collections.defaultdict(list)
    first_s = min(arrival.at_s for arrival in arrivals)
    for arrival in arrivals:
        job = day.store.jobs[arrival.spec.job_id]
        ended_s = day.completed_s.get(arrival.spec.job_id, float('inf'))
        turn = int((arrival.at_s - first_s) / _TURN_S)
        in_time[turn].append(ended_s - arrival.at_s <= objective_s(job))
    return FloodedDay(
        in_time, outcome.worth, outcome.restarts, max(_run_counts(day))
    )


def _run_counts(day: Day) -> Iterator[int]:
    """Yield how many runs each task had."""
    for job in day.store.jobs.values():
        for step in itertools.chain.from_iterable(job.occurrences):
            yield from (task.run for task in step)
