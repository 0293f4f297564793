"""Stop stalled and straggling runs, and count them against their workers."""

from __future__ import annotations

from collections.abc import Mapping

from wigeonreach.jobs import (
    JobStore,
    Run,
    RunEnd,
    RunEnded,
    TaskKey,
    TaskPhase,
)
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._disruption_budget import DisruptionBudget
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._pacing import Pacing
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._quarantine import WorkerQuarantine
from wigeonreach.scheduling._speculation import stragglers

# Interval of the search for stragglers; busy workers send heartbeats as often.
_STRAGGLER_CHECK_S = 0.25


class RunStops:
    """Stops stalled runs, stragglers, and gangs with a run that did not finish.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    pacing, progress
        Pace limits of the workers, and the progress of the runs.
    disruption_budget
        Decides which serving runs may be stopped.
    stopping
        Runs that are being stopped; further runs are added to it.
    notes
        Receives the notes for the log.

    Attributes
    ----------
    quarantine
        Workers that get no new work because runs fail on them.
    """

    def __init__(
        self,
        store: JobStore,
        pacing: Pacing,
        progress: ProgressTracker,
        disruption_budget: DisruptionBudget,
        stopping: set[Run],
        notes: list[LogNote],
    ) -> None:
        """Start with an empty quarantine."""
        self._store = store
        self._pacing = pacing
        self._progress = progress
        self._disruption_budget = disruption_budget
        self.quarantine = WorkerQuarantine()
        self._stopping = stopping
        self._notes = notes
        self._next_check_s = float('-inf')

    def note_end(self, ended: RunEnded, now_s: float) -> None:
        """Record the end of a run."""
        run = (ended.task, ended.run)
        self._stopping.discard(run)
        if ended.end is RunEnd.DONE:
            self.quarantine.note_done(ended.worker)
        elif ended.end is RunEnd.FAILED:
            self._count_failure(ended.worker, ended.task.job_id, now_s)
        self._progress.forget_run(run)
        if ended.end is not RunEnd.DONE:
            self.stop_gang(ended.task)

    def stop_gang(self, key: TaskKey) -> None:
        """Stop the other members of a gang, which would wait in vain."""
        job = self._store.job_of(key)
        spec = self._store.spec_of(key)
        if job is None or spec is None or not spec.is_gang:
            return
        members = zip(job.step_keys(key), job.step_tasks(key), strict=True)
        self._stopping.update(
            (other, member.run)
            for other, member in members
            if other != key and member.phase is TaskPhase.ASSIGNED
        )

    def stop_stalled(
        self,
        incarnation: Incarnation,
        now_s: float,
    ) -> tuple[Run, ...]:
        """Stop a worker's runs without progress and count them as failures."""
        worker = incarnation.report.worker
        pace = self._pacing.pace(worker)
        without_progress = self._progress.on_heartbeat(
            incarnation, self._store, pace, now_s
        )
        stalled: list[Run] = []
        for run in without_progress:
            if run in self._stopping or not self._disruption_budget.may_stop(
                run,
                incarnation,
                self._stopping,
                now_s,
            ):
                continue
            self._stopping.add(run)
            self._count_failure(worker, run[0].job_id, now_s)
            stalled.append(run)
        return tuple(stalled)

    def stop_stragglers(
        self,
        incarnations: Mapping[str, Incarnation],
        now_s: float,
    ) -> None:
        """Stop runs on slow workers that would end sooner elsewhere."""
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + _STRAGGLER_CHECK_S
        for straggler in stragglers(
            incarnations, self._progress, self._store, now_s
        ):
            runs = set(straggler.runs) - self._stopping
            if runs:
                self._stopping.update(runs)
                # Compared with the other workers of the service.
                times = f'{straggler.slowdown_factor:.1f} times as long'
                why = f'{len(runs)} runs, {times}'
                self._notes.append(
                    LogNote(LogEvent.RUNS_MOVED, straggler.worker, why)
                )

    def _count_failure(self, worker: str, job_id: str, now_s: float) -> None:
        if self.quarantine.note_failed(worker, job_id, now_s):
            reason = 'failed or held up runs of several jobs in a row'
            note = LogNote(LogEvent.WORKER_QUARANTINED, worker, reason)
            self._notes.append(note)
