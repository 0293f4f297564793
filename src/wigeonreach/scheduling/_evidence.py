"""Weigh what the crash of a worker proves of a run that it had."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonreach.jobs import CrashEvidence

# A task that crashes its worker does so when it starts.  What had worked for so
# long was not the cause: several times what heartbeats need to tell of a start.
SOUND_S = 10.0
# So long after it was first listed a run counts as just begun: four heartbeats
# of a busy worker.
JUST_BEGUN_S = 1.0


def evidence_of(
    job_id: str,
    worked_s: float,
    suspected: Mapping[str, int],
) -> CrashEvidence:
    """Return what a crash proves of a run.

    Parameters
    ----------
    job_id
        Whose run it is.
    worked_s
        For how long it was listed when its worker was heard last.
    suspected
        Of each job on the worker, how many crashes speak against it.
    """
    is_alone = len(suspected) == 1
    by_time = _by_time(worked_s, is_alone)
    return min(by_time, _most_beside(job_id, suspected))


def _by_time(worked_s: float, is_alone: bool) -> CrashEvidence:
    """Return what the time that a run had worked says."""
    if worked_s >= SOUND_S:
        return CrashEvidence.SOUND
    if worked_s < JUST_BEGUN_S:
        return CrashEvidence.ALONE
    return CrashEvidence.JUST_BEGUN if is_alone else CrashEvidence.BESIDE_OTHERS


def _most_beside(job_id: str, suspected: Mapping[str, int]) -> CrashEvidence:
    """Return how much a crash may prove beside what else was there."""
    others = [
        crashes for other, crashes in suspected.items() if other != job_id
    ]
    if not others:
        return CrashEvidence.ALONE
    if max(others) and max(others) >= suspected.get(job_id, 0):
        # One that others were more often lost with may be the cause instead.
        return CrashEvidence.BESIDE_OTHERS
    return CrashEvidence.JUST_BEGUN
