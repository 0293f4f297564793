"""Test that workspaces stay within their caps without delaying others.

One workspace submits a burst of which its cap allows only a part, or its cap is
lowered or raised while its jobs run.
"""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import FakeLead, queue, step, workers
from tests.builders_workspaces import (
    CLUB,
    OTHER_CLUB,
    OTHER_KEY,
    add,
    numbered_job,
    workspace,
    workspaces_manifest,
    workspaces_store,
)
from wigeonreach.jobs import JobStore, Manifest, RunEnd, SetManifest
from wigeonreach.jobs._model import StepSpec
from wigeonreach.lab import commit
from wigeonreach.scheduling._incarnation import LEASE_EXPIRED_S
from wigeonreach.scheduling.shortage import FleetCapacity, all_in_time
from wigeonreach.standins import StandInWorker
from wigeonreach.workspaces import NO_AMOUNTS, Amounts, fits_cap

_MINE = 1
_OTHERS = 2
_LEASE_ROUNDS = int(LEASE_EXPIRED_S * 10) + 2


def _store(cap: Amounts) -> JobStore:
    return workspaces_store(workspace(CLUB, cap=cap), workspace(OTHER_CLUB))


def _change_cap(store: JobStore, cap: Amounts) -> None:
    changed = workspaces_manifest(
        workspace(CLUB, cap=cap),
        workspace(OTHER_CLUB),
        version=store.manifest.version + 1,
    )
    commit(store, SetManifest(changed))


def _count_running(lead: FakeLead, number: int) -> int:
    """Return how many tasks of a numbered job are running."""
    job_id = numbered_job(number).job_id
    return sum(
        run[0].job_id == job_id
        for worker in lead.workers.values()
        for run in worker.running
    )


def _run_rounds(lead: FakeLead, rounds: int = 3) -> None:
    for _ in range(rounds):
        lead.round()


def _finish_one(lead: FakeLead) -> None:
    worker = next(held for held in lead.workers.values() if held.running)
    worker.end(next(iter(worker.running)), RunEnd.DONE)


class TestCapOverAllWorkers(testtools.TestCase):
    """The running tasks of a workspace on all workers."""

    def _lead(self, cap: Amounts, *steps: StepSpec) -> FakeLead:
        store = _store(cap)
        add(store, numbered_job(_MINE, *steps))
        return FakeLead(store, workers(4))

    def test_starts_stop_at_the_cap(self) -> None:
        """The processors or the memory may be exhausted first."""
        for cap, held in (
            (Amounts(3_000), 3),
            (Amounts(0, 2_048), 2),
            (Amounts(9_000, 5_000), 4),
            (NO_AMOUNTS, 8),
        ):
            lead = self._lead(cap, step(8))
            _run_rounds(lead)
            self.assertThat(_count_running(lead, _MINE), matchers.Equals(held))

    def test_freed_cap_is_used_at_once(self) -> None:
        """The next task starts with the heartbeat that reports an end."""
        lead = self._lead(Amounts(2_000), step(4))
        _run_rounds(lead)
        _finish_one(lead)
        lead.round()
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(2))

    def test_other_workspaces_do_not_wait(self) -> None:
        """Jobs of other workspaces start, whatever is queued ahead."""
        lead = self._lead(Amounts(1_000), step(30))
        add(lead.store, numbered_job(_OTHERS, step(20)), OTHER_KEY)
        _run_rounds(lead)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(1))
        self.assertThat(_count_running(lead, _OTHERS), matchers.Equals(20))

    def test_gang_starts_as_a_whole(self) -> None:
        """A gang waits until the cap allows all of its members."""
        lead = self._lead(Amounts(4_000), step(2), step(3, is_gang=True))
        _run_rounds(lead)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(2))
        _finish_one(lead)
        _run_rounds(lead)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(4))

    def test_task_larger_than_the_cap_starts(self) -> None:
        """It starts with less than half in use, or it would never run."""
        lead = self._lead(Amounts(2_000), step(2, cpu_millicores=3_000))
        _run_rounds(lead)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(1))

    def test_silent_worker_counts_until_its_lease_is_over(self) -> None:
        """Its runs may go on until then, and are restarted afterwards."""
        lead = self._lead(Amounts(2_000), step(2))
        _run_rounds(lead)
        silent = [
            worker for worker in list(lead.workers.values()) if worker.running
        ]
        for worker in silent:
            lead.workers.pop(worker.name)
        _run_rounds(lead, _LEASE_ROUNDS - 8)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(0))
        _run_rounds(lead, 10)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(2))

    def test_copy_beside_a_silent_worker_counts_twice(self) -> None:
        """A copy starts only if the cap allows both runs."""
        lead = self._lead(Amounts(3_000), step(3, has_copies=True))
        lead.workers = {'w0': lead.workers['w0']}
        _run_rounds(lead)
        lead.workers = {'w9': StandInWorker('w9', 'vm9')}
        _run_rounds(lead, _LEASE_ROUNDS - 10)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(0))
        _run_rounds(lead, 12)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(3))

    def test_next_leader_counts_silent_workers(self) -> None:
        """It counts their runs by the replicated state."""
        lead = self._lead(Amounts(2_000), step(4))
        _run_rounds(lead)
        later = FakeLead(lead.store, workers(8)[4:], lead.term + 1)
        _run_rounds(later, 10)
        self.assertThat(_count_running(later, _MINE), matchers.Equals(0))


