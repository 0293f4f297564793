"""Test workers that do not begin the runs that they are told to start.

Guards against jobs that are assigned to such a worker for as long as it sends
heartbeats, beside idle workers: another writer may send the heartbeats.
"""

from __future__ import annotations

import itertools

import testtools
from testtools import matchers

from tests.builders_idle_writer import (
    ROUND_S,
    IdleWriter,
    WriterDay,
)
from tests.builders_jobs import (
    JOB,
    OTHER_JOB,
    FakeLead,
    job,
    key,
    serving_step,
    store_with,
)
from wigeonreach.jobs import JobPhase, RunEnd
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._incarnation import LEASE_EXPIRED_S
from wigeonreach.scheduling._unbegun import UnbegunStarts
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import (
    MAX_LISTED_ENDS,
    EndedRun,
    WorkerReport,
)

_JOBS = 20
_RUN = (key(), 1)


class TestWriterBesideWorkers(testtools.TestCase):
    """A heartbeat of another writer that can be decoded gets work."""

    def test_all_jobs_end(self) -> None:
        """What was assigned to it runs elsewhere once its lease is over."""
        day = WriterDay()
        day.play(_JOBS + 10, jobs=_JOBS)
        phases = {spec.phase for spec in day.store.jobs.values()}
        self.assertThat(day.store.jobs, matchers.HasLength(_JOBS))
        self.assertThat(phases, matchers.Equals({JobPhase.COMPLETED}))

    def test_it_is_logged(self) -> None:
        """Operators see why a worker that is heard gets nothing."""
        day = WriterDay()
        day.play(8, jobs=2)
        self.assertThat(
            LogEvent.STARTS_IGNORED in day.events, matchers.Is(True)
        )

    def test_runs_go_elsewhere_after_the_lease_only(self) -> None:
        """Nothing runs twice, should the runs have begun after all."""
        day = WriterDay(sound=0)
        day.add_for_writer()
        day.play(3)
        self.assertThat(day.writer.told[-1].lease_ms, matchers.Equals(0))
        self.assertThat(day.writer.told[-1].starts, matchers.Equals(()))
        held = day.store.runs_of('foreign')
        self.assertThat(held, matchers.HasLength(1))
        day.play(LEASE_EXPIRED_S)
        self.assertThat(day.store.runs_of('foreign'), matchers.HasLength(0))

    def test_it_proves_nothing_against_the_task(self) -> None:
        """The worker is heard all the time, so no run has crashed it."""
        day = WriterDay(sound=0)
        day.add_for_writer()
        day.play(30)
        task = day.store.task_of(key())
        assert task is not None
        self.assertThat(task.crashes, matchers.HasLength(0))
        self.assertThat(task.failures, matchers.Equals(0))
        self.assertThat(
            day.store.jobs[JOB].phase, matchers.Equals(JobPhase.ACTIVE)
        )

    def test_it_gets_one_run_at_a_time_later(self) -> None:
        """After its exclusion a single job tries whether it begins runs now."""
        day = WriterDay(sound=0)
        for number in range(3):
            day.add_for_writer(f'{number:016x}')
        day.play(8)
        day.writer.told.clear()
        day.play(30)
        starts = max(len(orders.starts) for orders in day.writer.told)
        self.assertThat(starts, matchers.Equals(1))

    def test_exclusions_grow(self) -> None:
        """It holds a lease for an ever smaller part of the time."""
        day = WriterDay(sound=0)
        day.add_for_writer()
        day.play(200)
        ordered = sum(bool(orders.starts) for orders in day.writer.told)
        self.assertThat(ordered, matchers.LessThan(80))

    def test_a_new_leader_finds_it_again(self) -> None:
        """The starts that an earlier leader recorded bind it no longer."""
        day = WriterDay(sound=0)
        day.add_for_writer()
        day.play(1)
        later = FakeLead(day.store, [day.writer], 4, day.lead.now_s)
        day.lead = later
        day.play(8)
        self.assertThat(
            LogEvent.STARTS_IGNORED in day.events, matchers.Is(True)
        )


