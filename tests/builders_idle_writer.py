"""Build a sender of heartbeats that begins no run, with a leader and workers."""

from __future__ import annotations

import dataclasses

from tests.builders_jobs import (
    JOB,
    QUEUE,
    FakeLead,
    job,
    step,
    store_with,
    workers,
)
from wigeonreach.jobs import AddJob, RunEnd
from wigeonreach.lab import commit
from wigeonreach.observe import LogEvent
from wigeonreach.standins import StandInWorker
from wigeonreach.wire._worker_messages import StartOrder, WorkerOrders

ROUND_S = 0.25
_ROUNDS_PER_S = 4
# A label that only the idle writer has.
WRITER_LABEL = 'label-of-the-writer'


@dataclasses.dataclass(slots=True)
class IdleWriter(StandInWorker):
    """Sends the heartbeats of an idle worker, whatever it is told to do.

    Attributes
    ----------
    ignores
        Whether it ignores its orders.
    told
        The orders that it received.
    """

    ignores: bool = True
    told: list[WorkerOrders] = dataclasses.field(default_factory=list)

    def obey(
        self,
        orders: WorkerOrders,
        percent: int = 100,
        sent_s: float = 0.0,
    ) -> tuple[StartOrder, ...]:
        """Record the orders, and follow them unless they are ignored."""
        self.told.append(orders)
        if self.ignores:
            return ()
        return StandInWorker.obey(self, orders, percent, sent_s)


class WriterDay:
    """Jobs of one short task beside an idle writer and some workers.

    Parameters
    ----------
    sound
        Number of workers that begin their runs.

    Attributes
    ----------
    writer
        The idle writer.
    events
        Events that the leader logged of workers and jobs.
    """

    def __init__(self, sound: int = 4) -> None:
        """Begin the term of a leader that has heard nobody."""
        self.writer = IdleWriter('foreign', 'vm-foreign', kind=WRITER_LABEL)
        self.store = store_with()
        everyone = [self.writer, *workers(sound)]
        self.lead = FakeLead(self.store, everyone)
        self.events: list[LogEvent] = []

    def play(self, seconds: float, *, jobs: int = 0) -> None:
        """Simulate rounds in which listed runs succeed; add a job a second."""
        for number in range(int(seconds * _ROUNDS_PER_S)):
            if not number % _ROUNDS_PER_S and number < jobs * _ROUNDS_PER_S:
                spec = job(step(), job_id=f'{number:016x}')
                commit(self.store, AddJob(spec, QUEUE))
            self.lead.round(ROUND_S)
            for worker in self.lead.workers.values():
                for run in list(worker.running):
                    worker.end(run, RunEnd.DONE)
            notes = self.lead.scheduler.notes
            self.events.extend(note.event for note in notes)
            notes.clear()

    def add_for_writer(self, job_id: str = JOB, tasks: int = 1) -> None:
        """Add a job that only the writer's label allows."""
        spec = job(step(tasks, label=WRITER_LABEL), job_id=job_id)
        commit(self.store, AddJob(spec, QUEUE))

    def lease_count(self) -> int:
        """Return how many of the writer's answers had a lease."""
        return sum(orders.lease_ms > 0 for orders in self.writer.told)
