"""Count runs that may go on after the replicated state dropped them.

A run that was given up while its worker was silent, or whose gang ended, goes
on until its worker sends a heartbeat and stops it, or until the worker's lease
is over.
"""

from __future__ import annotations

from wigeonreach.jobs import JobStore, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.workspaces import Amounts, WorkspaceUsage

# A workspace, and the amounts that a run takes of its cap.
_Usage = tuple[str, Amounts]


class UntrackedRuns:
    """Usage of workspaces by runs that the replicated state dropped.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    """

    def __init__(self, store: JobStore) -> None:
        """Start without untracked runs."""
        self._store = store
        self._by_worker: dict[str, list[_Usage]] = {}
        self._book = WorkspaceUsage()

    def used(self, workspace: str) -> Amounts:
        """Return the usage of a workspace's untracked runs."""
        return self._book.used(workspace)

    def on_heartbeat(self, incarnation: Incarnation) -> None:
        """Recount a worker's reported runs whose tasks it is not assigned."""
        worker = incarnation.report.worker
        self.forget(worker)
        held = self._store.runs_of(worker)
        for row in incarnation.running:
            if row.task not in held:
                self.add(worker, row.task)

    def add(self, worker: str, key: TaskKey) -> None:
        """Count a run that may go on beside the next run of its task."""
        job = self._store.job_of(key)
        spec = self._store.spec_of(key)
        if job is None or spec is None or not job.workspace:
            return
        usage = (job.workspace, spec.amounts)
        self._by_worker.setdefault(worker, []).append(usage)
        self._book.add(*usage)

    def forget(self, worker: str) -> None:
        """Drop the untracked runs of a worker."""
        for usage in self._by_worker.pop(worker, ()):
            self._book.remove(*usage)
