"""Check the task starts of one plan against the caps of workspaces."""

from __future__ import annotations

from wigeonreach.jobs import JobRecord, JobStore, StepSpec
from wigeonreach.scheduling.sharing._untracked_runs import UntrackedRuns
from wigeonreach.workspaces import Amounts, WorkspaceUsage


class CapPlan:
    """Usage of the workspaces' caps while a plan is made.

    Recorded runs, untracked runs and the starts of this plan all count.

    Parameters
    ----------
    store
        The replicated state with the caps; it is only read.
    untracked
        Runs that the replicated state no longer counts.

    Attributes
    ----------
    capped_jobs
        Workspace of each job that has to wait for its cap, by job id.
    """

    def __init__(self, store: JobStore, untracked: UntrackedRuns) -> None:
        """Start without planned runs."""
        self._store = store
        self._untracked = untracked
        self._planned = WorkspaceUsage()
        self.capped_jobs: dict[str, str] = {}

    def allows(self, job: JobRecord, step: StepSpec) -> bool:
        """Whether a task or a gang may start; record the job if not."""
        return bool(self.startable_count(job, step, 1))

    def startable_count(
        self, job: JobRecord, step: StepSpec, wanted: int
    ) -> int:
        """Return how many tasks or gangs may start; note the job if not all."""
        workspace = job.workspace
        if not workspace:
            return wanted
        usage = self._untracked.used(workspace) + self._planned.used(workspace)
        for count in range(wanted):
            if not self._store.is_under_cap(job, step, usage):
                self.capped_jobs[job.spec.job_id] = workspace
                return count
            usage += step.min_start_amounts
        return wanted

    def add_start(self, job: JobRecord, need: Amounts) -> None:
        """Add a planned start to the workspace's usage."""
        self._planned.add(job.workspace, need)