class TestChangedCaps(testtools.TestCase):
    """A cap that is lowered or raised while jobs run."""

    def test_lowered_cap_stops_no_run(self) -> None:
        """Runs go on, and new ones start once usage is below the cap."""
        store = _store(Amounts(4_000))
        add(store, numbered_job(_MINE, step(6)))
        lead = FakeLead(store, workers(2))
        _run_rounds(lead)
        _change_cap(store, Amounts(2_000))
        _run_rounds(lead)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(4))
        for left in (3, 2, 2):
            _finish_one(lead)
            _run_rounds(lead)
            self.assertThat(_count_running(lead, _MINE), matchers.Equals(left))

    def test_raised_cap_is_used_at_once(self) -> None:
        """The next plan starts more tasks."""
        store = _store(Amounts(1_000))
        add(store, numbered_job(_MINE, step(6)))
        lead = FakeLead(store, workers(2))
        _run_rounds(lead)
        _change_cap(store, Amounts(5_000))
        lead.round()
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(5))

    def test_start_not_ordered_yet_is_withdrawn(self) -> None:
        """The start was recorded under the higher cap."""
        store = _store(Amounts(4_000))
        add(store, numbered_job(_MINE, step(4)))
        lead = FakeLead(store, workers(1))
        lead.hear(lead.workers['w0'])
        lead.plan()
        self.assertThat(
            store.usage.used(CLUB).millicores, matchers.Equals(4_000)
        )
        _change_cap(store, Amounts(2_000))
        lead.round()
        self.assertThat(_count_running(lead, _MINE), matchers.LessThan(3))
        _run_rounds(lead)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(2))

    def test_jobs_of_a_removed_workspace_run(self) -> None:
        """They run within its last cap."""
        store = _store(Amounts(2_000))
        add(store, numbered_job(_MINE, step(4)))
        gone = workspaces_manifest(workspace(OTHER_CLUB), version=2)
        commit(store, SetManifest(gone))
        lead = FakeLead(store, workers(2))
        _run_rounds(lead)
        self.assertThat(_count_running(lead, _MINE), matchers.Equals(2))

    def test_snapshot_keeps_usage(self) -> None:
        """A restored store has the same usage."""
        store = _store(Amounts(3_000))
        add(store, numbered_job(_MINE, step(4)))
        _run_rounds(FakeLead(store, workers(2)))
        restored = JobStore()
        restored.restore(store.snapshot())
        self.assertThat(
            restored.usage.by_workspace,
            matchers.Equals(store.usage.by_workspace),
        )


