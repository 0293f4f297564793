"""Simulate random days with changing caps, and check every start."""

from __future__ import annotations

import collections
from unittest import mock

import testtools
from testtools import matchers

from tests.builders_days import RandomDay, play
from tests.builders_jobs import TERM, FakeLead, job, step
from tests.builders_workspaces import (
    CLUB,
    KEY,
    OTHER_CLUB,
    OTHER_KEY,
    add,
    workspace,
    workspaces_manifest,
    workspaces_store,
)
from wigeonreach.jobs import JobPhase, JobStore, SetManifest
from wigeonreach.lab import BrokenRuleError, commit
from wigeonreach.scheduling.sharing import CapPlan
from wigeonreach.wire._worker_messages import StartOrder
from wigeonreach.workspaces import NO_AMOUNTS, Amounts, WorkspaceUsage

_DAYS = 25
_DAYS_UNTIL_FOUND = 25
_SMALLEST = Amounts(6_000, 4_096)
_LARGEST = Amounts(48_000, 40_960)
# How long a replaced manifest may still be in force on other nodes.
_APPLY_S = 2.5
_OVERRUN = 1.1


class _CappedDay(RandomDay):
    """Two workspaces, one of them with a changing cap."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.store = workspaces_store(
            workspace(CLUB, cap=_LARGEST),
            workspace(OTHER_CLUB),
        )
        self.lead = FakeLead(self.store, (), TERM)
        self.caps = [(0.0, _LARGEST)]

    def disturb(self) -> None:
        """Change a cap now and then."""
        super().disturb()
        if self.happens(3):
            self.change_cap(self.rng.choice((_SMALLEST, _LARGEST)))

    def calm_down(self) -> None:
        """Raise the cap so that all waiting jobs can run."""
        self.change_cap(_LARGEST)

    def change_cap(self, cap: Amounts) -> None:
        """Commit a manifest with a new cap."""
        self.caps.append((self.now_s, cap))
        changed = workspaces_manifest(
            workspace(CLUB, cap=cap),
            workspace(OTHER_CLUB),
            version=self.store.manifest.version + 1,
        )
        commit(self.store, SetManifest(changed))

    def submit(self) -> None:
        """Submit a job for one of the two workspaces."""
        self.serial += 1
        rng = self.rng
        is_gang = self.happens(20)
        spec = step(
            rng.randint(1, 3 if is_gang else 8),
            cpu_millicores=rng.choice((500, 4_000)),
            is_gang=is_gang,
            has_copies=self.happens(20),
        )
        number = f'{self.serial:016x}'
        api_key = rng.choice((KEY, KEY, OTHER_KEY))
        add(self.store, job(spec, job_id=number), api_key)

    def check_order(self, order: StartOrder) -> None:
        """Check the cap in addition."""
        super().check_order(order)
        record = self.store.job_of(order.task)
        if record is None or record.workspace != CLUB:
            return
        need = record.step_spec(order.task).amounts
        after = self._running().get(CLUB, NO_AMOUNTS) + need
        began = [at_s for at_s, _ in self.caps]
        ended = [*began[1:], float('inf')]
        in_force = [
            cap
            for (_, cap), until_s in zip(self.caps, ended, strict=True)
            if until_s >= self.now_s - _APPLY_S
        ]
        cap = max(in_force, key=lambda amounts: amounts.millicores)
        is_over = (
            after.millicores > cap.millicores * _OVERRUN + need.millicores
            or after.memory_mb > cap.memory_mb * _OVERRUN + need.memory_mb
        )
        if is_over:
            raise BrokenRuleError(f'{order.task}: {after} over {cap}')

    def check(self) -> None:
        """Check that the recorded usage equals a fresh count."""
        super().check()
        counted = _recount(self.store)
        if self.store.usage.by_workspace != counted:
            raise BrokenRuleError(f'{self.store.usage.by_workspace}: {counted}')

    def _running(self) -> dict[str, Amounts]:
        book = WorkspaceUsage()
        for machine in self.machines:
            if self.now_s >= machine.down_until_s:
                for key, _ in machine.worker.running:
                    record = self.store.jobs[key.job_id]
                    book.add(record.workspace, record.step_spec(key).amounts)
        return dict(book.by_workspace)


def _recount(store: JobStore) -> dict[str, Amounts]:
    book: dict[str, Amounts] = collections.defaultdict(Amounts)
    for record in store.jobs.values():
        for key, _ in record.assigned_tasks():
            book[record.workspace] += record.step_spec(key).amounts
    return {name: used for name, used in book.items() if used != NO_AMOUNTS}


class TestRandomCaps(testtools.TestCase):
    """Days with faults and changing caps, then a calm period."""

    def test_caps_hold_and_jobs_finish(self) -> None:
        """No start exceeds a cap, and every job that fits finishes."""
        for seed in range(_DAYS):
            day = _CappedDay(seed)
            play(day)
            left = [
                record.spec.job_id
                for record in day.store.jobs.values()
                if record.phase is JobPhase.ACTIVE
                and not _is_too_wide(day, record.spec.job_id)
            ]
            self.assertThat(left, matchers.Equals([]), f'seed {seed}')

    def test_ignored_cap_is_detected(self) -> None:
        """The days fail if starts are planned and recorded without caps."""
        patches = (
            mock.patch.object(JobStore, 'is_under_cap', lambda *_: True),
            mock.patch.object(
                CapPlan,
                'startable_count',
                lambda plan, job, step, wanted: wanted,
            ),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.assertRaises(BrokenRuleError, _play_all)


def _is_too_wide(day: _CappedDay, job_id: str) -> bool:
    """Whether a job is a gang that never fits its workspace's cap."""
    record = day.store.jobs[job_id]
    spec = record.spec.steps[0]
    whole = spec.amounts.times(spec.count)
    cap = day.store.cap_of(record)
    return (
        spec.is_gang
        and bool(record.workspace == CLUB)
        and (
            whole.millicores > cap.millicores or whole.memory_mb > cap.memory_mb
        )
    )


def _play_all() -> None:
    for seed in range(_DAYS_UNTIL_FOUND):
        play(_CappedDay(seed))
