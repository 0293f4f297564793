"""Log lines and metrics of the leader's decisions and beliefs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from wigeonreach.core._cycle_stats import CycleFigures
from wigeonreach.jobs import (
    CrashEvidence,
    JobRecord,
    JobStore,
    RunCrashed,
    RunEnd,
    RunEnded,
    RunStarted,
    TaskCrash,
    run_name,
)
from wigeonreach.observe import LogEvent, Logger, Metrics
from wigeonreach.scheduling import HeartbeatResult
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._objectives import objective_s
from wigeonreach.scheduling.shortage import FleetFigures
from wigeonreach.wire._worker_messages import WorkerReport


class TermLog:
    """Logs and counts each decision about a job, a run or a worker.

    Parameters
    ----------
    store
        The replicated state; only read here.
    logger, metrics
        Log and count the decisions.
    """

    def __init__(
        self,
        store: JobStore,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Prepare; nothing is logged yet."""
        self._store = store
        self._log = logger
        self._metrics = metrics

    def term_began(self, term: int) -> None:
        """Log that this process has begun its term as the leader."""
        self._log.info(
            LogEvent.TERM_BEGAN,
            term=term,
            jobs=len(self._store.jobs),
            version=self._store.manifest.version,
        )

    def cycle_stats(self, term: int, figures: CycleFigures) -> None:
        """Log the duration statistics of recent cycles."""
        self._log.info(
            LogEvent.TERM_LOAD,
            term=term,
            cycles=figures.cycles,
            heartbeats=figures.heartbeats,
            half_ms=figures.median_ms,
            p99_ms=figures.p99_ms,
            most_ms=figures.max_ms,
        )

    def cycle_failed(self, term: int, reason: str, heartbeats: int) -> None:
        """Log that a quorum did not confirm the decisions of a cycle."""
        self._log.warning(
            LogEvent.CALL_FAILED,
            reason=reason,
            term=term,
            heartbeats=heartbeats,
        )

    def worker_joined(self, report: WorkerReport) -> None:
        """Log the first heartbeat of an incarnation that was not tracked."""
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

    def heartbeat_late(self, report: WorkerReport, has_ended: bool) -> None:
        """Log a heartbeat that is out of order or of a dead incarnation."""
        reason = 'incarnation-over' if has_ended else 'overtaken'
        self._metrics.count('heartbeats_late', reason)
        self._log.info(
            LogEvent.HEARTBEAT_LATE,
            worker=report.worker,
            vm=report.vm,
            sequence=report.sequence,
            reason=reason,
        )

    def heartbeat_foreign(self, report: WorkerReport) -> None:
        """Log a heartbeat for a service that the manifest does not name."""
        self._metrics.count('heartbeats_foreign')
        self._log.info(
            LogEvent.HEARTBEAT_FOREIGN,
            worker=report.worker,
            vm=report.vm,
            service=report.service,
        )

    def runs_stopped(self, result: HeartbeatResult) -> None:
        """Log runs that are stopped because they make no progress."""
        self._log.info(
            LogEvent.RUNS_STOPPED,
            reason='no progress',
            worker=result.incarnation.report.worker,
            runs=[f'{task.job_id}/{run}' for task, run in result.stalled],
        )

    def beliefs_changed(self, notes: Iterable[LogNote]) -> None:
        """Log and count changed beliefs."""
        for note in notes:
            self._metrics.count('beliefs', note.event.name.lower())
            if note.event is LogEvent.JOB_PUT_BACK:
                self._count_workspace('workspace_jobs_put_back', note.subject)
            self._log.info(
                note.event,
                subject=note.subject,
                reason=note.reason,
            )

    def runs_reassigned(self, lost: tuple[RunEnded, ...]) -> None:
        """Log runs that are reassigned because their workers are lost."""
        if lost:
            self._log.info(
                LogEvent.RUNS_REASSIGNED,
                workers=sorted({run.worker for run in lost}),
                runs=len(lost),
            )

    def run_ended(self, ended: RunEnded) -> None:
        """Count the end of a run, and log it unless the run is done."""
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
        """Count and log the evidence on a run whose worker was lost."""
        evidence = crashed.evidence.name.lower()
        self._metrics.count('runs_crashed', evidence)
        if crashed.evidence is CrashEvidence.UNSETTLED:
            # ``run_ended`` logs the run as lost at the same time.
            return
        task = self._store.task_of(crashed.task)
        self._log.info(
            LogEvent.RUN_CRASHED,
            run=run_name((crashed.task, crashed.run)),
            evidence=evidence,
            is_at_start=crashed.is_at_start,
            crashes=len(task.crashes) if task else 0,
        )

    def job_ended(self, job: JobRecord, took_s: float) -> None:
        """Log how a job ended, its duration and its time objective."""
        self._metrics.observe_s('accepted_to_end', took_s)
        self._log.info(
            LogEvent.JOB_ENDED,
            job=job.spec.job_id,
            queue=job.queue.name,
            phase=job.phase.name.lower(),
            took_s=round(took_s, 3),
            objective_s=round(objective_s(job), 3),
        )

    def runs_ordered(
        self,
        starts: tuple[RunStarted, ...],
        places: Mapping[str, int],
    ) -> None:
        """Log starts after their commit, including any that it rejected.

        Parameters
        ----------
        starts
            The starts.
        places
            How many batch starts were in the home zone of their job, or away.
        """
        for place, count in places.items():
            self._metrics.count('batch_starts', place, count)
        self._metrics.count('runs_ordered', amount=len(starts))
        for start in starts:
            self._count_workspace('workspace_runs_ordered', start.task.job_id)
        self._log.info(
            LogEvent.RUNS_ORDERED,
            runs=[_run_name(start) for start in starts],
        )
        for suspect in starts:
            self._log_suspect(suspect)

    def pools_planned(self, figures: FleetFigures | None) -> None:
        """Set the gauges of the VMs that there are and that work needs."""
        if figures is None:
            return
        self._metrics.gauge('fleet_vms', figures.vms)
        self._metrics.gauge('fleet_vms_needed', figures.needed_vms)
        self._metrics.gauge(
            'fleet_vms_needed_in_time', figures.needed_in_time_vms
        )
        self._metrics.gauge('fleet_late_jobs', figures.late_jobs)

    def _log_suspect(self, start: RunStarted) -> None:
        """Log the start of a task under which workers crashed."""
        task = self._store.task_of(start.task)
        if task is None or not task.crashes:
            return
        self._metrics.count('suspect_starts')
        self._log.info(
            LogEvent.SUSPECT_ORDERED,
            run=_run_name(start),
            crashes=[_crash_name(crash) for crash in task.crashes],
        )

    def _count_workspace(self, name: str, job_id: str) -> None:
        """Count for the workspace of a job, if it has one."""
        job = self._store.jobs.get(job_id)
        if job is not None and job.workspace:
            self._metrics.count(name, job.workspace)


def _crash_name(crash: TaskCrash) -> str:
    """Return RUN:EVIDENCE, with ``-start`` if the run was never listed."""
    suffix = '-start' if crash.is_at_start else ''
    return f'{crash.run}:{crash.evidence.name.lower()}{suffix}'


def _run_name(run: RunStarted | RunEnded) -> str:
    """Return TASK/RUN@WORKER."""
    return f'{run_name((run.task, run.run))}@{run.worker}'
