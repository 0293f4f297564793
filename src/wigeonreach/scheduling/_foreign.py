"""Recognize heartbeats that no worker of this fleet has sent."""

from __future__ import annotations

from wigeonreach.jobs import JobStore
from wigeonreach.scheduling._workers import Workers
from wigeonreach.wire._worker_messages import MAX_LISTED_ENDS, WorkerReport


def is_foreign(report: WorkerReport, workers: Workers, store: JobStore) -> bool:
    """Whether a heartbeat can't be attributed to a worker of this fleet.

    A heartbeat of a tracked incarnation is foreign if it contradicts its newest
    one.  A heartbeat of an unknown one is foreign if it lacks the start time
    that others of its id include, or if its service is not in the manifest and
    no run is assigned to its worker.
    """
    known = workers.incarnations.get(report.worker)
    if known is not None:
        return _contradicts(report, known.report, store)
    if workers.by_vm.lacks_start_time(report):
        return True
    is_named = store.has_service(report.service)
    return not is_named and not store.runs_of(report.worker)


def _contradicts(
    report: WorkerReport, known: WorkerReport, store: JobStore
) -> bool:
    """Whether two heartbeats can't be of the same incarnation.

    An incarnation never changes its service and its VM.
    """
    if (report.service, report.vm) != (known.service, known.vm):
        return True
    is_newer = report.sequence > known.sequence
    return is_newer and _drops_runs(report, known, store)


def _drops_runs(
    report: WorkerReport, known: WorkerReport, store: JobStore
) -> bool:
    """Whether a run that was listed as running is missing, without an end.

    A worker lists each run until its end is acknowledged, and an end that is
    acknowledged is recorded.  The known heartbeat may be a late one, sent before
    such an end.
    """
    if len(report.ended) >= MAX_LISTED_ENDS:
        return False
    listed = report.listed_runs()
    held = store.runs_of(report.worker)
    return any(
        held.get(row.task) == row.run and (row.task, row.run) not in listed
        for row in known.running
    )
