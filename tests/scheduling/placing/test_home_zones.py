"""Test that the tasks of a batch job run in one zone where that costs nothing.

A zone may be lost as a whole.  With the tasks of each job in all zones, its
loss holds up every running job.
"""

from __future__ import annotations

import collections

import testtools
from testtools import matchers

from tests.builders_jobs import (
    QUEUE,
    TERM,
    FakeLead,
    job,
    serving_step,
    step,
    store_with,
)
from wigeonreach.jobs import AddJob, JobSpec, JobStore
from wigeonreach.lab import commit
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.standins import StandInWorker

_ZONES = ('a', 'b', 'c')
_WORKERS = 12
# A worker has 16 processors; a job fills most of one.
_TASKS = 6
_NONE = matchers.HasLength(0)


def _workers(count: int = _WORKERS) -> list[StandInWorker]:
    """Return workers spread over three zones, two to a rack."""
    return [
        StandInWorker(
            f'w{number}',
            f'vm{number}',
            zone=_ZONES[number % len(_ZONES)],
            rack=f'rack-{number % 6}',
        )
        for number in range(count)
    ]


def _spec(number: int, tasks: int = _TASKS, **changes: object) -> JobSpec:
    fields: dict[str, object] = {'cpu_millicores': 2000, **changes}
    return job(step(tasks, **fields), job_id=f'{number:016x}')


def _lead(*specs: JobSpec, keeps_zones: bool = True) -> FakeLead:
    settings = SchedulingSettings(keeps_jobs_in_zones=keeps_zones)
    lead = FakeLead(store_with(), _workers(), settings=settings)
    lead.round()
    for spec in specs:
        commit(lead.store, AddJob(spec, QUEUE))
        lead.round()
    return lead


def _zones_of(lead: FakeLead) -> dict[str, collections.Counter[str]]:
    """Return the number of running tasks of each job by zone."""
    zones: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    for worker in lead.workers.values():
        for key, _ in worker.running:
            zones[key.job_id][worker.zone] += 1
    return zones


class TestHomeZones(testtools.TestCase):
    """A pool in three zones with room for all jobs."""

    def test_lost_zone_hits_few_jobs(self) -> None:
        """It hits a third of them and a tenth, instead of most."""
        share = 1 / len(_ZONES) + 0.1
        hit = {}
        for keeps_zones in (True, False):
            lead = _lead(
                *(_spec(number) for number in range(1, 13)),
                keeps_zones=keeps_zones,
            )
            jobs = _zones_of(lead)
            self.assertThat(jobs, matchers.HasLength(12))
            hit[keeps_zones] = max(
                sum(zone in zones for zones in jobs.values()) / len(jobs)
                for zone in _ZONES
            )
        self.assertThat(hit[True], matchers.Not(matchers.GreaterThan(share)))
        self.assertThat(hit[False], matchers.GreaterThan(hit[True]))

    def test_no_zone_takes_more_than_its_share(self) -> None:
        """Jobs are balanced over the zones."""
        lead = _lead(*(_spec(number) for number in range(1, 10)))
        homes = collections.Counter(
            next(iter(zones)) for zones in _zones_of(lead).values()
        )
        self.assertThat(sorted(homes.values()), matchers.Equals([3, 3, 3]))

    def test_nothing_waits_for_its_home(self) -> None:
        """Tasks that do not fit there start elsewhere at once."""
        lead = _lead(_spec(1, tasks=80))
        running = sum(_zones_of(lead)[_spec(1).job_id].values())
        self.assertThat(running, matchers.Equals(80))

    def test_serving_tasks_have_no_home(self) -> None:
        """Their placement is as before."""
        placed = [
            _zones_of(_lead(job(serving_step(3)), keeps_zones=keeps_zones))
            for keeps_zones in (True, False)
        ]
        self.assertThat(placed[0], matchers.Equals(placed[1]))


class TestFailures(testtools.TestCase):
    """One failure each."""

    def test_suspect_zone_is_no_home(self) -> None:
        """Its workers fall silent together, before any lease is over."""
        lead = _lead(_spec(1))
        home = next(iter(_zones_of(lead)[_spec(1).job_id]))
        lead.workers = {
            name: worker
            for name, worker in lead.workers.items()
            if worker.zone != home
        }
        for _ in range(10):
            lead.round()
        for number in range(2, 8):
            commit(lead.store, AddJob(_spec(number), QUEUE))
        lead.plan()
        starts = _assigned_zones(lead.store, lead)
        self.assertThat(
            {zones.most_common(1)[0][0] for zones in starts} & {home}, _NONE
        )

    def test_next_leader_keeps_the_home(self) -> None:
        """It finds the zone from the runs."""
        lead = _lead(
            job(
                step(2, cpu_millicores=2000),
                step(_TASKS, cpu_millicores=2000),
                job_id=f'{1:016x}',
            )
        )
        home = next(iter(_zones_of(lead)[_spec(1).job_id]))
        successor = FakeLead(
            lead.store,
            lead.workers.values(),
            TERM + 1,
            lead.now_s,
            SchedulingSettings(keeps_jobs_in_zones=True),
        )
        for _ in range(3):
            successor.round()
        self.assertThat(
            set(_zones_of(successor)[f'{1:016x}']), matchers.Equals({home})
        )


def _assigned_zones(
    store: JobStore, lead: FakeLead
) -> list[collections.Counter[str]]:
    """Return the assigned tasks of the jobs that began last, by zone."""
    zones: dict[str, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    incarnations = lead.scheduler.workers.incarnations
    for worker, runs in store.assigned_runs.items():
        for key in runs:
            if key.job_id != _spec(1).job_id:
                zone = incarnations[worker].report.zone
                zones[key.job_id][zone] += 1
    return list(zones.values())
