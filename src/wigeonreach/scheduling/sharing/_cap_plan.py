"""Tell what the caps of workspaces let start while a plan is made."""

from __future__ import annotations

from wigeonreach.jobs import JobRecord, JobStore, StepSpec
from wigeonreach.scheduling.sharing._stray_runs import StrayRuns
from wigeonreach.workspaces import Amounts, UseBook


class CapPlan:
    """The caps beside what runs, may run and is planned.

    Parameters
    ----------
    store
        What runs where, and the caps; it is only read.
    strays
        What runs besides.

    Attributes
    ----------
    capped
        Workspaces by the ids of their jobs that had to wait.
    """

    def __init__(self, store: JobStore, strays: StrayRuns) -> None:
        """Plan nothing yet."""
        self._store = store
        self._strays = strays
        self._planned = UseBook()
        self.capped: dict[str, str] = {}

    def allows(self, job: JobRecord, step: StepSpec) -> bool:
        """Whether a task or a gang may start; take note if it may not."""
        return bool(self.most(job, step, 1))

    def most(self, job: JobRecord, step: StepSpec, wanted: int) -> int:
        """Return how many tasks of a step may start; take note if not all may."""
        workspace = job.workspace
        if not workspace:
            return wanted
        besides = self._strays.used(workspace) + self._planned.used(workspace)
        for count in range(wanted):
            if not self._store.is_under_cap(job, step, besides):
                self.capped[job.spec.job_id] = workspace
                return count
            besides += step.least_start
        return wanted

    def take(self, job: JobRecord, need: Amounts) -> None:
        """Count a start in."""
        self._planned.add(job.workspace, need)