class TestWantsOfCappedWorkspaces(testtools.TestCase):
    """Pool sizes for work that a cap keeps from running."""

    def test_pool_needs_no_vm_for_it(self) -> None:
        """Work beyond the cap moves no VM out of the standby pool."""
        for cap, expected_vm_s in ((Amounts(4_000), 1.0), (NO_AMOUNTS, 25.0)):
            store = _store(cap)
            add(store, numbered_job(_MINE, step(100, estimate_ms=4_000)))
            lead = FakeLead(store, workers(1))
            lead.round()
            work = lead.scheduler.cap_tracker.limit_work(
                all_in_time(lead.scheduler.ready.pending_work(lead.now_s)),
            )
            lead.scheduler.plan_moves(lead.now_s)
            vm_s = sum(
                owed.vm_s(lead.scheduler.pools.vms.vm_resources)
                for steps in work.steps.values()
                for owed in steps
            )
            self.assertThat(round(vm_s, 1), matchers.Equals(expected_vm_s))

    def test_work_in_time_is_limited_too(self) -> None:
        """A capped flood gets no VMs ahead of others while VMs are short."""
        store = _store(Amounts(4_000))
        add(store, numbered_job(_MINE, step(100, estimate_ms=4_000)))
        lead = FakeLead(store, workers(1))
        lead.round()
        scheduler = lead.scheduler
        work = scheduler.cap_tracker.limit_work(
            scheduler.shortage.split(
                scheduler.ready.pending_work(lead.now_s),
                FleetCapacity(1_000),
                lead.now_s,
            )
        )
        self.assertThat(work.late, matchers.Equals(frozenset()))
        self.assertThat(work.in_time_steps, matchers.Equals(work.steps))
        ratios = {owed.allowed_ratio for owed in work.steps['desk']}
        self.assertThat(max(ratios), matchers.LessThan(0.1))

    def test_its_jobs_defer_no_others(self) -> None:
        """The pool fits the work within the cap and the jobs of others."""
        store = _store(Amounts(2_000))
        for number in range(10, 40):
            add(store, numbered_job(number, step(4, estimate_ms=2_000)))
        add(store, numbered_job(_OTHERS, step(16)), OTHER_KEY)
        lead = FakeLead(store, workers(1))
        lead.round()
        put_back = {
            note.subject
            for note in lead.scheduler.notes
            if note.event.name == 'JOB_PUT_BACK'
        }
        self.assertThat(
            put_back, matchers.Not(matchers.Contains(f'{_OTHERS:016x}'))
        )
        self.assertThat(_count_running(lead, _OTHERS), matchers.GreaterThan(13))


class TestFitsCap(testtools.TestCase):
    """The function that checks a cap."""

    def test_zero_is_no_limit(self) -> None:
        """This holds for each amount separately."""
        need = Amounts(10, 10, 1)
        self.assertTrue(fits_cap(Amounts(), Amounts(9, 9, 9), need, need))
        only_memory = Amounts(0, 15)
        self.assertFalse(fits_cap(only_memory, Amounts(9, 9), need, need))
        self.assertTrue(fits_cap(only_memory, Amounts(9, 5), need, need))

    def test_gang_exceeds_the_cap_by_one_task_at_most(self) -> None:
        """Wider gangs never fit."""
        task = Amounts(4)
        cap = Amounts(10)
        self.assertTrue(fits_cap(cap, NO_AMOUNTS, Amounts(12), task))
        self.assertFalse(fits_cap(cap, NO_AMOUNTS, Amounts(16), task))
        self.assertFalse(fits_cap(cap, Amounts(6), Amounts(12), task))


class TestCredentialsInTheLog(testtools.TestCase):
    """Only their order in the log decides about jobs and manifests."""

    def test_job_after_key_withdrawal_is_rejected(self) -> None:
        """The job is not accepted, though its call may have come before."""
        store = _store(NO_AMOUNTS)
        withdrawn = workspaces_manifest(workspace(OTHER_CLUB), version=2)
        commit(store, SetManifest(withdrawn))
        add(store, numbered_job(_MINE))
        self.assertThat(store.jobs, matchers.HasLength(0))

    def test_resent_job_to_a_public_queue_is_one_job(self) -> None:
        """A public queue needs no key, and a resent job counts once."""
        store = JobStore()
        public = Manifest(1, (queue(is_public=True),), workspaces=())
        commit(store, SetManifest(public))
        add(store, numbered_job(_MINE), 'any')
        add(store, numbered_job(_MINE), 'other')
        self.assertThat(store.jobs, matchers.HasLength(1))