class TestWorkersThatReturn(testtools.TestCase):
    """Answers are lost for a while, on the way to a sound worker."""

    def test_two_lost_answers_change_nothing(self) -> None:
        """It begins the run when it hears of it, and keeps its lease."""
        day = WriterDay(sound=0)
        day.add_for_writer()
        day.play(0.5)
        day.writer.ignores = False
        day.play(1)
        self.assertThat(
            day.store.jobs[JOB].phase, matchers.Equals(JobPhase.COMPLETED)
        )
        self.assertThat(
            day.lease_count(), matchers.Equals(len(day.writer.told))
        )

    def test_it_is_used_again(self) -> None:
        """It begins its next run, and then gets as many as any other."""
        day = WriterDay(sound=0)
        day.add_for_writer()
        day.play(4)
        day.writer.ignores = False
        day.play(12)
        self.assertThat(
            day.store.jobs[JOB].phase, matchers.Equals(JobPhase.COMPLETED)
        )
        day.add_for_writer(OTHER_JOB, tasks=8)
        day.lead.round(ROUND_S)
        self.assertThat(day.writer.running, matchers.HasLength(8))

    def test_it_is_used_again_after_a_cancellation(self) -> None:
        """The run that it ignored is withdrawn before the limit is reached."""
        day = WriterDay(sound=0)
        day.add_for_writer()
        day.play(1)
        day.lead.cancel()
        day.play(0.5)
        day.writer.ignores = False
        day.add_for_writer(OTHER_JOB)
        day.play(5)
        self.assertThat(
            day.store.jobs[OTHER_JOB].phase, matchers.Equals(JobPhase.COMPLETED)
        )

    def test_withdrawn_starts_give_pauses(self) -> None:
        """A writer whose starts are withdrawn in time gets fewer and fewer."""
        day = WriterDay(sound=0)
        for number in range(30):
            day.add_for_writer(f'{number:016x}')
            day.play(1)
            day.lead.cancel(f'{number:016x}')
            day.play(0.5)
        orders = sum(bool(told.starts) for told in day.writer.told)
        self.assertThat(orders, matchers.LessThan(40))

    def test_its_serving_task_moves(self) -> None:
        """A serving task is not bound to a worker that never begins it."""
        store = store_with(job(serving_step(1)))
        writer = IdleWriter('foreign', 'vm-foreign')
        lead = FakeLead(store, [writer])
        for _ in range(4):
            lead.round(ROUND_S)
        lead.workers['w1'] = StandInWorker('w1', 'vm1')
        for _ in range(40):
            lead.round(ROUND_S)
        self.assertThat(lead.workers['w1'].running, matchers.HasLength(1))


class TestUnbegunStarts(testtools.TestCase):
    """What counts as an answer whose starts were not begun."""

    def setUp(self) -> None:
        """Start without any answer."""
        super().setUp()
        self.unbegun = UnbegunStarts()

    def _hear(self, sent_s: float, *ended: EndedRun) -> None:
        report = WorkerReport('w', 'vm', 's', 'x', 'a', 1, ended=ended)
        self.unbegun.note_heartbeat(report, {_RUN}, 1.0, sent_s)

    def test_heartbeat_sent_before_the_answer(self) -> None:
        """It could not list the runs yet."""
        self._hear(0.9)
        self.assertThat(self.unbegun.ignored, matchers.Equals(0))

    def test_heartbeat_with_as_many_ends_as_fit(self) -> None:
        """The run may be among the ends that did not fit."""
        other = EndedRun(1, key(1), 1, RunEnd.DONE)
        self._hear(1.2, *itertools.repeat(other, MAX_LISTED_ENDS))
        self.assertThat(self.unbegun.ignored, matchers.Equals(0))

    def test_refusal_is_an_answer(self) -> None:
        """A worker that refuses a run says so."""
        self._hear(1.2)
        self._hear(1.4, EndedRun(1, *_RUN, RunEnd.REFUSED))
        self.assertThat(self.unbegun.ignored, matchers.Equals(0))

    def test_limit_takes_time(self) -> None:
        """Connections that are reset at once do not use it up."""
        for _ in range(10):
            self._hear(1.2)
        self.assertThat(self.unbegun.is_limit_reached(2.9), matchers.Is(False))
        self.assertThat(self.unbegun.is_limit_reached(3.0), matchers.Is(True))
