"""Derive the ends of runs from a worker's newest heartbeat."""

from __future__ import annotations

import collections
from collections.abc import Collection

from wigeonreach.jobs import JobStore, Run, RunEnd, RunEnded
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._unsent_starts import (
    StartChecks,
    unlisted_runs,
    withdrawals,
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
    notes
        Receives a note for the starts that are withdrawn from a worker.

    Attributes
    ----------
    checks
        Decides which recorded starts must not be sent.
    """

    def __init__(
        self,
        store: JobStore,
        advice: TicketCache,
        stopping: Collection[Run],
        notes: list[LogNote],
    ) -> None:
        """Store what the ends are derived from."""
        self.checks = StartChecks(store, advice)
        self._stopping = stopping
        self._notes = notes

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
        incarnation.unlisted_starts.intersection_update(
            unlisted_runs(incarnation, self.checks.store)
        )
        hindered = self.checks.hindered(
            incarnation, self._stopping, incarnation.heard_s
        )
        withdrawn = tuple(withdrawals(hindered, incarnation))
        worker = incarnation.report.worker
        if withdrawn:
            reasons = collections.Counter(
                hindered[run].value for run in withdrawn
            )
            told = ', '.join(f'{name} {runs}' for name, runs in reasons.items())
            note = LogNote(LogEvent.STARTS_WITHDRAWN, worker, told)
            self._notes.append(note)
        return tuple(
            RunEnded(*run, worker, RunEnd.REFUSED) for run in withdrawn
        )


def _is_duplicate_refusal(ended: EndedRun, listed: Collection[Run]) -> bool:
    """Whether a worker refused a repeated order for a run that it has."""
    is_listed = (ended.task, ended.run) in listed
    return is_listed and ended.end is RunEnd.REFUSED
