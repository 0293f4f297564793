"""Weigh what the crash of a worker proves of the runs that it had."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Set

from wigeonreach.jobs import CrashEvidence, Run

# A task that crashes its worker does so when it starts.  What had worked for so
# long was not the cause: several times what heartbeats need to tell of a start.
SOUND_S = 10.0
# So long after it was first listed a run counts as just begun: four heartbeats
# of a busy worker.
JUST_BEGUN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run on a worker that fell silent.

    Attributes
    ----------
    job_id
        Whose run it is.
    worked_s
        For how long it was listed when its worker was heard last.
    is_at_start
        The worker was told to start it, and not heard any more.
    crashes
        How many crashes speak against its task already.
    """

    job_id: str
    worked_s: float
    is_at_start: bool
    crashes: int = 0

    @property
    def has_just_begun(self) -> bool:
        """Whether its start may have brought the worker down."""
        return self.worked_s < JUST_BEGUN_S

    @property
    def is_sound(self) -> bool:
        """Whether it had worked for too long to be the cause."""
        return self.worked_s >= SOUND_S


def evidence_of(runs: Mapping[Run, LostRun]) -> dict[Run, CrashEvidence]:
    """Return what the crash of a worker proves of each of its runs."""
    unsound = [lost for lost in runs.values() if not lost.is_sound]
    # Beside what was never listed, only another start can be the cause, or what
    # was lost before.
    may_have_begun_it = {
        lost.job_id for lost in unsound if lost.has_just_begun or lost.crashes
    }
    all_jobs = {lost.job_id for lost in unsound}
    return {
        run: _evidence(
            lost,
            may_have_begun_it if lost.is_at_start else all_jobs,
        )
        for run, lost in runs.items()
    }


def _evidence(lost: LostRun, suspected: Set[str]) -> CrashEvidence:
    """Return what a crash proves of a run, by the jobs that may be its cause."""
    if lost.is_sound:
        return CrashEvidence.SOUND
    if suspected - {lost.job_id}:
        return CrashEvidence.BESIDE_OTHERS
    if lost.is_at_start:
        return CrashEvidence.ALONE
    return CrashEvidence.AT_WORK
