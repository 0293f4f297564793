"""Test that no serving step has more unavailable tasks than its limit.

Hundreds of VMs are maintained and moved within half a minute while workers are
cut off and leaders change.  A leader's knowledge of a task is then a heartbeat
old, or comes from its predecessor, and VMs are ordered while starts are being
recorded.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    OTHER_JOB,
    QUEUE,
    FakeLead,
    job,
    key,
    serving_step,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import (
    AddJob,
    RecordRuns,
    RecordVmOrders,
    RunEnd,
    RunEnded,
    RunStarted,
    VmStep,
)
from wigeonreach.lab import commit
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.scheduling._disruption_budget import is_empty
from wigeonreach.scheduling._maintenance import MaintenanceStep

# Longer than a worker may be silent and get new work; shorter than its lease.
_SILENT_S = 1.5
_DEFAULTS = SchedulingSettings()
_SLOW_STOPS = SchedulingSettings(stop_s=0.9)
_SHORT_NOTICE = SchedulingSettings(unavailable_after_s=1.8)


def _serving_lead(
    tasks: int = 3,
    spare: int = 5,
    settings: SchedulingSettings = _DEFAULTS,
) -> FakeLead:
    """Return a leader with a running serving step, one task per worker."""
    lead = FakeLead(
        store_with(job(serving_step(tasks))),
        workers(tasks + spare),
        settings=settings,
    )
    lead.round()
    lead.round()
    return lead


def _busy_vms(lead: FakeLead) -> list[str]:
    return [worker.vm for worker in lead.workers.values() if worker.running]


def _next_term(
    lead: FakeLead,
    settings: SchedulingSettings = _DEFAULTS,
) -> FakeLead:
    """Return the next leader, which has heard no worker yet."""
    return FakeLead(
        lead.store,
        lead.workers.values(),
        lead.term + 1,
        lead.now_s,
        settings,
    )


def _hear_all(lead: FakeLead) -> None:
    for worker in lead.workers.values():
        lead.hear(worker)


class TestDisruptionBudget(testtools.TestCase):
    """Decisions on which serving runs may be stopped."""

    def _wave_step(self, lead: FakeLead) -> MaintenanceStep:
        return lead.scheduler.maintenance.step(
            lead.scheduler.stopping,
            lead.now_s,
        )

    def test_task_of_a_silent_worker_may_be_unavailable(self) -> None:
        """Its lease may have expired since its last heartbeat."""
        lead = _serving_lead()
        busy = [
            name
            for name, candidate in lead.workers.items()
            if candidate.running
        ]
        silent = lead.workers.pop(busy[0])
        lead.now_s += _SILENT_S
        _hear_all(lead)
        lead.start_wave([lead.workers[busy[1]].vm], limit=1, due_after_s=2)
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(0))
        lead.hear(silent)
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(1))

    def test_stop_by_an_earlier_leader_is_waited_for(self) -> None:
        """The run is still listed while its worker ends it."""
        lead = _serving_lead()
        busy = _busy_vms(lead)
        successor = _next_term(lead)
        _hear_all(successor)
        successor.start_wave(busy[:1], limit=1, due_after_s=2)
        first = self._wave_step(successor)
        self.assertThat(first.stops, matchers.HasLength(0))
        for waited_s, stops in ((0.6, 0), (1.0, 1)):
            successor.now_s += waited_s
            _hear_all(successor)
            self.assertThat(
                self._wave_step(successor).stops,
                matchers.HasLength(stops),
            )

    def test_long_stop_by_an_earlier_leader_is_waited_for(self) -> None:
        """With slower stops, a run is listed for longer while it ends."""
        lead = _serving_lead()
        busy = _busy_vms(lead)
        successor = _next_term(lead, _SLOW_STOPS)
        _hear_all(successor)
        successor.start_wave(busy[:1], limit=1, due_after_s=2)
        for waited_s, stops in ((1.7, 0), (0.4, 1)):
            successor.now_s += waited_s
            _hear_all(successor)
            self.assertThat(
                self._wave_step(successor).stops,
                matchers.HasLength(stops),
            )

    def test_run_that_takes_long_to_stop_is_not_serving(self) -> None:
        """It is listed until it has ended, and no other may be stopped then."""
        lead = _serving_lead(settings=_SLOW_STOPS)
        first, second, _ = [
            candidate
            for candidate in lead.workers.values()
            if candidate.running
        ]
        lead.start_wave([first.vm, second.vm], limit=2, due_after_s=2)
        lead.scheduler.stopping.update(self._wave_step(lead).stops)
        leaving = set(lead.scheduler.stopping)
        self.assertThat(leaving, matchers.HasLength(1))
        for worker in lead.workers.values():
            incarnation = lead.scheduler.workers.incarnations[worker.name]
            lead.scheduler.answers.orders(incarnation, lead.now_s)
        other = next(
            candidate
            for candidate in (first, second)
            if not leaving.intersection(candidate.running)
        )
        # A third task fails, so the stop is reviewed again.
        for candidate in lead.workers.values():
            if candidate not in (first, second) and candidate.running:
                candidate.end(next(iter(candidate.running)), RunEnd.FAILED)
        lead.now_s += 1.8
        _hear_all(lead)
        for worker in lead.workers.values():
            incarnation = lead.scheduler.workers.incarnations[worker.name]
            lead.scheduler.answers.orders(incarnation, lead.now_s)
        self.assertThat(lead.scheduler.stopping, matchers.Equals(leaving))
        self.assertThat(other.running, matchers.HasLength(1))

    def test_short_notice_limits_the_age_of_heartbeats(self) -> None:
        """A shorter notice limits the age of a heartbeat that is relied on."""
        lead = _serving_lead(settings=_SHORT_NOTICE)
        busy = [
            candidate
            for candidate in lead.workers.values()
            if candidate.running
        ]
        silent = lead.workers.pop(busy[0].name)
        lead.now_s += 1.0
        _hear_all(lead)
        lead.start_wave([busy[1].vm], limit=1, due_after_s=2)
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(0))
        lead.hear(silent)
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(1))

    def test_stop_is_retracted_before_it_is_sent(self) -> None:
        """Another task fails before the answer to the worker is sent."""
        lead = _serving_lead()
        first, second, _ = [
            candidate
            for candidate in lead.workers.values()
            if candidate.running
        ]
        lead.start_wave([first.vm], limit=1, due_after_s=2)
        found = self._wave_step(lead)
        self.assertThat(found.stops, matchers.HasLength(1))
        lead.scheduler.stopping.update(found.stops)
        second.end(next(iter(second.running)), RunEnd.FAILED)
        lead.hear(second)
        lead.hear(first)
        incarnation = lead.scheduler.workers.incarnations[first.name]
        orders = lead.scheduler.answers.orders(incarnation, lead.now_s)
        self.assertThat(orders.stops, matchers.HasLength(0))
        self.assertThat(lead.scheduler.stopping, matchers.Equals(set()))

    def test_stop_that_was_sent_is_not_repeated_blindly(self) -> None:
        """Another task failed since, so a repeat could make two unavailable."""
        lead = _serving_lead()
        first, second, third = [
            candidate
            for candidate in lead.workers.values()
            if candidate.running
        ]
        lead.start_wave([first.vm], limit=1, due_after_s=2)
        lead.scheduler.stopping.update(self._wave_step(lead).stops)
        incarnation = lead.scheduler.workers.incarnations[first.name]
        orders = lead.scheduler.answers.orders(incarnation, lead.now_s)
        self.assertThat(orders.stops, matchers.HasLength(1))
        second.end(next(iter(second.running)), RunEnd.FAILED)
        lead.hear(second)
        orders = lead.scheduler.answers.orders(incarnation, lead.now_s)
        self.assertThat(orders.stops, matchers.HasLength(0))
        # The worker may still have carried out the stop.
        lead.start_wave([third.vm], limit=1, due_after_s=2)
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(0))
        self.assertThat(lead.scheduler.stopping, matchers.HasLength(1))
        # The run is still listed, so the answer was lost and the run may stay.
        lead.now_s += 1.6
        _hear_all(lead)
        orders = lead.scheduler.answers.orders(incarnation, lead.now_s)
        self.assertThat(orders.stops, matchers.HasLength(0))
        self.assertThat(lead.scheduler.stopping, matchers.HasLength(0))

    def test_late_heartbeat_does_not_show_a_serving_task(self) -> None:
        """It was delayed, and its worker may have failed since it was sent."""
        lead = _serving_lead()
        busy = [
            candidate
            for candidate in lead.workers.values()
            if candidate.running
        ]
        for candidate in busy:
            candidate.clock_ms = 50_000
        _hear_all(lead)
        lead.now_s += 3.0
        for prompt in busy[1:]:
            prompt.clock_ms = 53_000
        busy[0].clock_ms = 50_250
        _hear_all(lead)
        lead.start_wave([busy[1].vm], limit=1, due_after_s=2)
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(0))
        busy[0].clock_ms = 53_000
        lead.hear(busy[0])
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(1))

    def test_run_that_may_be_serving_by_now_stays(self) -> None:
        """It was about to serve when last heard; another is unavailable."""
        lead = _serving_lead()
        first, second, _ = [
            candidate
            for candidate in lead.workers.values()
            if candidate.running
        ]
        lead.now_s += 0.2
        slow = next(iter(first.running))
        first.running.clear()
        first.advance_one(slow, 60)
        second.end(next(iter(second.running)), RunEnd.FAILED)
        for waited_s, stops in ((0.0, 0), (4.5, 0), (4.5, 1)):
            self._hear_for(lead, waited_s)
            stopped = lead.scheduler.stopping.intersection({slow})
            self.assertThat(stopped, matchers.HasLength(stops))

    def _hear_for(self, lead: FakeLead, for_s: float) -> None:
        """Hear all workers for some time without starting anything."""
        until_s = lead.now_s + for_s
        _hear_all(lead)
        while lead.now_s < until_s:
            lead.now_s += 0.5
            _hear_all(lead)

    def test_older_run_of_a_task_is_not_serving(self) -> None:
        """A worker lists an older run of the task, but not its current one."""
        lead = _serving_lead()
        first = next(
            candidate
            for candidate in lead.workers.values()
            if (key(0), 1) in candidate.running
        )
        ended = RunEnded(key(0), 1, first.name, RunEnd.STOPPED)
        started = RunStarted(key(0), 2, first.name, first.vm)
        record = RecordRuns(lead.term, ends=(ended,), starts=(started,))
        commit(lead.store, record)
        lead.hear(first)
        self.assertThat(
            lead.store.runs_of(first.name), matchers.Equals({key(0): 2})
        )
        others = [vm for vm in _busy_vms(lead) if vm != first.vm]
        lead.start_wave(others[:1], limit=1, due_after_s=2)
        self.assertThat(self._wave_step(lead).stops, matchers.HasLength(0))


class TestUnrecordedStarts(testtools.TestCase):
    """VMs that look empty while a start on them is being recorded."""

    def _plan_start(self, lead: FakeLead) -> str:
        """Plan a start without recording it, as if its commit took a while."""
        commit(
            lead.store,
            AddJob(job(step(1), job_id=OTHER_JOB), QUEUE),
        )
        starts = lead.scheduler.plan(lead.now_s, lead.now_s * 1000)
        self.assertThat(starts, matchers.HasLength(1))
        return starts[0].worker

    def test_vm_is_not_maintained_under_a_start(self) -> None:
        """The order would end the run that is about to begin."""
        lead = FakeLead(store_with(), workers(1))
        _hear_all(lead)
        self._plan_start(lead)
        lead.start_wave(['vm0'], limit=1)
        found = lead.scheduler.maintenance.step(set(), lead.now_s)
        self.assertThat(found.orders, matchers.HasLength(0))

    def test_vm_is_not_moved_under_a_start(self) -> None:
        """A VM is moved only if no run is about to begin on it."""
        lead = FakeLead(store_with(), workers(1))
        _hear_all(lead)
        worker = self._plan_start(lead)
        incarnation = lead.scheduler.workers.incarnations[worker]
        self.assertThat(
            is_empty(incarnation, lead.store),
            matchers.Is(False),
        )

    def test_start_that_was_never_recorded_is_dropped(self) -> None:
        """By the next plan the start is either recorded or void."""
        lead = FakeLead(store_with(), workers(1))
        _hear_all(lead)
        worker = self._plan_start(lead)
        lead.cancel(OTHER_JOB)
        lead.scheduler.plan(lead.now_s, 0)
        incarnation = lead.scheduler.workers.incarnations[worker]
        self.assertThat(is_empty(incarnation, lead.store), matchers.Is(True))

    def test_nothing_starts_under_an_earlier_leaders_order(self) -> None:
        """The platform may carry out the order after its leader is gone."""
        for is_answered in (False, True):
            store = store_with()
            before = FakeLead(store, workers(1))
            commit(store, RecordVmOrders(before.term, ('vm0',)))
            if is_answered:
                answer = RecordVmOrders(before.term, (), answered=('vm0',))
                commit(store, answer)
            lead = _next_term(before)
            commit(store, AddJob(job(step(1)), QUEUE))
            _hear_all(lead)
            at_once = matchers.HasLength(int(is_answered))
            self.assertThat(lead.plan(), at_once)
            lead.now_s += 3.1
            _hear_all(lead)
            later = matchers.HasLength(int(not is_answered))
            self.assertThat(lead.plan(), later)

    def test_nothing_starts_until_an_order_is_recorded(self) -> None:
        """A VM is cordoned as soon as it is found empty."""
        lead = FakeLead(store_with(), workers(1))
        _hear_all(lead)
        lead.start_wave(['vm0'], limit=1)
        maintenance = lead.scheduler.maintenance
        found = maintenance.step(set(), lead.now_s)
        self.assertThat(found.orders, matchers.HasLength(1))
        commit(lead.store, AddJob(job(step(1)), QUEUE))
        self.assertThat(
            lead.scheduler.plan(lead.now_s, 0),
            matchers.HasLength(0),
        )
        lead.record_vm('vm0', VmStep.ORDERED, 'w0')
        maintenance.step(set(), lead.now_s)
        self.assertThat(maintenance.cordoned, matchers.Equals({'vm0'}))
