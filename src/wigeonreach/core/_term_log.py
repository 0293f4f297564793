"""Log and count what a leader decides and comes to believe."""

from __future__ import annotations

from collections.abc import Iterable

from wigeonreach.core._term_load import LoadFigures
from wigeonreach.jobs import (
    CrashEvidence,
    JobRecord,
    JobStore,
    RunCrashed,
    RunEnd,
    RunEnded,
    RunStarted,
    run_name,
)
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.scheduling import Heard
from wigeonreach.scheduling._notes import Note
from wigeonreach.scheduling._objectives import objective_of
from wigeonreach.wire._worker_messages import WorkerReport


class TermLog:
    """One line for each decision about a job, a run or a worker.

    Parameters
    ----------
    store
        What the lines are about; it is only read.
    logger, metrics
        Where decisions are logged and counted.
    """

    def __init__(
        self,
        store: JobStore,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Log nothing yet."""
        self._store = store
        self._log = logger
        self._metrics = metrics

    def term_began(self, term: int) -> None:
        """Tell that this process decides now."""
        self._log.info(
            LogEvent.TERM_BEGAN,
            term=term,
            jobs=len(self._store.jobs),
            version=self._store.manifest.version,
        )

    def load(self, term: int, figures: LoadFigures) -> None:
        """Tell how long the cycles of some seconds took."""
        self._log.info(
            LogEvent.TERM_LOAD,
            term=term,
            cycles=figures.cycles,
            heartbeats=figures.heartbeats,
            half_ms=figures.half_ms,
            p99_ms=figures.p99_ms,
            most_ms=figures.most_ms,
        )

    def cycle_failed(self, term: int, reason: str, heartbeats: int) -> None:
        """Tell that a quorum did not confirm what a cycle decided."""
        self._log.warning(
            LogEvent.CALL_FAILED,
            reason=reason,
            term=term,
            heartbeats=heartbeats,
        )

    def joined(self, report: WorkerReport) -> None:
        """Tell of the first heartbeat of a worker's incarnation."""
        self._log.info(
            LogEvent.WORKER_JOINED,
            worker=report.worker,
            vm=report.vm,
            service=report.service,
            address=report.address,
            zone=report.zone,
            rack=report.rack,
            labels=report.labels,
            sequence=report.sequence,
            running=len(report.running),
        )

    def late(self, report: WorkerReport, is_over: bool) -> None:
        """Tell of a heartbeat that was overtaken, or of a dead incarnation."""
        reason = 'incarnation-over' if is_over else 'overtaken'
        self._metrics.count('heartbeats_late', reason)
        self._log.info(
            LogEvent.HEARTBEAT_LATE,
            worker=report.worker,
            vm=report.vm,
            sequence=report.sequence,
            reason=reason,
        )

    def foreign(self, report: WorkerReport) -> None:
        """Tell of a heartbeat that no worker of the manifest sent."""
        self._metrics.count('heartbeats_foreign')
        self._log.info(
            LogEvent.HEARTBEAT_FOREIGN,
            worker=report.worker,
            vm=report.vm,
            service=report.service,
        )

    def stopped_stalled(self, heard: Heard) -> None:
        """Tell of runs that are stopped as they make no progress."""
        self._log.info(
            LogEvent.RUNS_STOPPED,
            reason='no progress',
            worker=heard.incarnation.report.worker,
            runs=[f'{task.job_id}/{run}' for task, run in heard.stalled],
        )

    def notes(self, notes: Iterable[Note]) -> None:
        """Tell of changed beliefs."""
        for note in notes:
            self._metrics.count('beliefs', note.event.name.lower())
            self._log.info(
                note.event,
                subject=note.subject,
                reason=note.reason,
            )

    def reassigned(self, lost: tuple[RunEnded, ...]) -> None:
        """Tell of runs whose workers are over."""
        if lost:
            self._log.info(
                LogEvent.RUNS_REASSIGNED,
                workers=sorted({run.worker for run in lost}),
                runs=len(lost),
            )

    def run_ended(self, ended: RunEnded) -> None:
        """Count an end, and tell of one that is not a good one."""
        self._metrics.count('runs_ended', ended.end.name.lower())
        if ended.end is RunEnd.DONE:
            return
        job = self._store.job_of(ended.task)
        task = job.task(ended.task) if job else None
        self._log.info(
            LogEvent.RUN_ENDED,
            run=_run_name(ended),
            how=ended.end.name.lower(),
            failures=task.failures if task else 0,
            is_saved=bool(ended.checkpoint),
        )

    def run_crashed(self, crashed: RunCrashed) -> None:
        """Count a run whose worker crashed, and tell what that proves."""
        evidence = crashed.evidence.name.lower()
        self._metrics.count('runs_crashed', evidence)
        if crashed.evidence is CrashEvidence.UNSETTLED:
            # Its end is told of at the same time.
            return
        task = self._store.task_of(crashed.task)
        self._log.info(
            LogEvent.RUN_CRASHED,
            run=run_name((crashed.task, crashed.run)),
            evidence=evidence,
            crashes=len(task.crashes) if task else 0,
        )

    def job_ended(self, job: JobRecord, took_s: float) -> None:
        """Tell how a job ended, and by when it should have."""
        self._metrics.observe_s('accepted_to_end', took_s)
        self._log.info(
            LogEvent.JOB_ENDED,
            job=job.spec.job_id,
            queue=job.queue.name,
            phase=job.phase.name.lower(),
            took_s=round(took_s, 3),
            objective_s=round(objective_of(job), 3),
        )

    def runs_ordered(self, starts: tuple[RunStarted, ...]) -> None:
        """Tell of runs that are recorded and about to be ordered."""
        self._metrics.count('runs_ordered', amount=len(starts))
        self._log.info(
            LogEvent.RUNS_ORDERED,
            runs=[_run_name(start) for start in starts],
        )


def _run_name(run: RunStarted | RunEnded) -> str:
    """Return TASK/RUN@WORKER."""
    return f'{run_name((run.task, run.run))}@{run.worker}'
