"""Test how often a task is started after three workers crashed under it.

Guards against this failure: a task crashed each of its workers some moments
after its start, when a heartbeat had listed the run.  Each loss was evidence of
a kind that no limit counted, so the task was started without limit.
"""

from __future__ import annotations

import itertools

import testtools
from testtools import matchers

from tests.builders_crash_days import CrashDay
from tests.builders_crashes import (
    CRASHES,
    MOST_LATE_STARTS,
    CrashingFleet,
    is_first,
    phase_of,
    workers_on_racks,
)
from tests.builders_jobs import (
    OTHER_JOB,
    QUEUE,
    job,
    key,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob, CrashEvidence, JobPhase
from wigeonreach.lab import commit
from wigeonreach.standins import StandInWorker

_FEW = matchers.LessThan(MOST_LATE_STARTS + 1)
# One heartbeat or more lists the run before its worker goes down.
_CRASHES_AFTER_S = (0.2, 0.5, 1.2, 3.0)
_SEEDS = 4
_LONG_S = 60
_NEVER_S = float('inf')
# Days on which sound jobs were given up without this.
_STORM_SEEDS = (0, 16, 74, 76)
# Days without storms on which bad tasks excused each other's losses.
_EXCUSED_SEEDS = (134, 224, 243)
_EXCUSED_AFTER_S = 1.2
# Seeds of days with storms and bad tasks, and when these crash their workers.
_STORMS_BESIDE_BAD_TASKS = ((0, 0.5), (3, 0.5), (5, 1.2), (27, 1.2))

_UNPAUSED_STORMS = ((8, 0.2), (32, 0.2), (8, 0.5), (28, 0.5))
_STORMS_AT_AN_ONLY_WORKER = ((9, 0.2), (8, 0.5))
_STORMS_BESIDE_SOUND_JOBS = ((5, 0.5),)


class TestStartsAfterCrashes(testtools.TestCase):
    """A task that crashes each worker some moments after its start."""

    def test_task_that_crashes_its_workers_at_work_is_given_up(self) -> None:
        """It runs beside others, so each of its crashes proves little."""
        for after_s in _CRASHES_AFTER_S:
            others = [f'{number:016x}' for number in range(1, 20)]
            store = store_with(
                job(step(1)), *(job(step(2), job_id=one) for one in others)
            )
            fleet = CrashingFleet(
                store,
                workers(6),
                is_first,
                # Longer than the task takes to crash its worker.
                max(2.0, after_s + 1.0),
                crashes_after_s=after_s,
            )
            fleet.run(_LONG_S)
            self.assertThat(fleet.late_starts[key(0)], _FEW)
            self.assertThat(phase_of(store), matchers.Equals(JobPhase.FAILED))
            for one in others:
                done = matchers.Equals(JobPhase.COMPLETED)
                self.assertThat(phase_of(store, one), done)

    def test_days_of_one_leader_give_few_starts(self) -> None:
        """Several such tasks at once, beside sound jobs, which are done."""
        self._play_days(changes_leader=False)

    def test_days_of_many_leaders_give_few_starts(self) -> None:
        """Each leader knows what the former ones started and lost."""
        self._play_days(changes_leader=True)

    def test_suspects_excuse_no_crash_of_each_other(self) -> None:
        """Two tasks crash their workers at the same moment, again and again.

        The first time each looks like a sound task beside a worker that failed
        by itself; from then on both are suspects.
        """
        large = step(1, cpu_millicores=16_000)
        store = store_with(job(large), job(large, job_id=OTHER_JOB))
        fleet = CrashingFleet(
            store, workers(6), lambda task: True, 3.0, crashes_after_s=1.2
        )
        fleet.run(20)
        for task_key in (key(0), key(0, job_id=OTHER_JOB)):
            task = store.task_of(task_key)
            assert task is not None
            evidence = [crash.evidence for crash in task.crashes[:2]]
            expected = [CrashEvidence.UNCERTAIN, CrashEvidence.AT_WORK]
            self.assertThat(evidence, matchers.Equals(expected))

    def test_racks_that_tasks_crash_excuse_them_once(self) -> None:
        """Two tasks crash both workers of a rack, again and again.

        The first time the rack seems to have failed by itself.
        """
        large = step(1, cpu_millicores=16_000)
        store = store_with(job(large), job(large, job_id=OTHER_JOB))
        fleet = CrashingFleet(
            store,
            workers_on_racks(2, 1),
            lambda task: True,
            3.0,
            crashes_after_s=1.2,
        )
        fleet.run(_LONG_S)
        for task_key in (key(0), key(0, job_id=OTHER_JOB)):
            self.assertThat(fleet.late_starts[task_key], _FEW)

    def test_vm_that_failed_before_makes_no_run_beside_others(self) -> None:
        """A task crashes its worker alone, where one failed by itself.

        Guards against evidence that spares a task, as if others had run
        beside it.
        """
        store = store_with()
        fleet = CrashingFleet(
            store, workers(1), is_first, 3.0, crashes_after_s=1.2
        )
        fleet.run(2)
        fleet.crash_workers(fleet.up)
        fleet.run(8)
        commit(store, AddJob(job(step(1)), QUEUE))
        fleet.run(10)
        task = store.task_of(key(0))
        assert task is not None
        evidence = [crash.evidence for crash in task.crashes[:1]]
        expected = [CrashEvidence.UNCERTAIN]
        self.assertThat(evidence, matchers.Equals(expected))

    def test_vms_that_stay_away_explain_no_crash(self) -> None:
        """Each VM is down for longer than a loss is waited for."""
        store = store_with(job(step(2)))
        fleet = CrashingFleet(
            store,
            workers(16),
            is_first,
            work_s=2.0,
            back_after_s=300.0,
            crashes_after_s=0.5,
        )
        fleet.run(200)
        self.assertThat(fleet.late_starts[key(0)], _FEW)
        self.assertThat(phase_of(store), matchers.Equals(JobPhase.FAILED))

    def test_new_leaders_settle_what_former_ones_left_open(self) -> None:
        """So a job that is out of starts ends, and doesn't wait for ever.

        Its VMs have no new worker before the next leader has begun, so no
        leader that saw a loss ever settles it.
        """
        store = store_with(job(step(2)))
        fleet = CrashingFleet(
            store,
            workers(8),
            is_first,
            work_s=2.0,
            back_after_s=9.0,
            crashes_after_s=0.5,
        )
        for _ in range(20):
            fleet.run(6.5)
            fleet.change_leader()
        self.assertThat(fleet.late_starts[key(0)], _FEW)
        self.assertThat(phase_of(store), matchers.Equals(JobPhase.FAILED))

    def test_late_heartbeats_of_lost_workers_explain_no_loss(self) -> None:
        """One is underway when a worker goes down, and arrives 5 s later."""
        store = store_with(job(step(2)))
        fleet = CrashingFleet(
            store,
            workers(6),
            is_first,
            work_s=2.0,
            back_after_s=6.5,
            crashes_after_s=0.5,
        )
        late: list[tuple[float, StandInWorker]] = []
        before = {worker.name: worker for worker in fleet.up}
        while fleet.lead.now_s < _LONG_S:
            fleet.round()
            now_s = fleet.lead.now_s
            after = {worker.name: worker for worker in fleet.up}
            late.extend(
                (now_s + 5.0, before[name])
                for name in before.keys() - after.keys()
            )
            before = after
            while late and late[0][0] <= now_s:
                fleet.lead.hear(late.pop(0)[1])
        self.assertThat(fleet.late_starts[key(0)], _FEW)
        self.assertThat(phase_of(store), matchers.Equals(JobPhase.FAILED))

    def test_last_starts_wait_until_workers_stop_failing(self) -> None:
        """A third of the workers goes down every 4.5 s, by themselves.

        A sound task that was lost three times is not started until that is
        over, or for 10 s, so it is not lost five times and given up.
        """
        for seed in _STORM_SEEDS:
            day = CrashDay(seed, crashes_after_s=_NEVER_S, storm_ratio=0.35)
            day.bad.clear()
            day.play()
            failed = day.sound_jobs(JobPhase.FAILED)
            self.assertThat(failed, matchers.HasLength(0), f'seed {seed}')

    def test_storms_beside_such_tasks_give_few_starts(self) -> None:
        """A third of the workers goes down by itself every 4.5 s besides."""
        for seed, after_s in _STORMS_BESIDE_BAD_TASKS:
            day = CrashDay(seed, after_s, storm_ratio=0.35)
            day.play()
            case = f'seed {seed}, {after_s} s'
            self.assertThat(day.most_late_starts(), _FEW, case)
            failed = day.sound_jobs(JobPhase.FAILED)
            self.assertThat(failed, matchers.HasLength(0), case)

    def test_storms_that_never_pause_give_few_starts(self) -> None:
        """Some workers go down by themselves every 0.9 s.

        Guards against a sixth start, as all losses coincide with others.
        """
        for seed, after_s in _UNPAUSED_STORMS:
            day = CrashDay(seed, after_s, storm_ratio=0.08, storm_every_s=0.9)
            day.play()
            case = f'seed {seed}, {after_s} s'
            self.assertThat(day.most_late_starts(), _FEW, case)

    def test_storms_beside_such_tasks_on_an_only_worker(self) -> None:
        """Only one worker can run the tasks that crash it.

        Guards against starts beside other suspects there, as a task waits no
        longer for a worker of its own: their losses show no cause.
        """
        for seed, after_s in _STORMS_AT_AN_ONLY_WORKER:
            day = CrashDay(
                seed, after_s, storm_ratio=0.35, has_only_worker=True
            )
            day.play()
            case = f'seed {seed}, {after_s} s'
            self.assertThat(day.most_late_starts(), _FEW, case)

    def test_storms_beside_such_tasks_fail_no_sound_job(self) -> None:
        """A third of the workers goes down by itself every 4.5 s besides.

        Guards against a sound job that is given up after five such losses.
        """
        for seed, after_s in _STORMS_BESIDE_SOUND_JOBS:
            day = CrashDay(seed, after_s, storm_ratio=0.35)
            day.play()
            failed = day.sound_jobs(JobPhase.FAILED)
            case = f'seed {seed}, {after_s} s'
            self.assertThat(failed, matchers.HasLength(0), case)

    def test_tasks_that_excuse_each_other_get_few_starts(self) -> None:
        """Bad tasks alone make losses that coincide, and racks that fail.

        Guards against a sixth start, as fewer than three of five losses had no
        other explanation.
        """
        for seed in _EXCUSED_SEEDS:
            day = CrashDay(seed, _EXCUSED_AFTER_S)
            day.play()
            self.assertThat(day.most_late_starts(), _FEW, f'seed {seed}')
            failed = day.sound_jobs(JobPhase.FAILED)
            self.assertThat(failed, matchers.HasLength(0), f'seed {seed}')

    def _play_days(self, changes_leader: bool) -> None:
        for after_s, seed in itertools.product(_CRASHES_AFTER_S, range(_SEEDS)):
            day = CrashDay(seed, after_s, changes_leader)
            day.play()
            self.assertThat(
                day.most_late_starts(),
                _FEW,
                f'seed {seed}, {after_s} s, {CRASHES} crashes',
            )
            done = day.sound_jobs(JobPhase.COMPLETED)
            others = day.store.jobs.keys() - {task.job_id for task in day.bad}
            self.assertThat(done, matchers.Equals(others))
