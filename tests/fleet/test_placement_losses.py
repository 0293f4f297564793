"""Test jobs whose workers are lost one after the other.

Guards against a job that crashes every worker that starts it: the worker
falls silent, the lease expires, and the job would be started on the next
worker, without end.
"""

from __future__ import annotations

from typing import Any

import testtools
from testtools.matchers import Equals, IsInstance

from tests.builders_placement import (
    build_job,
    build_placement,
    build_worker,
    report_task,
    submit,
)
from wigeonreach.fleet._placement import LEASE_S, Placement
from wigeonreach.fleet._placement_jobs import JobState
from wigeonreach.fleet._placement_model import (
    Reason,
    SetAside,
    StartTask,
    TaskEnd,
    Tick,
    WorkerHeard,
    WorkerJoined,
    WorkerLost,
)

_WORKERS = 8
# Time after which the lease of a lost worker has certainly expired.
_LOSS_S = 2 * LEASE_S + 10


class TestLosses(testtools.TestCase):
    """Jobs that run on workers when these are lost."""

    def setUp(self) -> None:
        """Build eight workers, each in a rack of its own."""
        super().setUp()
        self.placement = build_placement(_WORKERS)
        for number in range(_WORKERS):
            worker = build_worker(number, rack=f'rack-{number}')
            self.placement.handle(WorkerJoined(worker), 0)
        self.now_s = 0.0

    def lose(self, *, ran_s: float = 0, with_rack: bool = False) -> list[Any]:
        """Lose the job's worker; return the effects after its lease expired."""
        report_task(self.placement, 'job', TaskEnd.STARTED, self.now_s)
        lost = _worker_of(self.placement)
        self.now_s += ran_s
        others = {f'vm-{number}' for number in range(_WORKERS)} - {lost}
        beside = min(others)
        for other in others:
            self.placement.handle(WorkerHeard(other), self.now_s + 10)
        self.placement.handle(WorkerHeard(lost), self.now_s)
        if with_rack:
            number = int(beside.removeprefix('vm-'))
            rack = f'rack-{lost.removeprefix("vm-")}'
            peer = build_worker(number, rack=rack)
            self.placement.handle(WorkerJoined(peer), self.now_s)
            self.placement.handle(WorkerLost(beside), self.now_s + 10)
        self.placement.handle(WorkerLost(lost), self.now_s + 10)
        self.now_s += _LOSS_S
        effects = self.placement.handle(Tick(), self.now_s)
        for name in (lost, beside):
            number = int(name.removeprefix('vm-'))
            back = build_worker(number, rack=f'rack-{number}')
            self.placement.handle(WorkerJoined(back), self.now_s)
        return effects

    def test_sets_aside_job_that_loses_workers(self) -> None:
        """A job is set aside after three workers were lost soon after start."""
        submit(self.placement, build_job('job'))
        for _ in range(2):
            self.assertThat(self.lose()[0], IsInstance(StartTask))
        aside = SetAside('job', Reason.LOSES_WORKERS)
        self.assertThat(self.lose(), Equals([aside]))

    def test_keeps_job_that_ran_long(self) -> None:
        """A long-running job isn't blamed: over months it outlives workers."""
        submit(self.placement, build_job('job'))
        for _ in range(6):
            effects = self.lose(ran_s=600)
            self.assertThat(effects[0], IsInstance(StartTask))

    def test_ignores_loss_of_rack(self) -> None:
        """Losses of several workers of a rack don't count against the job."""
        submit(self.placement, build_job('job'))
        for _ in range(6):
            effects = self.lose(with_rack=True)
            self.assertThat(effects[0], IsInstance(StartTask))

    def test_job_finishes_after_losses(self) -> None:
        """A job that finishes after two losses of workers is finished."""
        submit(self.placement, build_job('job'))
        self.lose()
        self.lose()
        report_task(self.placement, 'job', TaskEnd.STARTED, self.now_s)
        report_task(self.placement, 'job', TaskEnd.FINISHED, self.now_s)
        record = self.placement.job('job')
        assert record is not None
        self.assertThat(record.state, Equals(JobState.FINISHED))


def _worker_of(placement: Placement) -> str:
    record = placement.job('job')
    assert record is not None
    return record.worker
