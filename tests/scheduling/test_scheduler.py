"""Test the leader's decisions about workers and runs."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    JOB,
    OTHER_JOB,
    QUEUE,
    SERVICE,
    TERM,
    FakeLead,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob, JobPhase, RunEnd, RunEnded
from wigeonreach.lab import commit
from wigeonreach.scheduling import Scheduler
from wigeonreach.scheduling._incarnation import LEASE_EXPIRED_S
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import RunningTask, WorkerReport

_FULL = 16_000


class TestStarting(testtools.TestCase):
    """Which tasks start, and where."""

    def test_step_waits_for_the_steps_before(self) -> None:
        """A step starts after all tasks of the steps that it depends on."""
        store = store_with(job(step(2), step(1, after=(0,))))
        lead = FakeLead(store, workers(2))
        lead.round()
        started = [
            run for worker in lead.workers.values() for run in worker.running
        ]
        self.assertThat({run[0].step for run in started}, matchers.Equals({0}))
        for worker in lead.workers.values():
            for run in list(worker.running):
                worker.end(run, RunEnd.DONE)
        lead.round()
        running = [
            run for worker in lead.workers.values() for run in worker.running
        ]
        self.assertThat(running, matchers.Equals([(key(0, 1), 1)]))

    def test_resources_of_a_stopping_run_are_taken(self) -> None:
        """A run being stopped uses resources until its end is listed."""
        store = store_with(job(step(1, cpu_millicores=_FULL)))
        lead = FakeLead(store, workers(1))
        lead.round()
        lead.cancel()
        worker = lead.workers['w0']
        lead.hear(worker)
        self.assertThat(lead.plan(), matchers.HasLength(0))
        capacities = lead.scheduler.available_workers(lead.now_s, {SERVICE})
        free = capacities['desk'][0].free
        self.assertThat(free.processors, matchers.Equals(0))

    def test_draining_worker_gets_nothing(self) -> None:
        """A run that was assigned to it but did not begin is reassigned."""
        store = store_with(job())
        lead = FakeLead(store, workers(1))
        lead.hear(lead.workers['w0'])
        lead.plan()
        lead.workers['w0'].is_draining = True
        lead.workers['w1'] = StandInWorker('w1', 'vm1')
        lead.round()
        lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))
        self.assertThat(
            list(lead.workers['w1'].running),
            matchers.Equals([(key(), 2)]),
        )

    def test_worker_of_another_service_gets_nothing(self) -> None:
        """A worker of another service gets none of the service's tasks."""
        lead = FakeLead(
            store_with(job()),
            [StandInWorker('w0', 'vm0', service='other')],
        )
        lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))

    def test_failed_task_tries_another_worker(self) -> None:
        """A task that failed on a worker goes elsewhere if there is capacity."""
        lead = FakeLead(store_with(job()), workers(2))
        lead.round()
        first = next(
            worker for worker in lead.workers.values() if worker.running
        )
        first.end((key(), 1), RunEnd.FAILED)
        lead.round()
        self.assertThat(first.running, matchers.HasLength(0))

    def test_gang_starts_whole_or_not_at_all(self) -> None:
        """No member holds resources while another finds none."""
        gang = step(3, cpu_millicores=_FULL, is_gang=True)
        lead = FakeLead(store_with(job(gang)), workers(2))
        lead.round()
        self.assertThat(lead.store.assigned_runs, matchers.HasLength(0))
        lead.workers['w2'] = StandInWorker('w2', 'vm2')
        lead.round()
        self.assertThat(lead.store.assigned_runs, matchers.HasLength(3))


