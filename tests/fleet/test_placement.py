"""Test on which worker jobs run, and that no job runs twice."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals, HasLength, Is, IsInstance

from tests.builders_placement import (
    GIB,
    build_job,
    build_placement,
    build_worker,
    report_task,
    submit,
)
from wigeonreach._resources import Resources
from wigeonreach.fleet._placement import LEASE_S, Placement
from wigeonreach.fleet._placement_jobs import JobState
from wigeonreach.fleet._placement_model import (
    JobsCancelled,
    Reason,
    ReportRun,
    SetAside,
    StartTask,
    StopTask,
    TaskEnd,
    ThrottleTask,
    Tick,
    UsageReported,
    WorkerDraining,
    WorkerHeard,
    WorkerJoined,
    WorkerLost,
)

_AFTER_LEASE_S = LEASE_S + 3


def _state(placement: Placement, job_id: str) -> JobState:
    record = placement.job(job_id)
    assert record is not None
    return record.state


def _run(placement: Placement, job_id: str, **changes: object) -> None:
    submit(placement, build_job(job_id, **changes))  # type: ignore[arg-type]
    report_task(placement, job_id, TaskEnd.STARTED)


class TestPlacement(testtools.TestCase):
    """Resources, leases and jobs that must not start again."""

    def test_duplicate_submission(self) -> None:
        """A job that is submitted twice starts once."""
        placement = build_placement(1)

        started = submit(placement, build_job('one'))

        self.assertThat(started, HasLength(1))
        self.assertThat(submit(placement, build_job('one')), HasLength(0))

    def test_never_fits(self) -> None:
        """A job that exceeds every worker, even if overstated, is set aside."""
        placement = build_placement(1)

        effects = submit(placement, build_job('huge', 16 * 6))

        self.assertThat(effects, Equals([SetAside('huge', Reason.NEVER_FITS)]))

    def test_overstated(self) -> None:
        """A job declared too large for any worker may get a whole worker."""
        placement = build_placement(1)

        submit(placement, build_job('large', 40))

        self.assertThat(submit(placement, build_job('small', 1)), Equals([]))

    def test_learned(self) -> None:
        """Low reported usage lets more jobs of the family fit on a worker."""
        placement = build_placement(1)
        for number in range(4):
            _run(placement, f'job-{number}')
        used = Resources(1, GIB)

        for number in range(4):
            record = placement.job(f'job-{number}')
            assert record is not None
            event = UsageReported(f'job-{number}', record.lease_token, used, 1)
            placement.handle(event, 2)

        self.assertThat(submit(placement, build_job('next')), HasLength(1))

    def test_late_report(self) -> None:
        """A usage report measured before the start is ignored."""
        placement = build_placement(1)
        submit(placement, build_job('job'), now_s=10)
        record = placement.job('job')
        assert record is not None

        report = UsageReported('job', record.lease_token, Resources(16, 0), 9)
        placement.handle(report, 11)

        self.assertThat(record.need.processors, Equals(4))

    def test_lost_worker(self) -> None:
        """A job of a lost worker restarts only after its lease expired."""
        placement = build_placement(2)
        _run(placement, 'job')
        record = placement.job('job')
        assert record is not None
        placement.handle(WorkerLost(record.worker), 1)

        early = placement.handle(Tick(), LEASE_S)
        late = placement.handle(Tick(), _AFTER_LEASE_S)

        self.assertThat(early, Equals([]))
        self.assertThat(late, HasLength(1))
        self.assertThat(late[0], IsInstance(StartTask))

    def test_worker_answers_again(self) -> None:
        """A lost worker that answers before its lease expires keeps its job."""
        placement = build_placement(2)
        _run(placement, 'job')
        record = placement.job('job')
        assert record is not None
        placement.handle(WorkerLost(record.worker), 1)

        placement.handle(WorkerHeard(record.worker), 20)
        effects = placement.handle(Tick(), _AFTER_LEASE_S)
        report_task(placement, 'job', TaskEnd.STARTED, 40)

        self.assertThat(effects, Equals([]))
        self.assertThat(record.state, Is(JobState.RUNNING))

    def test_non_idempotent_lost(self) -> None:
        """A non-idempotent job that may have run is reported, not restarted."""
        placement = build_placement(2)
        _run(placement, 'bill', is_idempotent=False)
        record = placement.job('bill')
        assert record is not None
        lost_at = record.worker
        placement.handle(WorkerLost(lost_at), 1)

        effects = placement.handle(Tick(), _AFTER_LEASE_S)

        report = ReportRun('bill', lost_at, Reason.MAY_HAVE_RUN)
        self.assertThat(effects, Equals([report]))
        again = submit(placement, build_job('bill', is_idempotent=False), 99)
        self.assertThat(again, Equals([]))

    def test_non_idempotent_not_started(self) -> None:
        """A non-idempotent job confirmed as not started is started again."""
        placement = build_placement(2)
        submit(placement, build_job('bill', is_idempotent=False))

        effects = report_task(placement, 'bill', TaskEnd.NOT_STARTED)

        self.assertThat(effects[0], IsInstance(StartTask))

    def test_stale_token(self) -> None:
        """A report under an earlier lease is ignored."""
        placement = build_placement(1)
        submit(placement, build_job('job'))
        first = placement.job('job')
        assert first is not None
        old_token = first.lease_token
        report_task(placement, 'job', TaskEnd.NOT_STARTED)

        self.assertThat(first.lease_token > old_token, Is(True))
        self.assertThat(
            placement.handle(
                UsageReported('job', old_token, Resources(9, 9), 9), 9
            ),
            Equals([]),
        )
        self.assertThat(first.need.processors, Equals(4))

    def test_cancellations(self) -> None:
        """Bulk cancellation stops running jobs and drops waiting ones."""
        placement = build_placement(1)
        names = tuple(f'job-{number}' for number in range(100))
        for name in names:
            submit(placement, build_job(name))

        effects = placement.handle(JobsCancelled(names), 1)

        self.assertThat(effects, HasLength(4))
        self.assertThat(_state(placement, 'job-99'), Is(JobState.CANCELLED))
        report_task(placement, 'job-0', TaskEnd.STOPPED)
        self.assertThat(_state(placement, 'job-0'), Is(JobState.CANCELLED))

    def test_drain(self) -> None:
        """Draining checkpoints jobs that can wait and lets the rest finish."""
        placement = build_placement(1)
        _run(placement, 'waits', can_wait=True)
        _run(placement, 'stays')

        effects = placement.handle(WorkerDraining('vm-0'), 1)

        record = placement.job('waits')
        assert record is not None
        stop = StopTask('waits', 'vm-0', record.lease_token, True)  # noqa: FBT003, WPS425, E501 - the message's own field
        self.assertThat(effects, Equals([stop]))
        self.assertThat(submit(placement, build_job('next')), Equals([]))

    def test_moved_worker(self) -> None:
        """A moved worker stays in its old pool until its last job ends."""
        placement = build_placement(1)
        _run(placement, 'job')
        moved = WorkerJoined(build_worker(0, pool='other'))

        placement.handle(moved, 1)
        self.assertThat(placement.pool('other').workers, HasLength(0))
        report_task(placement, 'job', TaskEnd.FINISHED)
        placement.handle(moved, 2)

        self.assertThat(placement.pool('other').workers, HasLength(1))
        self.assertThat(placement.pool('pool').workers, HasLength(0))


class TestUrgent(testtools.TestCase):
    """Resources reserved for urgent jobs, or freed for them."""

    def test_throttled(self) -> None:
        """A job that can wait is throttled so that an urgent one starts."""
        placement = build_placement(1)
        _run(placement, 'waits', processors=16, can_wait=True)

        effects = submit(placement, build_job('now', is_urgent=True))

        self.assertThat(effects[0], IsInstance(ThrottleTask))
        self.assertThat(effects[1], IsInstance(StartTask))
        restored = report_task(placement, 'now', TaskEnd.FINISHED)
        self.assertThat([effect.ratio for effect in restored], Equals([1]))

    def test_checkpointed(self) -> None:
        """A job is checkpointed and stopped if throttling is not enough."""
        placement = build_placement(1)
        large = Resources(4, 32 * GIB)
        _run(placement, 'waits', can_wait=True, declared=large)

        stops = submit(placement, build_job('now', is_urgent=True))
        starts = report_task(placement, 'waits', TaskEnd.STOPPED, 1)

        self.assertThat([effect.job_id for effect in stops], Equals(['waits']))
        self.assertThat([effect.job_id for effect in starts], Equals(['now']))

    def test_reserved_resources(self) -> None:
        """Reserved resources go to urgent jobs, not to ordinary ones."""
        placement = build_placement(1, held_ratio=0.25)
        for number in range(3):
            _run(placement, f'job-{number}')

        self.assertThat(submit(placement, build_job('more')), Equals([]))
        urgent = submit(placement, build_job('now', is_urgent=True))
        self.assertThat(urgent, HasLength(1))


class TestQuota(testtools.TestCase):
    """Borrowing and preemption by quota."""

    def test_preemption_by_quota(self) -> None:
        """A job of a team above its quota is preempted for one below."""
        placement = build_placement(1, quotas={'lender': 8, 'other': 8})
        for number in range(4):
            _run(placement, f'loan-{number}', team='other', can_wait=True)

        stops = submit(placement, build_job('own', team='lender'))
        starts = report_task(placement, 'loan-3', TaskEnd.STOPPED, 1)

        self.assertThat([effect.job_id for effect in stops], Equals(['loan-3']))
        self.assertThat([effect.job_id for effect in starts], Equals(['own']))

    def test_no_preemption_within_quota(self) -> None:
        """Jobs of a team within its quota are not preempted for another."""
        placement = build_placement(1, quotas={'lender': 8, 'other': 16})
        for number in range(4):
            _run(placement, f'own-{number}', team='other', can_wait=True)

        effects = submit(placement, build_job('more', team='lender'))

        self.assertThat(effects, Equals([]))


class TestQuarantine(testtools.TestCase):
    """Faulty workers and faulty jobs."""

    def test_bad_job(self) -> None:
        """A job that fails on three workers is set aside, without quarantine."""
        placement = build_placement(20)
        for number in range(30):
            _run(placement, f'good-{number}')
            report_task(placement, f'good-{number}', TaskEnd.FINISHED)
        submit(placement, build_job('bad', family='broken'))

        report_task(placement, 'bad', TaskEnd.FAILED)
        report_task(placement, 'bad', TaskEnd.FAILED)
        effects = report_task(placement, 'bad', TaskEnd.FAILED)

        aside = SetAside('bad', Reason.FAILS_EVERYWHERE)
        self.assertThat(effects, Equals([aside]))
        self.assertThat(_closed(placement), Equals([]))

    def test_bad_worker(self) -> None:
        """A worker on which other jobs fail is quarantined and probed."""
        placement = build_placement(20)
        _fail_on(placement, 'vm-0', 3)
        self.assertThat(_closed(placement), Equals(['vm-0']))

        placement.handle(Tick(), 61)
        submit(placement, build_job('probe', 16))

        record = placement.job('probe')
        assert record is not None
        self.assertThat(record.worker, Equals('vm-0'))
        self.assertThat(_closed(placement), Equals(['vm-0']))
        report_task(placement, 'probe', TaskEnd.FINISHED, 70)
        self.assertThat(_closed(placement), Equals([]))

    def test_quarantine_cap(self) -> None:
        """The quarantined share of a pool is capped."""
        placement = build_placement(20)

        for number in range(20):
            _fail_on(placement, f'vm-{number}', 3)

        self.assertThat(_closed(placement), HasLength(2))


def _closed(placement: Placement) -> list[str]:
    states = placement.pool('pool').workers.states()
    return [state.worker.name for state in states if state.closed]


def _fail_on(placement: Placement, worker: str, times: int) -> None:
    """Fail jobs on one worker whose family succeeds on the others."""
    others = [
        state.worker.name
        for state in placement.pool('pool').workers.states()
        if state.worker.name != worker and not state.closed
    ]
    for attempt in range(times):
        # All other workers are filled, so that the job starts on this one.
        for other in others:
            fill = f'{other}-{worker}-{attempt}'
            submit(placement, build_job(fill, 16))
        name = f'{worker}-{attempt}'
        submit(placement, build_job(name, 16))
        _end_all(placement, worker)
        _end_all(placement, '')


def _end_all(placement: Placement, failing: str) -> None:
    """End all running jobs; those of the failing worker fail."""
    for state in placement.pool('pool').workers.states():
        failed = state.worker.name == failing
        change = TaskEnd.FAILED if failed else TaskEnd.FINISHED
        for job_id in tuple(state.allocations):
            report_task(placement, job_id, change)
