"""Count the runs that the replicated state counts no more and that may go on.

A run that was given up while its worker was silent, or whose gang ended, works
on until its worker is heard and stops it, or until its lease is over.
"""

from __future__ import annotations

from wigeonreach.jobs import JobStore, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.workspaces import Amounts, UseBook

# A workspace, and what a run takes of its cap.
_Taken = tuple[str, Amounts]


class StrayRuns:
    """What such runs take of the caps of their workspaces.

    Parameters
    ----------
    store
        What is counted already; it is only read.
    """

    def __init__(self, store: JobStore) -> None:
        """Know no such run."""
        self._store = store
        self._by_worker: dict[str, list[_Taken]] = {}
        self._book = UseBook()

    def used(self, workspace: str) -> Amounts:
        """Return what the runs of a workspace take."""
        return self._book.used(workspace)

    def note_heard(self, incarnation: Incarnation) -> None:
        """Count anew what a worker lists and no record says that it has."""
        worker = incarnation.report.worker
        self.forget(worker)
        held = self._store.held_by(worker)
        for row in incarnation.running:
            if row.task not in held:
                self.note_copied(worker, row.task)

    def note_copied(self, worker: str, key: TaskKey) -> None:
        """Count a run in that may go on beside the next one of its task."""
        job = self._store.job_of(key)
        spec = self._store.spec_of(key)
        if job is None or spec is None or not job.workspace:
            return
        taken = (job.workspace, spec.amounts)
        self._by_worker.setdefault(worker, []).append(taken)
        self._book.add(*taken)

    def forget(self, worker: str) -> None:
        """Count nothing on a worker."""
        for taken in self._by_worker.pop(worker, ()):
            self._book.remove(*taken)
