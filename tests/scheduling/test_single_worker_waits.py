"""Test each wait of a task where only one worker can ever run it.

Guards against a job that stands still beside an idle, sound worker, because its
task waits for a better worker that does not exist.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_crashes import CrashingFleet, crashes_nothing
from tests.builders_jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    FakeLead,
    job,
    manifest,
    queue,
    serving_step,
    step,
    store_with,
)
from wigeonreach.jobs import (
    AddJob,
    AdvicePolicy,
    JobPhase,
    JobSpec,
    JobStore,
    Run,
    RunEnd,
    SetManifest,
    StepSpec,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling.placing._advice import Advice
from wigeonreach.standins import StandInWorker

# A task whose turn has come starts within this time where there is capacity.
_START_WITHIN_S = 3.0
_IN_TIME = matchers.LessThan(_START_WITHIN_S)
_ROUND_S = 0.1
_LARGE = 'large'
_SMALL = 'kind'
_LARGE_WORKER = 'w9'
_FULL = 16_000
# Until a worker that went down silently is given up.
_GIVEN_UP_AFTER_S = 4.5
_NEVER_S = 1000.0
# Of a task that does not end during a test, but makes progress.
_LONG_S = 300.0
_STORM_EVERY_S = 0.9
_VALID_S = 3.0
_ADVICE = AdvicePolicy(decision_ms=20, per_worker_ms=5, validity_ms=3000)


def _small_workers() -> list[StandInWorker]:
    return [StandInWorker(f's{at}', f'vm-s{at}') for at in range(9)]


def _large_worker(name: str = _LARGE_WORKER) -> StandInWorker:
    """Return a worker with the label that the tasks require."""
    return StandInWorker(name, f'vm-{name}', kind=_LARGE)


def _job_ids(count: int) -> list[str]:
    return [f'{number:016x}' for number in range(1, count + 1)]


def _labelled(job_id: str = JOB) -> JobSpec:
    return job(step(label=_LARGE), job_id=job_id)


def _long_step(label: str = _LARGE, cpu_millicores: int = 1000) -> StepSpec:
    return step(label=label, cpu_millicores=cpu_millicores, estimate_ms=60_000)


def _store_with_attempts(
    jobs: list[JobSpec], advice: AdvicePolicy | None = None
) -> JobStore:
    """Return a store with jobs whose tasks have three attempts each."""
    store = store_with()
    queued = queue(max_failures=3, advice=advice)
    commit(store, SetManifest(manifest(queued, version=2)))
    for spec in jobs:
        commit(store, AddJob(spec, QUEUE))
    return store


class _FailingFleet:
    """Workers of which one with the label fails its first runs.

    Parameters
    ----------
    jobs
        Jobs of tasks that only workers with the label can run.
    failing_runs
        How many runs it fails.
    others
        The other workers.
    advice
        When the advisor, which allows all workers, has to be asked.

    Attributes
    ----------
    lead
        The leader.
    large
        The worker that fails runs.
    longest_wait_s
        The longest time for which it ran nothing.
    """

    def __init__(
        self,
        jobs: list[JobSpec],
        failing_runs: int,
        others: list[StandInWorker],
        advice: AdvicePolicy | None = None,
    ) -> None:
        """Begin with all workers idle."""
        self.large = _large_worker()
        self.lead = FakeLead(
            _store_with_attempts(jobs, advice), [*others, self.large]
        )
        self.longest_wait_s = 0.0
        self._failing_runs = failing_runs
        self._idle_since_s = 0.0

    @property
    def is_done(self) -> bool:
        """Whether all jobs but the other one have ended."""
        return not any(
            record.phase is JobPhase.ACTIVE and record.spec.job_id != OTHER_JOB
            for record in self.lead.store.jobs.values()
        )

    def run_until_done(self, within_s: float = 30.0) -> None:
        """Play until all jobs but the other one have ended.

        Each run on the failing worker takes one round, others do not end.
        """
        until_s = self.lead.now_s + within_s
        while not self.is_done and self.lead.now_s < until_s:
            self._round()

    def _round(self) -> None:
        for worker in self.lead.workers.values():
            # Runs without progress would be stopped.
            worker.advance(int(self.lead.now_s))
        self.lead.round(_ROUND_S)
        self._grant_tickets()
        if self.large.running:
            self._idle_since_s = self.lead.now_s
        waited_s = self.lead.now_s - self._idle_since_s
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        for run in list(self.large.running):
            self.large.end(run, self._next_end())

    def _grant_tickets(self) -> None:
        advisor = self.lead.scheduler.advice
        for request in advisor.pop_requests():
            granted = Advice(dict.fromkeys(request.workers, 'ticket'), _VALID_S)
            advisor.record_advice(request, granted, self.lead.now_s)

    def _next_end(self) -> RunEnd:
        self._failing_runs -= 1
        return RunEnd.FAILED if self._failing_runs >= 0 else RunEnd.DONE


class TestQuarantine(testtools.TestCase):
    """The worker with the label failed runs of several jobs in a row.

    Guards against a quarantine of up to 16 s that leaves tasks no worker.
    """

    def test_only_worker_with_the_label(self) -> None:
        """It is sound again, and three jobs wait for it alone."""
        jobs = [_labelled(job_id) for job_id in _job_ids(3)]
        fleet = _FailingFleet(jobs, 6, _small_workers())
        fleet.run_until_done()
        self.assertThat(fleet.is_done, matchers.Is(True))
        self.assertThat(fleet.longest_wait_s, _IN_TIME)

    def test_gangs_that_fit_only_there(self) -> None:
        """A gang waits no longer than a single task."""
        gang = step(2, label=_LARGE, is_gang=True)
        jobs = [job(gang, job_id=job_id) for job_id in _job_ids(3)]
        fleet = _FailingFleet(jobs, 6, _small_workers())
        fleet.run_until_done()
        self.assertThat(fleet.is_done, matchers.Is(True))
        self.assertThat(fleet.longest_wait_s, _IN_TIME)

    def test_only_worker_needs_a_ticket(self) -> None:
        """The advisor is asked about it as long as no other has capacity."""
        jobs = [_labelled(job_id) for job_id in _job_ids(3)]
        fleet = _FailingFleet(jobs, 6, _small_workers(), _ADVICE)
        fleet.run_until_done()
        self.assertThat(fleet.is_done, matchers.Is(True))
        self.assertThat(fleet.longest_wait_s, _IN_TIME)

    def test_other_worker_with_the_label_is_full(self) -> None:
        """A task that lasts fills it, and most of the pool is idle."""
        filling = job(
            step(label=_LARGE, cpu_millicores=_FULL, estimate_ms=60_000),
            job_id=OTHER_JOB,
        )
        other = _large_worker('w1')
        jobs = [_labelled(job_id) for job_id in _job_ids(3)]
        fleet = _FailingFleet([], 6, [*_small_workers(), other])
        fleet.lead.workers.pop(_LARGE_WORKER)
        commit(fleet.lead.store, AddJob(filling, QUEUE))
        fleet.lead.round(_ROUND_S)
        self.assertThat(other.running, matchers.HasLength(1))
        fleet.lead.workers[_LARGE_WORKER] = fleet.large
        for spec in jobs:
            commit(fleet.lead.store, AddJob(spec, QUEUE))
        fleet.run_until_done()
        self.assertThat(fleet.is_done, matchers.Is(True))
        self.assertThat(fleet.longest_wait_s, _IN_TIME)


class TestQuarantineInBusyPools(testtools.TestCase):
    """Most of the pool is in use, so that the failing worker is often idle."""

    def test_other_worker_with_the_label_is_full(self) -> None:
        """Tasks wait for the end of the quarantine or for the other worker.

        Guards against a worker that fails all runs, and gets all tasks of a
        full pool.
        """
        fleet = _FailingFleet(
            [], 6, [_large_worker(f'w{at}') for at in range(4)]
        )
        fleet.lead.workers.pop(_LARGE_WORKER)
        filling = step(4, cpu_millicores=_FULL, estimate_ms=60_000)
        commit(fleet.lead.store, AddJob(job(filling, job_id=OTHER_JOB), QUEUE))
        fleet.lead.round(_ROUND_S)
        fleet.lead.workers[_LARGE_WORKER] = fleet.large
        for job_id in _job_ids(3):
            commit(fleet.lead.store, AddJob(_labelled(job_id), QUEUE))
        fleet.run_until_done()
        self.assertThat(
            fleet.longest_wait_s, matchers.GreaterThan(_START_WITHIN_S)
        )


class TestUnexplainedLosses(testtools.TestCase):
    """A task lost three workers, of which no one knows the cause yet."""

    def test_lasting_task_on_the_only_worker_left(self) -> None:
        """The VMs of the others stay away, so nothing explains their losses.

        Guards against a lasting task that is down for 15 s beside an idle
        worker: its losses are no reason to give it up.
        """
        fleet = CrashingFleet(
            store_with(job(serving_step(1, label=_LARGE))),
            [
                *_small_workers(),
                *(_large_worker(f'w{number}') for number in range(4)),
            ],
            crashes_nothing,
            back_after_s=_NEVER_S,
        )
        for _ in range(3):
            fleet.run(_START_WITHIN_S + _GIVEN_UP_AFTER_S)
            fleet.crash_workers(_busy(fleet))
        began_s = fleet.lead.now_s + _GIVEN_UP_AFTER_S
        while not _busy(fleet):
            fleet.round()
        self.assertThat(fleet.lead.now_s - began_s, _IN_TIME)


class TestIsolation(testtools.TestCase):
    """A task that lost two workers is to run alone at first."""

    def test_lasting_task_on_the_only_worker(self) -> None:
        """It never ends, so the worker never becomes empty.

        Guards against a sound job that stands still for 10 s beside a worker
        with room.
        """
        lasting = serving_step(1, label=_LARGE)
        self.assertThat(_wait_beside_s(lasting), _IN_TIME)

    def test_suspects_on_the_only_worker(self) -> None:
        """A suspect runs alone there, or other workers keep failing.

        Guards against a sound job that stands still for 10 s, or for 30 s, as
        the next loss is to show which task is the cause.  The first and the
        last one wait as suspects, the gang for a suspect of another job.
        """
        gang = step(2, label=_LARGE, is_gang=True)
        waits_s = [
            _wait_beside_s(_long_step()),
            _wait_for_open_worker_s(gang),
            _wait_for_calm_s(),
        ]
        self.assertThat(waits_s, matchers.AllMatch(_IN_TIME))


def _wait_beside_s(other: StepSpec) -> float:
    """Return how long a task waits that lost its workers with another one."""
    fleet = CrashingFleet(
        store_with(job(other, job_id=OTHER_JOB), job(_long_step())),
        [*_small_workers(), _large_worker()],
        crashes_nothing,
        work_s=_LONG_S,
    )
    for _ in range(2):
        _run_until_running(fleet, 2)
        fleet.run(1)
        fleet.crash_workers(_busy(fleet))
    _run_until_running(fleet, 1)
    began_s = fleet.lead.now_s
    _run_until_running(fleet, 2)
    return fleet.lead.now_s - began_s


def _wait_for_calm_s() -> float:
    """Return how long a task waits that lost three workers, in a storm.

    Its worker is back and sound, others go on failing.
    """
    fleet = CrashingFleet(
        store_with(job(_long_step())),
        [*_small_workers(), _large_worker()],
        crashes_nothing,
        work_s=_LONG_S,
    )
    for _ in range(3):
        _run_until_running(fleet, 1)
        fleet.run(1)
        fleet.crash_workers([*_busy(fleet), *_small(fleet)[:2]])
    began_s = fleet.lead.now_s
    while not _runs(fleet) and fleet.lead.now_s < began_s + _LONG_S:
        if not _large_workers(fleet):
            began_s = fleet.lead.now_s
        fleet.run(_STORM_EVERY_S)
        fleet.crash_workers(_small(fleet)[:1])
    return fleet.lead.now_s - began_s


class TestReservedWorkers(testtools.TestCase):
    """A worker is closed, as a suspect task of another job runs alone there."""

    def test_only_worker_with_the_label(self) -> None:
        """The task that waits can run nowhere else.

        Guards against a sound job that waits until the suspect is cleared.
        """
        self.assertThat(_wait_for_open_worker_s(step(label=_LARGE)), _IN_TIME)


def _wait_for_open_worker_s(waiting: StepSpec) -> float:
    """Return how long a step waits for the worker on which a suspect runs."""
    filling = _long_step(label=_SMALL, cpu_millicores=_FULL)
    store = store_with(job(filling, job_id=OTHER_JOB))
    fleet = CrashingFleet(
        store,
        [_small_workers()[0], _large_worker()],
        crashes_nothing,
        work_s=_LONG_S,
    )
    fleet.run(1)
    commit(store, AddJob(job(_long_step(label='')), QUEUE))
    for _ in range(2):
        _run_until_running(fleet, 2)
        fleet.run(1)
        fleet.crash_workers(_large_workers(fleet))
    _run_until_running(fleet, 2)
    commit(store, AddJob(job(waiting, job_id=_job_ids(1)[0]), QUEUE))
    began_s = fleet.lead.now_s
    _run_until_running(fleet, 3)
    return fleet.lead.now_s - began_s


def _run_until_running(fleet: CrashingFleet, count: int) -> None:
    """Play until some number of tasks runs, for some time at most."""
    until_s = fleet.lead.now_s + _NEVER_S
    while len(_runs(fleet)) < count and fleet.lead.now_s < until_s:
        fleet.round()


def _runs(fleet: CrashingFleet) -> list[Run]:
    return [run for worker in fleet.up for run in worker.running]


def _large_workers(fleet: CrashingFleet) -> list[StandInWorker]:
    return [worker for worker in fleet.up if worker.kind == _LARGE]


def _small(fleet: CrashingFleet) -> list[StandInWorker]:
    return [worker for worker in fleet.up if worker.kind == _SMALL]


def _busy(fleet: CrashingFleet) -> list[StandInWorker]:
    return [worker for worker in fleet.up if worker.running]
