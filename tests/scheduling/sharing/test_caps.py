"""Test that workspaces stay within their caps, and that nobody else waits.

Answers a burst of one workspace whose cap holds a part of what it asks for, and
caps that are lowered and raised while its jobs run.
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
from wigeonreach.scheduling._incarnation import LEASE_OVER_S
from wigeonreach.standins import StandInWorker
from wigeonreach.workspaces import NO_AMOUNTS, Amounts, fits_cap

_MINE = 1
_OTHERS = 2
_LEASE_ROUNDS = int(LEASE_OVER_S * 10) + 2


def _store(cap: Amounts) -> JobStore:
    return workspaces_store(workspace(CLUB, cap=cap), workspace(OTHER_CLUB))


def _change_cap(store: JobStore, cap: Amounts) -> None:
    changed = workspaces_manifest(
        workspace(CLUB, cap=cap),
        workspace(OTHER_CLUB),
        version=store.manifest.version + 1,
    )
    commit(store, SetManifest(changed))


def _hold(lead: FakeLead, number: int) -> int:
    """Return how many tasks of a numbered job run."""
    job_id = numbered_job(number).job_id
    return sum(
        run[0].job_id == job_id
        for worker in lead.workers.values()
        for run in worker.running
    )


def _play(lead: FakeLead, rounds: int = 3) -> None:
    for _ in range(rounds):
        lead.round()


def _end_one(lead: FakeLead) -> None:
    worker = next(held for held in lead.workers.values() if held.running)
    worker.end(next(iter(worker.running)), RunEnd.DONE)


class TestCapOverAllWorkers(testtools.TestCase):
    """What a workspace has running at once."""

    def _lead(self, cap: Amounts, *steps: StepSpec) -> FakeLead:
        store = _store(cap)
        add(store, numbered_job(_MINE, *steps))
        return FakeLead(store, workers(4))

    def test_starts_end_at_the_cap(self) -> None:
        """By processors or by memory, whichever is full first."""
        for cap, held in (
            (Amounts(3_000), 3),
            (Amounts(0, 2_048), 2),
            (Amounts(9_000, 5_000), 4),
            (NO_AMOUNTS, 8),
        ):
            lead = self._lead(cap, step(8))
            _play(lead)
            self.assertThat(_hold(lead, _MINE), matchers.Equals(held))

    def test_room_under_it_is_used_at_once(self) -> None:
        """The next task starts with the heartbeat that tells of an end."""
        lead = self._lead(Amounts(2_000), step(4))
        _play(lead)
        _end_one(lead)
        lead.round()
        self.assertThat(_hold(lead, _MINE), matchers.Equals(2))

    def test_others_do_not_wait_behind_it(self) -> None:
        """Jobs of others start whatever comes before them."""
        lead = self._lead(Amounts(1_000), step(30))
        add(lead.store, numbered_job(_OTHERS, step(20)), OTHER_KEY)
        _play(lead)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(1))
        self.assertThat(_hold(lead, _OTHERS), matchers.Equals(20))

    def test_gang_starts_whole_or_not(self) -> None:
        """One that is wider than what is left waits until all of it fits."""
        lead = self._lead(Amounts(4_000), step(2), step(3, is_gang=True))
        _play(lead)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(2))
        _end_one(lead)
        _play(lead)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(4))

    def test_task_that_the_cap_hardly_holds_starts(self) -> None:
        """With less than half in use; nothing else would ever let it run."""
        lead = self._lead(Amounts(2_000), step(2, cpu_millicores=3_000))
        _play(lead)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(1))

    def test_silent_worker_counts_until_its_lease_is_over(self) -> None:
        """What runs there may go on, and starts elsewhere after that."""
        lead = self._lead(Amounts(2_000), step(2))
        _play(lead)
        silent = [
            worker for worker in list(lead.workers.values()) if worker.running
        ]
        for worker in silent:
            lead.workers.pop(worker.name)
        _play(lead, _LEASE_ROUNDS - 8)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(0))
        _play(lead, 10)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(2))

    def test_copy_beside_a_silent_worker_counts_twice(self) -> None:
        """A copy starts only if the cap holds both."""
        lead = self._lead(Amounts(3_000), step(3, has_copies=True))
        lead.workers = {'w0': lead.workers['w0']}
        _play(lead)
        lead.workers = {'w9': StandInWorker('w9', 'vm9')}
        _play(lead, _LEASE_ROUNDS - 10)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(0))
        _play(lead, 12)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(3))

    def test_next_leader_counts_what_it_has_not_heard(self) -> None:
        """By what is recorded."""
        lead = self._lead(Amounts(2_000), step(4))
        _play(lead)
        later = FakeLead(lead.store, workers(8)[4:], lead.term + 1)
        _play(later, 10)
        self.assertThat(_hold(later, _MINE), matchers.Equals(0))


class TestChangedCaps(testtools.TestCase):
    """A cap that is lowered or raised while jobs run."""

    def test_lowered_cap_ends_nothing(self) -> None:
        """What runs goes on; the next starts once use is below."""
        store = _store(Amounts(4_000))
        add(store, numbered_job(_MINE, step(6)))
        lead = FakeLead(store, workers(2))
        _play(lead)
        _change_cap(store, Amounts(2_000))
        _play(lead)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(4))
        for left in (3, 2, 2):
            _end_one(lead)
            _play(lead)
            self.assertThat(_hold(lead, _MINE), matchers.Equals(left))

    def test_raised_cap_is_used_at_once(self) -> None:
        """By the next plan."""
        store = _store(Amounts(1_000))
        add(store, numbered_job(_MINE, step(6)))
        lead = FakeLead(store, workers(2))
        _play(lead)
        _change_cap(store, Amounts(5_000))
        lead.round()
        self.assertThat(_hold(lead, _MINE), matchers.Equals(5))

    def test_start_that_is_not_ordered_yet_is_taken_back(self) -> None:
        """It was recorded under the higher cap."""
        store = _store(Amounts(4_000))
        add(store, numbered_job(_MINE, step(4)))
        lead = FakeLead(store, workers(1))
        lead.hear(lead.workers['w0'])
        lead.plan()
        self.assertThat(store.use.used(CLUB).millicores, matchers.Equals(4_000))
        _change_cap(store, Amounts(2_000))
        lead.round()
        self.assertThat(_hold(lead, _MINE), matchers.LessThan(3))
        _play(lead)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(2))

    def test_jobs_of_a_workspace_that_is_gone_are_done(self) -> None:
        """Within the cap that it had."""
        store = _store(Amounts(2_000))
        add(store, numbered_job(_MINE, step(4)))
        gone = workspaces_manifest(workspace(OTHER_CLUB), version=2)
        commit(store, SetManifest(gone))
        lead = FakeLead(store, workers(2))
        _play(lead)
        self.assertThat(_hold(lead, _MINE), matchers.Equals(2))

    def test_snapshot_keeps_what_is_used(self) -> None:
        """Who restores it counts the same."""
        store = _store(Amounts(3_000))
        add(store, numbered_job(_MINE, step(4)))
        _play(FakeLead(store, workers(2)))
        restored = JobStore()
        restored.restore(store.snapshot())
        self.assertThat(
            restored.use.by_workspace,
            matchers.Equals(store.use.by_workspace),
        )


class TestWantsOfCappedWorkspaces(testtools.TestCase):
    """What pools want for work that may not run."""

    def test_pool_wants_no_vm_for_it(self) -> None:
        """Work beyond the cap brings no VM out of the standby pool."""
        for cap, expected_vm_s in ((Amounts(4_000), 1.0), (NO_AMOUNTS, 25.0)):
            store = _store(cap)
            add(store, numbered_job(_MINE, step(100, estimate_ms=4_000)))
            lead = FakeLead(store, workers(1))
            lead.round()
            work = lead.scheduler.caps.within(
                lead.scheduler.ready.work(lead.now_s),
            )
            lead.scheduler.moves(lead.now_s)
            vm_s = sum(
                owed.vm_s(lead.scheduler.pools.vms.room)
                for steps in work.values()
                for owed in steps
            )
            self.assertThat(round(vm_s, 1), matchers.Equals(expected_vm_s))

    def test_its_jobs_put_no_others_back(self) -> None:
        """The pool can do what the cap lets run, and the others' jobs."""
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
        self.assertThat(_hold(lead, _OTHERS), matchers.GreaterThan(13))


