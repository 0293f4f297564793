"""Test the placement of gangs, by rack, and on paced workers."""

from __future__ import annotations

import testtools
from testtools import matchers

from tests.builders_jobs import (
    FakeLead,
    job,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import RunEnd
from wigeonreach.standins import StandInWorker

_HALF = 8_000


def _on_racks(*racks: str) -> list[StandInWorker]:
    return [
        StandInWorker(f'w{number}', f'vm{number}', rack=rack)
        for number, rack in enumerate(racks)
    ]


def _racks_used(lead: FakeLead) -> set[str]:
    return {worker.rack for worker in lead.workers.values() if worker.running}


class TestGangs(testtools.TestCase):
    """Members that can only work together."""

    def test_gang_restarts_when_a_member_is_lost(self) -> None:
        """The others are stopped, and all members start again together."""
        gang = step(2, cpu_millicores=16_000, is_gang=True)
        lead = FakeLead(store_with(job(gang)), workers(3))
        lead.round()
        busy = [worker for worker in lead.workers.values() if worker.running]
        busy[0].end(next(iter(busy[0].running)), RunEnd.FAILED)
        lead.round()
        lead.round()
        lead.round()
        runs = [
            run for worker in lead.workers.values() for _, run in worker.running
        ]
        self.assertThat(runs, matchers.Equals([2, 2]))

    def test_members_share_a_run_number(self) -> None:
        """All members start with one number, above all earlier ones."""
        gang = step(3, is_gang=True)
        lead = FakeLead(store_with(job(gang)), workers(2))
        lead.round()
        runs = {
            run for worker in lead.workers.values() for _, run in worker.running
        }
        self.assertThat(runs, matchers.Equals({1}))


class TestRacks(testtools.TestCase):
    """Steps that are slower when spread over several racks."""

    def test_rack_that_fits_the_step_is_chosen(self) -> None:
        """It is chosen even if a tighter fit would spread the tasks."""
        local = step(4, cpu_millicores=_HALF, is_rack_local=True)
        lead = FakeLead(store_with(job(local)), _on_racks('a', 'b', 'b', 'c'))
        lead.round()
        self.assertThat(_racks_used(lead), matchers.Equals({'b'}))

    def test_step_that_fits_no_rack_is_spread(self) -> None:
        """Running slower is better than not running."""
        local = step(4, cpu_millicores=_HALF, is_rack_local=True)
        lead = FakeLead(store_with(job(local)), _on_racks('a', 'b', 'c'))
        lead.round()
        self.assertThat(_racks_used(lead), matchers.HasLength(2))


class TestPacedWorkers(testtools.TestCase):
    """Workers whose batch work is throttled for serving tasks."""

    def test_new_task_avoids_paced_worker(self) -> None:
        """The task would be throttled too, and disturb serving tasks."""
        lead = FakeLead(store_with(job(step(2))), workers(2))
        for worker in lead.workers.values():
            lead.hear(worker)
        lead.scheduler.pacing.set('w0', 25)
        lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))
