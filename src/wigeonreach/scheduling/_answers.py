"""Answer the heartbeats of workers: what each is told, and when."""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run, run_name
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._advice import TicketCache
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._moving_out import MovingOut
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling._orders import (
    Tickets,
    answer_due,
    orders_for,
    why_stopped,
)
from wigeonreach.scheduling._pacing import Pacing
from wigeonreach.wire._worker_messages import WorkerOrders


class Answers:
    """What the leader of one term tells workers.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    term
        Of this leader.
    pacing, advice, moving_out
        What is known of paces, of tickets, and of serving tasks that leave.
    stopping
        Runs that are being stopped; what is taken back is removed from it.
    notes
        Where it is told which serving runs are stopped, and why.
    """

    def __init__(
        self,
        store: JobStore,
        term: int,
        pacing: Pacing,
        advice: TicketCache,
        moving_out: MovingOut,
        stopping: set[Run],
        notes: list[Note],
    ) -> None:
        """Tell nobody anything yet."""
        self._notes = notes
        # Serving runs whose stop was logged.
        self._noted: set[Run] = set()
        self._store = store
        self._term = term
        self._pacing = pacing
        self._advice = advice
        self._moving_out = moving_out
        self._stopping = stopping

    def orders(self, incarnation: Incarnation, now_s: float) -> WorkerOrders:
        """Return what a worker is to be told."""
        orders = orders_for(
            incarnation,
            self._store,
            self._pacing,
            self._to_stop(incarnation, now_s),
            Tickets(self._advice, now_s),
            self._term,
        )
        incarnation.told = frozenset(
            (start.task, start.run) for start in orders.starts
        )
        return orders

    def _to_stop(
        self,
        incarnation: Incarnation,
        now_s: float,
    ) -> Collection[Run]:
        """Return what may be stopped by an answer that is sent now."""
        if not self._stopping:
            return ()
        review = self._moving_out.review(incarnation, self._stopping, now_s)
        self._stopping.difference_update(review.retracted)
        if not review.withheld:
            return self._stopping
        return self._stopping - review.withheld

    def due(
        self,
        incarnation: Incarnation,
        came_s: float,
        now_s: float,
    ) -> WorkerOrders | None:
        """Return the answer to a heartbeat, or None to hold it.

        Parameters
        ----------
        incarnation
            Whose newest heartbeat it is.
        came_s, now_s
            When it came, and the clock now.
        """
        due = answer_due(
            self.orders(incarnation, now_s),
            self._has_batch(incarnation),
            incarnation.needs_lease,
            now_s - came_s,
        )
        if due is not None:
            incarnation.leased_s = came_s
            self._note_stops(incarnation, due)
        return due

    def forget_run(self, run: Run) -> None:
        """Drop a run that is over."""
        self._noted.discard(run)

    def _note_stops(
        self,
        incarnation: Incarnation,
        orders: WorkerOrders,
    ) -> None:
        """Tell of the serving runs that a worker is told to stop, once each."""
        for stop in orders.stops:
            run = (stop.task, stop.run)
            if run in self._noted or not self._store.is_serving(stop.task):
                continue
            self._noted.add(run)
            why = why_stopped(run, incarnation, self._store)
            reason = f'{run_name(run)}: {why}'
            worker = incarnation.report.worker
            self._notes.append(Note(LogEvent.RUNS_STOPPED, worker, reason))

    def _has_batch(self, incarnation: Incarnation) -> bool:
        """Whether work that ends by itself is on a worker."""
        keys = (
            *self._store.held_by(incarnation.report.worker),
            *(row.task for row in incarnation.running),
        )
        return any(not self._store.is_serving(key) for key in keys)
