"""Stop runs that go wrong, and trust the workers less on which they did."""

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
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._moving_out import MovingOut
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling._pacing import Pacing
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._quarantine import WorkerQuarantine
from wigeonreach.scheduling._second_runs import laggards

# Busy workers send a heartbeat as often.
_LOOK_S = 0.25


class RunStops:
    """Runs that stand still, lag, or wait for a member that has ended.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    pacing, progress
        How fast runs may go, and how fast they do.
    moving_out
        Which serving runs may be stopped.
    stopping
        Runs that are being stopped; more are put into it.
    notes
        Where changes of belief are put.

    Attributes
    ----------
    quarantine
        Which workers are not trusted, by what goes wrong on them.
    """

    def __init__(
        self,
        store: JobStore,
        pacing: Pacing,
        progress: ProgressWatch,
        moving_out: MovingOut,
        stopping: set[Run],
        notes: list[Note],
    ) -> None:
        """Stop nothing yet."""
        self._store = store
        self._pacing = pacing
        self._progress = progress
        self._moving_out = moving_out
        self.quarantine = WorkerQuarantine()
        self._stopping = stopping
        self._notes = notes
        self._next_look_s = float('-inf')

    def note_end(self, ended: RunEnded, now_s: float) -> None:
        """Take note of the end of a run."""
        run = (ended.task, ended.run)
        self._stopping.discard(run)
        if ended.end is RunEnd.DONE:
            self.quarantine.note_done(ended.worker)
        elif ended.end is RunEnd.FAILED:
            self._distrust(ended.worker, ended.task.job_id, now_s)
        self._progress.forget_run(run)
        if ended.end is not RunEnd.DONE:
            self.stop_gang(ended.task)

    def stop_gang(self, key: TaskKey) -> None:
        """Stop the members of a gang that would wait for one in vain."""
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
        """Stop runs without progress, and trust their worker less."""
        worker = incarnation.report.worker
        pace = self._pacing.pace(worker)
        still = self._progress.note(incarnation, self._store, pace, now_s)
        stalled: list[Run] = []
        for run in still:
            if run in self._stopping or not self._moving_out.may_stop(
                run,
                incarnation,
                self._stopping,
                now_s,
            ):
                continue
            self._stopping.add(run)
            self._distrust(worker, run[0].job_id, now_s)
            stalled.append(run)
        return tuple(stalled)

    def move_laggards(
        self,
        incarnations: Mapping[str, Incarnation],
        now_s: float,
    ) -> None:
        """Stop what slow workers would end later than others would."""
        if now_s < self._next_look_s:
            return
        self._next_look_s = now_s + _LOOK_S
        for found in laggards(incarnations, self._progress, self._store, now_s):
            runs = set(found.runs) - self._stopping
            if runs:
                self._stopping.update(runs)
                times = f'{found.slower_times:.1f} times as long'
                why = f'{len(runs)} runs, {times}'
                self._notes.append(Note(LogEvent.RUNS_MOVED, found.worker, why))

    def _distrust(self, worker: str, job_id: str, now_s: float) -> None:
        if self.quarantine.note_failed(worker, job_id, now_s):
            reason = 'failed or held up runs of several jobs in a row'
            note = Note(LogEvent.WORKER_QUARANTINED, worker, reason)
            self._notes.append(note)
