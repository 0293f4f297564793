"""Test what becomes of tasks that bring their workers down.

Seen: for two minutes one task of 0.36 s took down each worker that started it,
one every four seconds, and with each worker the ten runs beside it; half of
the pool was always away, and no job of the queue ended any more.

How it came about: a worker that started the task was silent from that moment,
its lease ran out, and the task was lost with it and placed on the next.  Its
VM had a new worker 3.2 s later, in another zone and rack each time.

Cause: a run that is lost with its worker counted for nothing, as if only the
worker could be at fault, so nothing ever ended the series.  The log proved it:
each of these runs ended as lost with no failure counted, under one leader, and
workers of the same racks without the task went on.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_crashes import (
    AWAY_S,
    MOST_STARTS,
    CrashingFleet,
    crash_counts,
    is_first,
    nothing,
    on_racks,
    phase_of,
)
from tests.builders_jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    TERM,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    AddJob,
    CrashEvidence,
    JobPhase,
    JobStore,
    RecordRuns,
    RecordVmOrders,
    RunCrashed,
    RunEnd,
    RunEnded,
    RunStarted,
)
from wigeonreach.lab import commit

_FAILED = matchers.Equals(JobPhase.FAILED)
_COMPLETED = matchers.Equals(JobPhase.COMPLETED)
_ACTIVE = matchers.Equals(JobPhase.ACTIVE)
_LONG_S = 60
# Three crashes, each found out after a lease, and little more.
_SOON_S = 16


class TestCrashingTask(testtools.TestCase):
    """A task that crashes each worker that starts it."""

    def test_task_that_crashes_its_workers_is_given_up(self) -> None:
        """It ends as failed, instead of taking down one worker after another."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), lambda task: task == key(0))
        fleet.run(60)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))
        self.assertThat(store.jobs[JOB].phase, matchers.Equals(JobPhase.FAILED))

    def test_jobs_beside_it_are_done(self) -> None:
        """Who was on the same workers is begun again, and ends well."""
        others = [f'{number:016x}' for number in range(1, 9)]
        store = store_with(
            job(step(2)), *(job(step(4), job_id=other) for other in others)
        )
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        for other in others:
            self.assertThat(phase_of(store, other), _COMPLETED)

    def test_many_such_tasks_at_once_are_given_up(self) -> None:
        """Of twelve jobs on six workers, those six that crash them fail."""
        ids = [f'{number:016x}' for number in range(12)]
        bad = set(ids[::2])
        store = store_with(*(job(step(4), job_id=one) for one in ids))
        fleet = CrashingFleet(
            store,
            workers(6),
            lambda task: task.job_id in bad and task.index == 0,
        )
        fleet.run(120)
        for one in ids:
            expected = _FAILED if one in bad else _COMPLETED
            self.assertThat(phase_of(store, one), expected)
            started = len(fleet.starts[key(0, job_id=one)])
            self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_job_of_such_tasks_alone_is_given_up(self) -> None:
        """All its tasks crash their workers, those of a whole rack at once."""
        store = store_with(job(step(8, cpu_millicores=16_000)))
        fleet = CrashingFleet(store, on_racks(8, 2), lambda task: True)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        for started in fleet.starts.values():
            most = matchers.LessThan(MOST_STARTS + 1)
            self.assertThat(len(started), most)

    def test_small_pool_gives_it_up_too(self) -> None:
        """One worker is all there is, so nothing can be kept apart."""
        store = store_with(job(step(2)), job(step(2), job_id=OTHER_JOB))
        fleet = CrashingFleet(store, workers(1), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)

    def test_workers_that_come_back_late_are_waited_for(self) -> None:
        """A task whose crashes are not proved yet is not begun for ever."""
        for back_after_s in (1.0, 9.0, 18.0):
            store = store_with(job(step(4)))
            fleet = CrashingFleet(
                store,
                workers(6),
                is_first,
                back_after_s=back_after_s,
            )
            fleet.run(150)
            self.assertThat(phase_of(store), _FAILED)
            started = len(fleet.starts[key(0)])
            self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_changes_of_leader_lose_no_crash(self) -> None:
        """A leader that never heard a worker knows its VM by the record."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), is_first)
        for _ in range(12):
            fleet.run(6)
            fleet.change_leader()
        self.assertThat(phase_of(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_late_workers_and_new_leaders_lose_no_crash(self) -> None:
        """A leader that knows nothing of a loss knows that there was one."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), is_first, back_after_s=6.5)
        for _ in range(20):
            fleet.run(5)
            fleet.change_leader()
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))
        self.assertThat(phase_of(store), _FAILED)

    def test_order_of_an_earlier_leader_hides_no_start(self) -> None:
        """It was recorded, and answered; what began there since is not ended."""
        store = store_with()
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(1)
        vms = tuple(worker.vm for worker in fleet.up)
        names = tuple(worker.name for worker in fleet.up)
        term = fleet.lead.term
        commit(store, RecordVmOrders(term, vms, workers=names))
        commit(store, RecordVmOrders(term, (), answered=vms))
        fleet.change_leader()
        commit(store, AddJob(job(step(2)), QUEUE))
        fleet.run(5)
        self.assertThat(crash_counts(store)[0], matchers.Equals(1))

    def test_loss_that_is_explained_counts_no_more(self) -> None:
        """A worker that was cut off is heard again, before it is settled."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(4), nothing)
        fleet.run(2)
        cut = [worker for worker in fleet.up if worker.running]
        for worker in cut:
            fleet.lead.workers.pop(worker.name)
        fleet.run(AWAY_S)
        self.assertThat(crash_counts(store), matchers.Equals([1]))
        for returned in cut:
            returned.running.clear()
            fleet.lead.workers[returned.name] = returned
        fleet.run(1)
        self.assertThat(crash_counts(store), matchers.Equals([0]))


class TestKinds(testtools.TestCase):
    """Steps of other kinds that crash their workers."""

    def test_gang_with_such_a_member_is_given_up(self) -> None:
        """The members on other workers are not held to be the cause."""
        gang = step(4, is_gang=True, cpu_millicores=9000)
        store = store_with(job(gang))
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))
        self.assertThat(crash_counts(store)[1:], matchers.Equals([0, 0, 0]))

    def test_copies_do_not_add_to_the_starts(self) -> None:
        """What may have brought a worker down gets no copy elsewhere."""
        store = store_with(job(step(4, has_copies=True)))
        fleet = CrashingFleet(store, workers(6), is_first)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _FAILED)
        started = len(fleet.starts[key(0)])
        self.assertThat(started, matchers.LessThan(MOST_STARTS + 1))

    def test_serving_task_that_crashes_its_workers_costs_no_other(self) -> None:
        """Its job goes on, and nothing else is on a worker that it may crash."""
        store = store_with(job(serving_step(3)), job(step(4), job_id=OTHER_JOB))
        fleet = CrashingFleet(store, workers(8), is_first, work_s=3.0)
        fleet.run(_LONG_S)
        self.assertThat(phase_of(store), _ACTIVE)
        self.assertThat(phase_of(store, OTHER_JOB), _COMPLETED)
        for index in (1, 2):
            crashed = fleet.crashed[key(index)]
            self.assertThat(crashed, matchers.HasLength(0))

    def test_serving_task_outlives_the_crashes_of_its_vms(self) -> None:
        """One that worked for long each time is at no fault, however often."""
        store = store_with(job(serving_step(1)))
        fleet = CrashingFleet(store, workers(6), nothing)
        for _ in range(8):
            fleet.run(20)
            fleet.take_down(worker for worker in fleet.up if worker.running)
        fleet.run(10)
        self.assertThat(phase_of(store), _ACTIVE)
        self.assertThat(crash_counts(store), matchers.Equals([0]))
        self.assertThat(fleet.crashed[key(0)], matchers.HasLength(8))

    def test_serving_tasks_beside_crashes_go_on(self) -> None:
        """Tasks that crash the workers of a pool cost it no serving job."""
        ids = [f'{number:016x}' for number in range(6)]
        store = store_with(
            job(serving_step(3)),
            *(job(step(2), job_id=one) for one in ids),
        )
        fleet = CrashingFleet(
            store,
            workers(6),
            lambda task: task.job_id in ids,
        )
        fleet.run(90)
        self.assertThat(phase_of(store), _ACTIVE)
        for one in ids:
            self.assertThat(phase_of(store, one), _FAILED)
        running = [run for worker in fleet.up for run in worker.running]
        self.assertThat(running, matchers.HasLength(3))


class TestKeptApart(testtools.TestCase):
    """Where tasks run that may crash their workers."""

    def test_after_two_crashes_a_task_runs_alone(self) -> None:
        """The third crash takes nothing of other jobs with it."""
        ids = [f'{number:016x}' for number in range(1, 12)]
        store = store_with(
            job(step(1)), *(job(step(6), job_id=one) for one in ids)
        )
        fleet = CrashingFleet(store, workers(6), is_first, work_s=3.0)
        crashes = 0
        while phase_of(store) is JobPhase.ACTIVE and fleet.lead.now_s < _LONG_S:
            fleet.round()
            if len(fleet.crashed[key(0)]) > crashes:
                crashes = len(fleet.crashed[key(0)])
                worker = fleet.crashed[key(0)][-1]
                beside = [
                    task
                    for task, on in fleet.crashed.items()
                    if worker in on and task.job_id != JOB
                ]
                if max(crash_counts(store)) > 1:
                    self.assertThat(beside, matchers.HasLength(0))
        self.assertThat(phase_of(store), _FAILED)

    def test_next_leader_lets_it_run_alone_too(self) -> None:
        """It knows of the crashes, if not when they were."""
        beside = step(14, cpu_millicores=4000)
        store = store_with(job(beside, job_id=OTHER_JOB))
        fleet = CrashingFleet(store, workers(4), is_first, work_s=4.0)
        fleet.run(1)
        commit(store, AddJob(job(step(1)), QUEUE))
        crashes = tuple(
            RunCrashed(key(0), run, CrashEvidence.BESIDE_OTHERS)
            for run in (1, 2)
        )
        start = RunStarted(key(0), 2, 'gone', 'vm-gone')
        commit(store, RecordRuns(TERM, starts=(start,), crashes=crashes))
        ended = RunEnded(key(0), 2, 'gone', RunEnd.LOST)
        commit(store, RecordRuns(TERM, ends=(ended,)))
        fleet.change_leader()
        while not fleet.crashed[key(0)]:
            fleet.round()
        self.assertThat(fleet.crashed, matchers.HasLength(1))

    def test_worker_is_kept_that_can_take_the_task(self) -> None:
        """It carries what the task needs, and has the room for it."""
        large = workers(8)
        for number, worker in enumerate(large):
            worker.kind = 'large' if number in {5, 6, 7} else 'small'
            # By name alone the small ones would be taken first.
            worker.name = f'{worker.kind != "small"}{number}'
            worker.cpu_millicores = 4000 if number == 5 else 16_000
        store = store_with(
            job(step(1, label='large', cpu_millicores=8000)),
        )
        fleet = CrashingFleet(store, large, is_first)
        fleet.run(_SOON_S)
        self.assertThat(phase_of(store), _FAILED)

    def test_most_of_a_pool_stays_open(self) -> None:
        """Many tasks that have to run alone leave others two thirds of it."""
        bad = [f'{number:016x}' for number in range(6)]
        good = [f'{number:016x}' for number in range(6, 20)]
        store = store_with(
            *(job(step(1), job_id=one) for one in (*bad, *good)),
        )
        fleet = CrashingFleet(
            store, workers(9), lambda task: task.job_id in bad
        )
        fleet.run(40)
        for one in good:
            self.assertThat(phase_of(store, one), _COMPLETED)


class TestRecord(testtools.TestCase):
    """What is replicated of crashes."""

    def test_snapshot_keeps_what_counts(self) -> None:
        """A process that begins from a snapshot counts on from there."""
        store = store_with(job(step(4)))
        fleet = CrashingFleet(store, workers(6), is_first)
        while not any(crash_counts(store)):
            fleet.round()
        restored = JobStore()
        restored.restore(store.snapshot())
        self.assertThat(
            crash_counts(restored), matchers.Equals(crash_counts(store))
        )
        assigned = restored.jobs[JOB].occurrences[0][0]
        before = store.jobs[JOB].occurrences[0][0]
        self.assertThat(
            [task.vm for task in assigned],
            matchers.Equals([task.vm for task in before]),
        )
