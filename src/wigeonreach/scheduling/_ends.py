"""Tell which runs on a worker are over, by its newest heartbeat."""

from __future__ import annotations

from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run, RunEnd, RunEnded, TaskKey
from wigeonreach.scheduling._advice import TicketCache
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._orders import (
    is_over_cap,
    not_begun,
    over_room,
)
from wigeonreach.wire._worker_messages import EndedRun


class EndsOfRuns:
    """What workers told of, and what they did not begin and shall not begin.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    advice
        The tickets without which some runs can't begin.
    stopping
        Runs that are being stopped.
    """

    def __init__(
        self,
        store: JobStore,
        advice: TicketCache,
        stopping: Collection[Run],
    ) -> None:
        """Look at nothing yet."""
        self._store = store
        self._advice = advice
        self._stopping = stopping

    def told(self, incarnation: Incarnation) -> tuple[RunEnded, ...]:
        """Return the ends that are listed and not recorded yet."""
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
            if ended.number > incarnation.noted
            and not _is_repeat(ended, listed)
        )

    def withdrawn(self, incarnation: Incarnation) -> tuple[RunEnded, ...]:
        """Return the runs to be reassigned, as they do not begin here."""
        unlisted = tuple(not_begun(incarnation, self._store))
        incarnation.given.intersection_update(unlisted)
        unfit = {*self._stopping, *over_room(incarnation, self._store)}
        return tuple(
            RunEnded(key, run, incarnation.report.worker, RunEnd.REFUSED)
            for key, run in unlisted
            if self._is_over(incarnation, key)
            or self._is_taken_back(incarnation, (key, run), unfit)
        )

    def _is_over(self, incarnation: Incarnation, key: TaskKey) -> bool:
        """Whether a task's job or worker takes nothing more."""
        job = self._store.job_of(key)
        is_active = job is not None and job.is_active
        return incarnation.report.is_draining or not is_active

    def _is_taken_back(
        self,
        incarnation: Incarnation,
        run: Run,
        unfit: Collection[Run],
    ) -> bool:
        if not incarnation.surely_lacks(run):
            return False
        if run in unfit or is_over_cap(run[0], self._store):
            return True
        return self._lacks_ticket(incarnation, run)

    def _lacks_ticket(self, incarnation: Incarnation, run: Run) -> bool:
        # A worker that waits for a ticket holds room for nothing.
        job = self._store.job_of(run[0])
        if job is None or job.queue.advice is None:
            return False
        worker = incarnation.report.worker
        return not self._advice.ticket(run[0], worker, incarnation.heard_s)


def _is_repeat(ended: EndedRun, listed: Collection[Run]) -> bool:
    """Whether a second order for what runs already was refused."""
    is_listed = (ended.task, ended.run) in listed
    return is_listed and ended.end is RunEnd.REFUSED