class TestFitsCap(testtools.TestCase):
    """The rule itself."""

    def test_zero_is_no_limit(self) -> None:
        """Of each amount by itself."""
        need = Amounts(10, 10, 1)
        self.assertTrue(fits_cap(Amounts(), Amounts(9, 9, 9), need, need))
        only_memory = Amounts(0, 15)
        self.assertFalse(fits_cap(only_memory, Amounts(9, 9), need, need))
        self.assertTrue(fits_cap(only_memory, Amounts(9, 5), need, need))

    def test_gang_goes_beyond_by_one_task_at_most(self) -> None:
        """Wider ones never fit."""
        task = Amounts(4)
        cap = Amounts(10)
        self.assertTrue(fits_cap(cap, NO_AMOUNTS, Amounts(12), task))
        self.assertFalse(fits_cap(cap, NO_AMOUNTS, Amounts(16), task))
        self.assertFalse(fits_cap(cap, Amounts(6), Amounts(12), task))


class TestCredentialsInTheLog(testtools.TestCase):
    """Jobs and manifests are put in order by the log alone."""

    def test_job_after_the_key_is_withdrawn(self) -> None:
        """It is not accepted, though its call may have come before."""
        store = _store(NO_AMOUNTS)
        withdrawn = workspaces_manifest(workspace(OTHER_CLUB), version=2)
        commit(store, SetManifest(withdrawn))
        add(store, numbered_job(_MINE))
        self.assertThat(store.jobs, matchers.HasLength(0))

    def test_resend_to_a_public_queue(self) -> None:
        """It needs no key, and is one job."""
        store = JobStore()
        public = Manifest(1, (queue(is_public=True),), workspaces=())
        commit(store, SetManifest(public))
        add(store, numbered_job(_MINE), 'any')
        add(store, numbered_job(_MINE), 'other')
        self.assertThat(store.jobs, matchers.HasLength(1))
