"""Track which jobs wait for their workspace's cap."""

from __future__ import annotations

import dataclasses

from wigeonreach.jobs import JobStore
from wigeonreach.jobs._model import MILLICORES
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling.pooling import WORK_HORIZON_S
from wigeonreach.scheduling.sharing._cap_plan import CapPlan
from wigeonreach.scheduling.sharing._capped_work import within_caps
from wigeonreach.scheduling.sharing._untracked_runs import UntrackedRuns
from wigeonreach.scheduling.shortage import FleetWork


class CapTracker:
    """The caps of workspaces, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state with the caps; it is only read.

    Attributes
    ----------
    untracked_runs
        Runs that the replicated state no longer counts.
    """

    def __init__(self, store: JobStore) -> None:
        """Start without waiting jobs."""
        self._store = store
        self.untracked_runs = UntrackedRuns(store)
        self._waiting: set[str] = set()

    def processors(self) -> dict[str, float]:
        """Return the processors that each workspace with a cap may use."""
        return {
            spec.name: spec.cap.millicores / MILLICORES
            for spec in self._store.manifest.workspaces or ()
            if spec.cap.millicores
        }

    def limit_work(self, work: FleetWork) -> FleetWork:
        """Return the work of each service, reduced to what the caps allow."""
        return dataclasses.replace(
            work,
            steps=within_caps(work.steps, self._store, WORK_HORIZON_S),
            in_time_steps=within_caps(
                work.in_time_steps, self._store, WORK_HORIZON_S
            ),
        )

    def begin_plan(self) -> CapPlan:
        """Return the cap usage for a new plan."""
        return CapPlan(self._store, self.untracked_runs)

    def note_plan(self, plan: CapPlan) -> list[LogNote]:
        """Return notes on the jobs that newly wait for their cap."""
        new = plan.capped_jobs.keys() - self._waiting
        self._waiting = set(plan.capped_jobs)
        return [
            self._note(job_id, plan.capped_jobs[job_id])
            for job_id in sorted(new)
        ]

    def _note(self, job_id: str, workspace: str) -> LogNote:
        # Untracked and planned runs count toward the cap too, but are not in
        # this sum, so it may be below the cap.
        used = self._store.usage.used(workspace)
        reason = f'workspace {workspace} is at its cap, in use: {used}'
        return LogNote(LogEvent.JOB_CAPPED, job_id, reason)
