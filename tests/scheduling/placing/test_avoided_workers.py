"""Test the last attempt of a task that failed on a worker.

Guards against a task that waits for ever for another worker than the one that
failed it, where none can run it or none gets free.
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
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob, RunEnd, StepSpec
from wigeonreach.lab import commit
from wigeonreach.standins import StandInWorker

# A task whose turn has come starts within this time where there is capacity.
_START_WITHIN_S = 3.0
_ROUND_S = 0.1
_LARGE = 'large'
_FULL = 16_000
_LAST_RUN = ((key(), 2),)
# Of a task that does not end during a test.
_LONG_MS = 60_000


def _fail_on_first(
    spec: StepSpec, *others: StandInWorker, lasting: StepSpec | None = None
) -> FakeLead:
    """Return a leader whose job's only task has one attempt left.

    The task failed on ``w0``, the only worker then.  The other workers come
    after that, and may get the tasks of a job that lasts before the task.
    """
    lead = FakeLead(store_with(job(spec)), workers(1))
    first = lead.workers['w0']
    first.kind = _LARGE
    lead.round()
    first.end((key(), 1), RunEnd.FAILED)
    # Told only once the others are there.
    ended = lead.workers.pop('w0')
    lead.workers.update({other.name: other for other in others})
    if lasting is not None:
        commit(lead.store, AddJob(job(lasting, job_id=OTHER_JOB), QUEUE))
    lead.round()
    lead.workers[ended.name] = ended
    return lead


def _fail_beside_full(cpu_millicores: int = _FULL) -> FakeLead:
    """Return the same, beside a worker ``s0`` that a long task fills."""
    other = StandInWorker('s0', 'vm-s0', cpu_millicores=cpu_millicores)
    lasting = step(cpu_millicores=cpu_millicores, estimate_ms=_LONG_MS)
    return _fail_on_first(step(), other, lasting=lasting)


def _waited_s(lead: FakeLead, within_s: float) -> float:
    """Return how long the task waits for its last run on ``w0``."""
    began_s = lead.now_s
    while lead.now_s - began_s < within_s:
        # Runs without progress would be stopped.
        for worker in lead.workers.values():
            worker.advance(int(lead.now_s))
        lead.round(_ROUND_S)
        if tuple(lead.workers['w0'].running) == _LAST_RUN:
            return lead.now_s - began_s
    return float('inf')


class TestLastAttempts(testtools.TestCase):
    """The last attempt of the only task of a job."""

    def test_only_worker_with_the_label(self) -> None:
        """The others can never run it, so it does not wait for them."""
        others = [StandInWorker(f's{at}', f'vm-s{at}') for at in range(7)]
        lead = _fail_on_first(step(label=_LARGE), *others)
        self.assertThat(
            _waited_s(lead, _START_WITHIN_S), matchers.LessThan(3 * _ROUND_S)
        )

    def test_only_worker_that_is_large_enough(self) -> None:
        """The other one has too few processors, even if it is empty."""
        small = StandInWorker('s0', 'vm-s0', cpu_millicores=1000)
        lead = _fail_on_first(step(cpu_millicores=8000), small)
        self.assertThat(
            _waited_s(lead, _START_WITHIN_S), matchers.LessThan(3 * _ROUND_S)
        )

    def test_other_worker_stays_full(self) -> None:
        """A long task fills it, and most of the pool is idle."""
        lead = _fail_beside_full(cpu_millicores=8000)
        waited_s = _waited_s(lead, _START_WITHIN_S)
        self.assertThat(lead.workers['s0'].running, matchers.HasLength(1))
        self.assertThat(waited_s, matchers.LessThan(_START_WITHIN_S))

    def test_other_worker_may_be_free_soon(self) -> None:
        """The task waits for it, as the last run may fail again where it did."""
        lead = _fail_beside_full()
        lead.round()
        self.assertThat(lead.workers['w0'].running, matchers.HasLength(0))
        other = lead.workers['s0']
        other.end((key(job_id=OTHER_JOB), 1), RunEnd.DONE)
        lead.round()
        lead.round()
        self.assertThat(tuple(other.running), matchers.Equals(_LAST_RUN))

    def test_busy_pool_is_waited_for_longer(self) -> None:
        """Only the failing worker has capacity, as it runs nothing."""
        others = [StandInWorker(f's{at}', f'vm-s{at}') for at in range(3)]
        lead = _fail_on_first(
            step(),
            *others,
            lasting=step(3, cpu_millicores=_FULL, estimate_ms=_LONG_MS),
        )
        self.assertThat(
            _waited_s(lead, _START_WITHIN_S), matchers.Equals(float('inf'))
        )
        self.assertThat(_waited_s(lead, 10.0), matchers.LessThan(10.0))

    def test_next_leader_bounds_the_wait_too(self) -> None:
        """It knows nothing of the wait so far, and begins anew."""
        lead = _fail_beside_full(cpu_millicores=8000)
        lead.round()
        successor = FakeLead(
            lead.store, lead.workers.values(), lead.term + 1, lead.now_s
        )
        self.assertThat(
            _waited_s(successor, 2 * _START_WITHIN_S),
            matchers.LessThan(2 * _START_WITHIN_S),
        )

    def test_waiting_task_can_be_cancelled(self) -> None:
        """It does not start any more, and the plans go on."""
        lead = _fail_beside_full()
        lead.round()
        lead.cancel()
        self.assertThat(
            _waited_s(lead, _START_WITHIN_S), matchers.Equals(float('inf'))
        )
