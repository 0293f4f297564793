"""Follow, for the leader of one term, which jobs wait for their caps."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wigeonreach.jobs import JobStore
from wigeonreach.jobs._model import MILLICORES
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._backlog import StepWork
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling.pooling import FINISH_S
from wigeonreach.scheduling.sharing._cap_plan import CapPlan
from wigeonreach.scheduling.sharing._capped_work import within_caps
from wigeonreach.scheduling.sharing._stray_runs import StrayRuns


class CapWatch:
    """The caps in one term.

    Parameters
    ----------
    store
        What runs where, and the caps; it is only read.

    Attributes
    ----------
    strays
        What runs without being recorded.
    """

    def __init__(self, store: JobStore) -> None:
        """Know of nothing that waits."""
        self._store = store
        self.strays = StrayRuns(store)
        self._waiting: set[str] = set()

    def processors(self) -> dict[str, float]:
        """Return the processors that each workspace with a cap may have."""
        return {
            spec.name: spec.cap.millicores / MILLICORES
            for spec in self._store.manifest.workspaces or ()
            if spec.cap.millicores
        }

    def within(
        self,
        work: Mapping[str, Iterable[StepWork]],
    ) -> dict[str, list[StepWork]]:
        """Return the work of each service as far as caps let it run."""
        return within_caps(work, self._store, FINISH_S)

    def plan(self) -> CapPlan:
        """Return the caps for one plan."""
        return CapPlan(self._store, self.strays)

    def note_plan(self, plan: CapPlan) -> list[Note]:
        """Return what to tell of a plan: the jobs that wait since now."""
        new = plan.capped.keys() - self._waiting
        self._waiting = set(plan.capped)
        return [
            self._note(job_id, plan.capped[job_id]) for job_id in sorted(new)
        ]

    def _note(self, job_id: str, workspace: str) -> Note:
        used = self._store.use.used(workspace)
        reason = f'{workspace} has its cap: {used}'
        return Note(LogEvent.JOB_CAPPED, job_id, reason)
