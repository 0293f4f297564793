"""Build random days with tasks that crash their workers at work."""

from __future__ import annotations

import random

from tests.builders_crashes import CrashingFleet, workers_on_racks
from tests.builders_jobs import QUEUE, job, step, store_with
from wigeonreach.jobs import AddJob, JobPhase, TaskKey
from wigeonreach.lab import commit

_DAY_S = 70.0
_ARRIVALS_S = 20.0
_STORMS_UNTIL_S = 45.0
_STORM_EVERY_S = 4.5
_NEVER_S = float('inf')
_ONLY = 'only'


class CrashDay:
    """A random day: 4 to 10 workers, 8 to 20 jobs, 1 to 6 of them bad.

    Parameters
    ----------
    seed
        Determines the day.
    crashes_after_s
        How long a bad task works before it crashes its worker.
    changes_leader
        Whether there is a new leader every 1 to 9 s.
    storm_ratio
        Share of the workers that crash by themselves, again and again.
    storm_every_s
        How often they do.
    has_only_worker
        Whether jobs with a bad task can run on one of the workers only.
    """

    def __init__(
        self,
        seed: int,
        crashes_after_s: float,
        changes_leader: bool = False,
        storm_ratio: float = 0.0,
        storm_every_s: float = _STORM_EVERY_S,
        has_only_worker: bool = False,
    ) -> None:
        """Draw the fleet and the jobs."""
        self._random = random.Random(seed)
        self._changes_leader = changes_leader
        self._storm_ratio = storm_ratio
        self._storm_every_s = storm_every_s
        self.store = store_with()
        self.bad: set[TaskKey] = set()
        count = self._random.randrange(4, 11)
        racks = self._random.choice((2, 4))
        self.fleet = CrashingFleet(
            self.store,
            workers_on_racks(count, racks),
            self.bad.__contains__,
            work_s=self._random.choice((0.5, 1.5, 3.0, 6.0)),
            back_after_s=self._random.uniform(2, 8),
            crashes_after_s=crashes_after_s,
        )
        self._arrivals = self._draw_jobs()
        self._bad_label = _ONLY if has_only_worker else ''
        self.fleet.up[-1].kind = self._bad_label or self.fleet.up[-1].kind

    def play(self) -> None:
        """Play the whole day."""
        next_leader_s = self._next_leader_s()
        next_storm_s = self._storm_every_s if self._storm_ratio else _NEVER_S
        while self.fleet.lead.now_s < _DAY_S:
            self._accept()
            self.fleet.round()
            now_s = self.fleet.lead.now_s
            if now_s >= next_leader_s:
                self.fleet.change_leader()
                next_leader_s = self._next_leader_s()
            if next_storm_s <= now_s < _STORMS_UNTIL_S:
                next_storm_s += self._storm_every_s
                self._crash_some()

    def most_late_starts(self) -> int:
        """Return the most starts of a bad task after three crashed workers."""
        return max(self.fleet.late_starts[task] for task in self.bad)

    def sound_jobs(self, phase: JobPhase) -> set[str]:
        """Return the jobs without a bad task that are in a phase."""
        bad = {task.job_id for task in self.bad}
        return {
            job_id
            for job_id, record in self.store.jobs.items()
            if record.phase is phase and job_id not in bad
        }

    def _draw_jobs(self) -> list[tuple[float, str, int]]:
        """Return when each job arrives, its id and its number of tasks."""
        bad = self._random.randrange(1, 7)
        arrivals = []
        for number in range(self._random.randrange(8, 21)):
            job_id = f'{self._random.getrandbits(60):016x}'
            count = self._random.randrange(1, 6)
            at_s = self._random.uniform(0, _ARRIVALS_S)
            arrivals.append((at_s, job_id, count))
            if number < bad:
                index = self._random.randrange(count)
                self.bad.add(TaskKey(job_id, 0, 0, index))
        return sorted(arrivals)

    def _accept(self) -> None:
        while self._arrivals and self._arrivals[0][0] <= self.fleet.lead.now_s:
            _, job_id, count = self._arrivals.pop(0)
            is_bad = any(task.job_id == job_id for task in self.bad)
            label = self._bad_label if is_bad else ''
            shape = step(count, cpu_millicores=2300, label=label)
            commit(self.store, AddJob(job(shape, job_id=job_id), QUEUE))

    def _next_leader_s(self) -> float:
        if not self._changes_leader:
            return _NEVER_S
        return self.fleet.lead.now_s + self._random.uniform(1, 9)

    def _crash_some(self) -> None:
        self.fleet.crash_workers(
            worker
            for worker in self.fleet.up
            if self._random.random() < self._storm_ratio
        )
