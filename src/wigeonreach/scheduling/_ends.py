"""Derive the ends of runs from a worker's newest heartbeat."""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run, RunEnd, RunEnded, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._orders import (
    is_over_cap,
    runs_over_capacity,
    unlisted_runs,
)
from wigeonreach.scheduling.placing._advice import TicketCache
from wigeonreach.wire._worker_messages import EndedRun


class RunEnds:
    """Finds ends that workers report, and starts that are withdrawn from them.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    advice
        The tickets that some runs need to begin.
    stopping
        Runs that are being stopped.
    """

    def __init__(
        self,
        store: JobStore,
        advice: TicketCache,
        stopping: Collection[Run],
    ) -> None:
        """Store what the ends are derived from."""
        self._store = store
        self._advice = advice
        self._stopping = stopping

    def reported(self, incarnation: Incarnation) -> tuple[RunEnded, ...]:
        """Return the reported ends that are not recorded yet."""
        listed = {(row.task, row.run) for row in incarnation.running}
        return tuple(
            RunEnded(
                ended.task,
                ended.run,
                incarnation.report.worker,
                ended.end,
                ended.checkpoint,
            )
            for ended in incarnation.report.ended
            if ended.number > incarnation.last_recorded_end
            and not _is_duplicate_refusal(ended, listed)
        )

    def withdrawn(self, incarnation: Incarnation) -> tuple[RunEnded, ...]:
        """Return the runs, not listed by a worker, that are withdrawn."""
        unlisted = tuple(unlisted_runs(incarnation, self._store))
        incarnation.unlisted_starts.intersection_update(unlisted)
        forbidden = {
            *self._stopping,
            *runs_over_capacity(incarnation, self._store),
        }
        return tuple(
            RunEnded(key, run, incarnation.report.worker, RunEnd.REFUSED)
            for key, run in unlisted
            if self._takes_no_runs(incarnation, key)
            or self._is_to_withdraw(incarnation, (key, run), forbidden)
        )

    def _takes_no_runs(self, incarnation: Incarnation, key: TaskKey) -> bool:
        """Whether a task's job has ended or its worker drains."""
        job = self._store.job_of(key)
        is_active = job is not None and job.is_active
        return incarnation.report.is_draining or not is_active

    def _is_to_withdraw(
        self,
        incarnation: Incarnation,
        run: Run,
        forbidden: Collection[Run],
    ) -> bool:
        if not incarnation.has_not_begun(run):
            return False
        if run in forbidden or is_over_cap(run[0], self._store):
            return True
        return self._lacks_ticket(incarnation, run)

    def _lacks_ticket(self, incarnation: Incarnation, run: Run) -> bool:
        # Without a ticket the run would block resources of the worker in vain.
        job = self._store.job_of(run[0])
        if job is None or job.queue.advice is None:
            return False
        worker = incarnation.report.worker
        return not self._advice.ticket(run[0], worker, incarnation.heard_s)


def _is_duplicate_refusal(ended: EndedRun, listed: Collection[Run]) -> bool:
    """Whether a worker refused a repeated order for a run that it has."""
    is_listed = (ended.task, ended.run) in listed
    return is_listed and ended.end is RunEnd.REFUSED
