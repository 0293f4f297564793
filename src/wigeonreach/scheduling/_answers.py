"""Answer the heartbeats of workers with their orders."""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import Run, run_name
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._disruption_budget import DisruptionBudget
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._orders import (
    NO_LEASE,
    answer_if_due,
    orders_for,
    stop_reason,
)
from wigeonreach.scheduling._pacing import Pacing
from wigeonreach.scheduling._unsent_starts import StartChecks
from wigeonreach.wire._worker_messages import WorkerOrders


class HeartbeatAnswers:
    """Builds the leader's answers to heartbeats, and decides when to send them.

    Parameters
    ----------
    checks
        Decides which recorded starts must not be sent.
    term
        Term of this leader.
    pacing, disruption_budget
        Pace limits, and which serving runs may be stopped.
    stopping
        Runs that are being stopped; retracted stops are removed from it.
    notes
        Receives a note for each serving run that is stopped, with the reason.
    """

    def __init__(
        self,
        checks: StartChecks,
        term: int,
        pacing: Pacing,
        disruption_budget: DisruptionBudget,
        stopping: set[Run],
        notes: list[LogNote],
    ) -> None:
        """Start with no answer sent."""
        self._notes = notes
        # Serving runs whose stop is already in the log.
        self._logged_stops: set[Run] = set()
        self._checks = checks
        self._store = checks.store
        self._term = term
        self._pacing = pacing
        self._disruption_budget = disruption_budget
        self._stopping = stopping

    def orders(self, incarnation: Incarnation, now_s: float) -> WorkerOrders:
        """Return the orders for a worker, and record the starts among them."""
        incarnation.answered_s = now_s
        if incarnation.withheld_s is not None:
            incarnation.ordered_starts = frozenset()
            return NO_LEASE
        orders = orders_for(
            incarnation,
            self._checks,
            self._pacing,
            self._stops_to_send(incarnation, now_s),
            self._term,
            now_s,
        )
        incarnation.note_leased(orders.lease_ms)
        incarnation.ordered_starts = frozenset(
            (start.task, start.run) for start in orders.starts
        )
        return orders

    def _stops_to_send(
        self,
        incarnation: Incarnation,
        now_s: float,
    ) -> Collection[Run]:
        """Drop the retracted stops, and return those that may be sent now."""
        if not self._stopping:
            return ()
        review = self._disruption_budget.review(
            incarnation, self._stopping, now_s
        )
        self._stopping.difference_update(review.retracted)
        if not review.withheld:
            return self._stopping
        return self._stopping - review.withheld

    def answer_if_due(
        self,
        incarnation: Incarnation,
        came_s: float,
        now_s: float,
    ) -> WorkerOrders | None:
        """Return the answer to a heartbeat, or None to hold it.

        Parameters
        ----------
        incarnation
            The worker that sent it; it is the worker's newest heartbeat.
        came_s
            When the heartbeat arrived.
        now_s
            Clock in seconds.
        """
        if incarnation.withheld_s is not None:
            return self.orders(incarnation, now_s)
        due = answer_if_due(
            self.orders(incarnation, now_s),
            self._has_batch(incarnation),
            incarnation.needs_lease,
            now_s - came_s,
        )
        if due is not None:
            incarnation.lease_renewed_s = came_s
            self._log_stops(incarnation, due)
        return due

    def forget_run(self, run: Run) -> None:
        """Drop a run that ended."""
        self._logged_stops.discard(run)

    def _log_stops(
        self,
        incarnation: Incarnation,
        orders: WorkerOrders,
    ) -> None:
        """Add a note for each serving run to be stopped, once per run."""
        for stop in orders.stops:
            run = (stop.task, stop.run)
            if run in self._logged_stops or not self._store.is_serving(
                stop.task
            ):
                continue
            self._logged_stops.add(run)
            why = stop_reason(run, incarnation, self._store)
            reason = f'{run_name(run)}: {why}'
            worker = incarnation.report.worker
            self._notes.append(LogNote(LogEvent.RUNS_STOPPED, worker, reason))

    def _has_batch(self, incarnation: Incarnation) -> bool:
        """Whether a worker has batch runs, assigned or still running."""
        keys = (
            *self._store.runs_of(incarnation.report.worker),
            *(row.task for row in incarnation.running),
        )
        return any(not self._store.is_serving(key) for key in keys)
