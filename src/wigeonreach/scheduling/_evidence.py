"""Grade the evidence that a worker's crash provides against its runs."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Set

from wigeonreach.jobs import CrashEvidence, Run

# A task that crashes its worker does so when it starts.  A run that had been
# running for this long was not the cause; this time is several times what
# heartbeats need to report a start.
CLEARED_AFTER_S = 10.0
# A run counts as just begun for this long after it was first listed: four
# heartbeats of a busy worker.
JUST_BEGUN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run on a worker that fell silent.

    Attributes
    ----------
    job_id
        The job of the run.
    worked_s
        How long it had been listed when its worker was last heard.
    is_at_start
        Whether the worker was told to start it and never listed it.
    crashes
        Number of crashes that already count against its task.
    """

    job_id: str
    worked_s: float
    is_at_start: bool
    crashes: int = 0

    @property
    def has_just_begun(self) -> bool:
        """Whether its start may have crashed the worker."""
        return self.worked_s < JUST_BEGUN_S

    @property
    def may_be_cause(self) -> bool:
        """Whether it just began, or others have crashed under its task."""
        return self.has_just_begun or (bool(self.crashes) and not self.is_sound)

    @property
    def is_sound(self) -> bool:
        """Whether it had run for too long to be the cause."""
        return self.worked_s >= CLEARED_AFTER_S


def evidence_of(runs: Mapping[Run, LostRun]) -> dict[Run, CrashEvidence]:
    """Return the evidence of a worker's crash against each of its runs."""
    unsound = [lost for lost in runs.values() if not lost.is_sound]
    # A task that crashes its worker does so when it starts.  Beside a run that
    # was never listed, only other starts and tasks with earlier crashes are
    # therefore suspected.
    start_suspects = {lost.job_id for lost in unsound if lost.may_be_cause}
    all_jobs = {lost.job_id for lost in unsound}
    return {
        run: _evidence_of_run(
            lost,
            start_suspects if lost.is_at_start else all_jobs,
        )
        for run, lost in runs.items()
    }


def weakened(
    evidence: CrashEvidence, max_evidence: CrashEvidence
) -> CrashEvidence:
    """Return the evidence against a run, within what its loss can prove.

    A run that was alone on its worker stays one, also if the VM may be the
    cause: what the loss proves is then uncertain, but not due to other runs.
    """
    if evidence <= max_evidence:
        return evidence
    return min(max_evidence, CrashEvidence.UNCERTAIN)


def _evidence_of_run(lost: LostRun, suspected: Set[str]) -> CrashEvidence:
    """Return the evidence against a run, given the jobs that are suspected."""
    if lost.is_sound:
        return CrashEvidence.SOUND
    if suspected - {lost.job_id}:
        return CrashEvidence.BESIDE_OTHERS
    if lost.is_at_start:
        return CrashEvidence.ALONE
    return CrashEvidence.AT_WORK
