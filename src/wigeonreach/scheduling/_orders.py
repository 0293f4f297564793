"""Build the orders in the answer to a heartbeat: starts, stops and paces."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

import msgspec

from wigeonreach.jobs import JobStore, Run, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._pacing import FULL_PACE, Pacing
from wigeonreach.scheduling._unsent_starts import StartChecks, unlisted_runs
from wigeonreach.wire._worker_messages import (
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerOrders,
)

# Heartbeat interval of busy workers.  A worker reports an end at once, while a
# start waits for the next heartbeat.  A quarter of a second is a small part of
# the shortest objective (3 s), and 4 heartbeats a second from 40 workers take
# about a tenth of a core.
BUSY_INTERVAL_MS = 250
# Interval after an answer without orders to a worker without batch runs.  Such
# an answer is usually held back, so the next heartbeat may follow soon.
HELD_INTERVAL_MS = 20
# A heartbeat times out after 1 s; the rest is left for the way back.
_MAX_HOLD_S = 0.7
# Extends no lease and starts nothing.
NO_LEASE = WorkerOrders(next_after_ms=BUSY_INTERVAL_MS)


def orders_for(
    incarnation: Incarnation,
    checks: StartChecks,
    pacing: Pacing,
    stopping: Collection[Run],
    term: int,
    now_s: float,
) -> WorkerOrders:
    """Return the orders for a worker, given its newest heartbeat.

    A start that the heartbeat does not list was lost and is ordered again.
    This is safe as a worker has only one heartbeat in flight at a time, and
    drops answers that arrive too late.
    """
    store = checks.store
    worker = incarnation.report.worker
    held = store.runs_of(worker)
    hindered = checks.hindered(incarnation, stopping, now_s)
    return WorkerOrders(
        lease_ms=incarnation.lease_ms,
        fence=term,
        acknowledged=incarnation.last_recorded_end,
        starts=tuple(
            _start_order(checks, worker, run, now_s)
            for run in unlisted_runs(incarnation, store)
            if run not in hindered
        ),
        stops=tuple(_stops(incarnation, store, held, stopping)),
        paces=tuple(_paces(incarnation, store, pacing)),
    )


def answer_if_due(
    orders: WorkerOrders,
    has_batch: bool,
    needs_lease: bool,
    waited_s: float,
) -> WorkerOrders | None:
    """Return the answer to a heartbeat, or None to hold it back for now.

    Parameters
    ----------
    orders
        The orders for the worker.
    has_batch
        Whether the worker has batch runs.
    needs_lease
        Whether its lease may expire soon.
    waited_s
        How long its heartbeat has been waiting.
    """
    has_orders = bool(orders.starts or orders.stops or orders.paces)
    if has_orders or has_batch:
        return msgspec.structs.replace(orders, next_after_ms=BUSY_INTERVAL_MS)
    if waited_s < _MAX_HOLD_S and not needs_lease:
        return None
    return msgspec.structs.replace(orders, next_after_ms=HELD_INTERVAL_MS)


def stop_reason(run: Run, incarnation: Incarnation, store: JobStore) -> str:
    """Return why a worker is told to stop a run, as a text for the log."""
    key, number = run
    job = store.job_of(key)
    if job is None:
        return 'its job is unknown'
    if not job.is_active:
        return f'its job is {job.phase.name.lower()}'
    if store.runs_of(incarnation.report.worker).get(key) != number:
        return 'it was given up or replaced by another run'
    if incarnation.report.is_draining:
        return 'its worker is draining'
    # All other causes: preemption for a serving task, a move to a faster
    # worker, a gang that lost a member, a maintenance wave, or no progress.
    return 'its VM is needed, or it makes no progress'


def _start_order(
    checks: StartChecks, worker: str, run: Run, now_s: float
) -> StartOrder:
    key, number = run
    job = checks.store.jobs[key.job_id]
    task = job.task(key)
    checkpoint = task.checkpoint if task else ''
    ticket = checks.advice.ticket(key, worker, now_s)
    return StartOrder(key, number, job.spec.payload, checkpoint, ticket)


def _stops(
    incarnation: Incarnation,
    store: JobStore,
    held: Mapping[TaskKey, int],
    stopping: Collection[Run],
) -> Iterator[StopOrder]:
    for row in incarnation.running:
        job = store.job_of(row.task)
        is_assigned = held.get(row.task) == row.run
        is_active = job is not None and job.is_active
        if not is_assigned or not is_active or (row.task, row.run) in stopping:
            yield StopOrder(row.task, row.run)


def _paces(
    incarnation: Incarnation,
    store: JobStore,
    pacing: Pacing,
) -> Iterator[PaceOrder]:
    pace = pacing.pace(incarnation.report.worker)
    if pace is None:
        return
    for row in incarnation.running:
        if store.is_batch(row.task):
            yield PaceOrder(row.task, row.run, min(pace, FULL_PACE))
