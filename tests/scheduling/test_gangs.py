"""Test gangs, racks and the room beside slowed down work."""

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
    """Members that work only together."""

    def test_others_stop_when_one_is_lost(self) -> None:
        """They don't wait for a member that does not come, but start anew."""
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

    def test_members_share_the_number_of_their_run(self) -> None:
        """All are started under one number, above all earlier ones."""
        gang = step(3, is_gang=True)
        lead = FakeLead(store_with(job(gang)), workers(2))
        lead.round()
        runs = {
            run for worker in lead.workers.values() for _, run in worker.running
        }
        self.assertThat(runs, matchers.Equals({1}))


class TestRacks(testtools.TestCase):
    """Steps whose tasks are slower on more than one rack."""

    def test_rack_that_holds_all_is_taken(self) -> None:
        """Also where a tighter fit would spread the tasks."""
        local = step(4, cpu_millicores=_HALF, is_rack_local=True)
        lead = FakeLead(store_with(job(local)), _on_racks('a', 'b', 'b', 'c'))
        lead.round()
        self.assertThat(_racks_used(lead), matchers.Equals({'b'}))

    def test_step_that_no_rack_holds_is_spread(self) -> None:
        """Slower is better than not at all."""
        local = step(4, cpu_millicores=_HALF, is_rack_local=True)
        lead = FakeLead(store_with(job(local)), _on_racks('a', 'b', 'c'))
        lead.round()
        self.assertThat(_racks_used(lead), matchers.HasLength(2))


class TestPacedWorkers(testtools.TestCase):
    """Workers whose batch work is slowed down for serving tasks."""

    def test_new_work_goes_elsewhere(self) -> None:
        """It would be slowed down too, and disturb."""
        lead = FakeLead(store_with(job(step(2))), workers(2))
        for worker in lead.workers.values():
            lead.hear(worker)
        lead.scheduler.pacing.set('w0', 25)
        lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))