class TestLeases(testtools.TestCase):
    """When a worker's runs may be reassigned."""

    def test_silent_worker_keeps_its_runs_for_its_lease(self) -> None:
        """A task runs nowhere else before the lease has certainly expired."""
        lead = FakeLead(store_with(job()), workers(1))
        lead.round()
        lead.now_s += LEASE_EXPIRED_S - 0.05
        self.assertThat(
            lead.scheduler.take_lost_runs(lead.now_s), matchers.HasLength(0)
        )
        lead.now_s += 0.1
        self.assertThat(
            lead.scheduler.take_lost_runs(lead.now_s), matchers.HasLength(1)
        )

    def test_new_leader_waits_out_unknown_leases(self) -> None:
        """An earlier leader may have answered just before the term began."""
        store = store_with(job())
        FakeLead(store, workers(1)).round()
        lead = FakeLead(store, [StandInWorker('w1', 'vm1')])
        lead.now_s = LEASE_EXPIRED_S - 0.05
        self.assertThat(
            lead.scheduler.take_lost_runs(lead.now_s), matchers.HasLength(0)
        )
        lead.now_s = LEASE_EXPIRED_S
        self.assertThat(
            lead.scheduler.take_lost_runs(lead.now_s), matchers.HasLength(1)
        )

    def test_order_that_had_no_effect_ends_no_incarnation(self) -> None:
        """The platform also confirms orders that it carried out long before."""
        lead = FakeLead(store_with(job()), workers(1))
        lead.round()
        lead.scheduler.workers.note_ordered('w0', lead.now_s)
        for percent in range(12):
            lead.workers['w0'].advance(percent)
            lead.round(0.2)
            self.assertThat(
                lead.scheduler.take_lost_runs(lead.now_s),
                matchers.HasLength(0),
            )
        self.assertThat(
            lead.scheduler.workers.incarnations['w0'].accepts_work(lead.now_s),
            matchers.Is(True),
        )

    def test_ordered_worker_gets_nothing_new(self) -> None:
        """It is about to end, whatever its last heartbeat reported."""
        lead = FakeLead(store_with(), workers(1))
        lead.round()
        lead.scheduler.workers.note_ordered('w0', lead.now_s)
        self.assertThat(
            lead.scheduler.workers.incarnations['w0'].accepts_work(lead.now_s),
            matchers.Is(False),
        )

    def test_late_heartbeat_changes_nothing(self) -> None:
        """A heartbeat that was overtaken by a newer one is ignored."""
        lead = FakeLead(store_with(job()), workers(1))
        worker = lead.workers['w0']
        late = worker.report()
        lead.round()
        self.assertThat(
            lead.scheduler.process_heartbeat(late, 5.0), matchers.Is(None)
        )

    def test_late_heartbeat_of_an_ended_worker_ends_no_successor(self) -> None:
        """One heartbeat of an old incarnation does not end the new one."""
        lead = FakeLead(store_with(job()), [StandInWorker('new', 'vm0')])
        lead.round()
        lead.hear(StandInWorker('old', 'vm0'))
        for percent in range(8):
            lead.workers['new'].advance(percent)
            lead.round(0.3)
        self.assertThat(
            list(lead.workers['new'].running),
            matchers.Equals([(key(), 1)]),
        )

    def test_successor_ends_an_old_incarnation(self) -> None:
        """A live incarnation on a VM shows that the old one has ended."""
        lead = FakeLead(store_with(job()), [StandInWorker('old', 'vm0')])
        lead.round()
        lead.workers = {'new': StandInWorker('new', 'vm0')}
        for _ in range(8):
            lead.round(0.3)
        self.assertThat(
            list(lead.workers['new'].running),
            matchers.Equals([(key(), 2)]),
        )


def _ends(lead: FakeLead, report: WorkerReport) -> tuple[RunEnded, ...]:
    heard = lead.scheduler.process_heartbeat(report, lead.now_s)
    assert heard is not None
    return heard.ends


class TestEnds(testtools.TestCase):
    """Ends that workers list until they are acknowledged."""

    def test_end_is_acknowledged_once(self) -> None:
        """An end that is listed again is recorded only once."""
        lead = FakeLead(store_with(job(step(2))), workers(1))
        lead.round()
        worker = lead.workers['w0']
        worker.end((key(0), 1), RunEnd.FAILED)
        report = worker.report()
        self.assertThat(_ends(lead, report), matchers.HasLength(1))
        lead.scheduler.workers.incarnations['w0'].last_recorded_end = 1
        self.assertThat(_ends(lead, worker.report()), matchers.HasLength(0))

    def test_cancelled_job_is_stopped(self) -> None:
        """The next answer stops the runs of the job."""
        lead = FakeLead(store_with(job(step(2))), workers(1))
        lead.round()
        lead.cancel()
        lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))
        self.assertThat(
            lead.store.jobs[JOB].phase,
            matchers.Equals(JobPhase.CANCELLED),
        )


class TestUnorderedRuns(testtools.TestCase):
    """Workers that list runs which no leader ordered."""

    def test_run_that_nobody_ordered_is_stopped(self) -> None:
        """The leader stops it whatever its key is, and does not fail."""
        lead = FakeLead(store_with(job()), workers(1))
        worker = lead.workers['w0']
        for strange in (key(7), key(0, 7), key(0, 0, '00000000000000ff')):
            worker.running[strange, 1] = RunningTask(strange, 1, '', 5)
        lead.scheduler.pacing.set('w0', 50)
        lead.round()
        self.assertThat(
            list(worker.running),
            matchers.Equals([(key(), 1)]),
        )


class TestPreemption(testtools.TestCase):
    """Serving tasks in a full pool."""

    def test_batch_work_is_preempted(self) -> None:
        """Batch runs are stopped, and no other batch run takes their place."""
        filling = job(step(40, cpu_millicores=4000))
        lead = FakeLead(store_with(filling), workers(2))
        lead.round()
        serving = job(serving_step(2), job_id=OTHER_JOB)
        lead.store.jobs.update(store_with(serving).jobs)
        lead.store.changed_jobs.add(OTHER_JOB)
        for _ in range(4):
            lead.round()
        served = [
            run
            for worker in lead.workers.values()
            for run in worker.running
            if run[0].job_id == OTHER_JOB
        ]
        self.assertThat(served, matchers.HasLength(2))


class TestAgeOfJobs(testtools.TestCase):
    """Jobs that were accepted before the leader's term."""

    def test_new_leader_knows_how_long_jobs_wait(self) -> None:
        """Their age follows from the time of day, within plausible limits."""
        now_s, wall_ms = 100.0, 1_000_000.0
        for accepted_ms, age_s in (
            (wall_ms - 3000, 3.0),
            # Unknown time, or a clock that was ahead or far behind.
            (0.0, 0.0),
            (wall_ms + 5000, 0.0),
            (wall_ms - 3_600_000, 30.0),
        ):
            store = store_with()
            commit(store, AddJob(job(), QUEUE, accepted_ms))
            scheduler = Scheduler(store, TERM, now_s, wall_ms=wall_ms)
            self.assertThat(
                scheduler.ready.accepted_s(JOB),
                matchers.Equals(now_s - age_s),
            )
