"""Detect the runs that crash their workers.

Some tasks crash every worker that starts them.  Such a worker falls silent just
like one with a network or power failure, so a task that is simply restarted
elsewhere takes down one worker after another, with all that runs beside it.

The loss of a worker is recorded as unsettled at once.  It counts against the
worker's runs only if a new worker appears on the VM afterwards (a partitioned
worker returns as the same incarnation), if no order for the VM explains it, and
if the rack or zone did not fail with it.  A start that the worker never listed
counts as uncertain evidence even if one of these conditions fails, unless the
same incarnation returns.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Collection, Iterable, Iterator

from wigeonreach.jobs import (
    CrashEvidence,
    JobStore,
    Run,
    RunCrashed,
    TaskKey,
    TaskRecord,
)
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._evidence import LostRun, evidence_of, weakened
from wigeonreach.scheduling._incarnation import LEASE_MS, Incarnation
from wigeonreach.scheduling._losses import (
    SETTLE_WITHIN_S,
    LossCorrelation,
    WorkerLoss,
)
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._suspects import (
    CRASHES_BEFORE_ISOLATION,
    LOSS_RETENTION_S,
    Suspects,
)
from wigeonreach.scheduling._vm_order_times import VmOrderTimes
from wigeonreach.scheduling._workers import Workers

_MS_PER_S = 1000
_NEVER_S = float('-inf')
# A task that lost so many workers may be the cause although each loss has another
# explanation: racks and zones fail seldom.
_EXCUSED_LOSSES = 2
# How long an unexplained loss counts against a task.  If it did not count, a
# task whose workers return late would be started too often in the meantime.
_UNEXPLAINED_COUNTS_S = 15.0
# Running workers that are not cut off are heard within this time after a term
# begins.
_FIRST_HEARTBEATS_S = 1.5
# Workers count as failing by themselves for this long after one was given up; a
# little longer than a lease.
_CALM_AFTER_S = 5.0
# A VM that lost its worker within this time may itself be the cause.
_RECENT_CRASH_S = 20.0


class CrashTracker:
    """Tracks the workers lost in a term, and the evidence against their runs.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations heard in this term.
    progress
        Tells how long runs have been listed.
    now_s
        When the term began.

    Attributes
    ----------
    notes
        Conclusions that are not logged yet.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        progress: ProgressTracker,
        now_s: float,
    ) -> None:
        """Start without losses."""
        self.notes: list[LogNote] = []
        self._store = store
        self._workers = workers
        self._progress = progress
        # By worker: losses without an explanation so far, and all recent ones.
        self._unexplained: dict[str, WorkerLoss] = {}
        self._recent_losses: dict[str, WorkerLoss] = {}
        self._unrecorded: dict[Run, RunCrashed] = {}
        # When each task was lost last; earlier losses precede the term.
        self._task_lost_s: dict[TaskKey, float] = {}
        self._began_s = now_s
        # When each VM last lost a worker, and when it last lost one on which no
        # run had just begun.
        self._vm_crashed_s: dict[str, float] = {}
        self._vm_unprovoked_s: dict[str, float] = {}
        # When the newest worker of each VM was first heard, and its name.
        self._newest_worker: dict[str, tuple[float, str]] = {}
        self._orders = VmOrderTimes(
            store.vm_orders, now_s + _FIRST_HEARTBEATS_S
        )
        # Losses of which former leaders had not found the cause.
        self._inherited_losses = tuple(_unsettled_losses(store))

    def note_heard(self, incarnation: Incarnation) -> None:
        """Record a heartbeat; several clear an earlier loss of its worker.

        A single one may have been underway when the worker went down.
        """
        report = incarnation.report
        returned = self._unexplained.get(report.worker)
        if returned is not None and returned.is_disproved(incarnation.heard_s):
            self._unexplained.pop(report.worker)
            self._recent_losses.pop(report.worker, None)
            self._mark_returned(returned)
        newest = (incarnation.first_heard_s, report.worker)
        vm = report.vm_or_address
        if newest > self._newest_worker.get(vm, (0.0, '')):
            self._newest_worker[vm] = newest

    def note_vm_ordered(self, vm: str, worker: str, now_s: float) -> None:
        """Record that an order is about to end a VM's worker.

        The order may explain the loss of this worker only or, if none is
        known, the loss of any worker on the VM.

        Parameters
        ----------
        vm
            The VM.
        worker
            The incarnation on it; empty if none is known.
        now_s
            Clock in seconds.
        """
        self._orders.note(worker or vm, now_s)

    def note_lost(
        self,
        incarnation: Incarnation,
        runs: Iterable[Run],
        now_s: float,
    ) -> Collection[Run]:
        """Record that runs are given up as their worker is silent or ended.

        Parameters
        ----------
        incarnation
            The worker.
        runs
            The runs that are given up.
        now_s
            Clock in seconds.

        Returns
        -------
        Collection of Run
            Those of the runs that may have begun.
        """
        worker = incarnation.report.worker
        loss = self._unexplained.get(worker) or _worker_loss(incarnation, now_s)
        self._add_runs(loss, incarnation, runs)
        self._task_lost_s.update(
            dict.fromkeys((key for key, _ in loss.runs), now_s)
        )
        if incarnation.is_ending or self._orders.may_have_ended(incarnation):
            self._mark_starts_uncertain(loss)
            return loss.runs.keys()
        self._mark_unsettled(loss)
        self._recent_losses[worker] = loss
        return loss.runs.keys()

    def note_unheard(self, worker: str, now_s: float) -> None:
        """Record a worker with runs of earlier terms, not heard in this one."""
        held = self._store.runs_of(worker)
        tasks = [self._store.task_of(key) for key in held]
        vm = next((task.vm for task in tasks if task is not None), '')
        if not vm or worker in self._unexplained:
            return
        loss = WorkerLoss(worker, vm, _NEVER_S, now_s)
        loss.runs.update(
            dict.fromkeys(held.items(), CrashEvidence.UNCERTAIN),
        )
        # This leader does not know whether the worker listed them.
        loss.at_start.update(held.items())
        self._task_lost_s.update(dict.fromkeys(held, now_s))
        if self._orders.is_inherited(worker, vm):
            self._mark_starts_uncertain(loss)
        else:
            self._mark_unsettled(loss)

    def unrecorded(self, now_s: float) -> tuple[RunCrashed, ...]:
        """Return the crashes to record; they repeat until they are recorded."""
        if now_s - self._began_s >= _FIRST_HEARTBEATS_S:
            self._settle_inherited()
        replaced = [
            loss
            for loss in self._unexplained.values()
            if self._is_replaced(loss)
        ]
        if replaced:
            correlation = LossCorrelation(
                (*self._recent_losses.values(), *self._silent_workers(now_s)),
                self._workers.incarnations.values(),
            )
            for settled in replaced:
                self._unexplained.pop(settled.worker)
                self._settle(settled, correlation, now_s)
        for waiting in tuple(self._unexplained.values()):
            if now_s - waiting.given_up_s > SETTLE_WITHIN_S:
                self._unexplained.pop(waiting.worker)
                self._mark_crashed(waiting, CrashEvidence.UNCERTAIN)
        if self._recent_losses:
            self._recent_losses = {
                worker: recent
                for worker, recent in self._recent_losses.items()
                if now_s - recent.given_up_s <= SETTLE_WITHIN_S
            }
        return tuple(self._unrecorded.values())

    def note_recorded(self, crashes: Iterable[RunCrashed]) -> None:
        """Drop crashes that have been committed."""
        for crashed in crashes:
            self._unrecorded.pop((crashed.task, crashed.run), None)

    def has_crashed_recently(self, vm: str, now_s: float) -> bool:
        """Whether a VM recently lost a worker by its own fault or by a run."""
        return now_s - self._vm_crashed_s.get(vm, _NEVER_S) < _RECENT_CRASH_S

    def suspects(self, now_s: float) -> Suspects:
        """Return the tasks that may crash their workers."""
        unexplained = collections.Counter[TaskKey]()
        for loss in self._unexplained.values():
            if now_s - loss.given_up_s < _UNEXPLAINED_COUNTS_S:
                unexplained.update(key for key, _ in loss.runs)
        self._task_lost_s = {
            key: lost_s
            for key, lost_s in self._task_lost_s.items()
            if now_s - lost_s < LOSS_RETENTION_S
        }
        return Suspects(
            unexplained,
            self._task_lost_s,
            self._began_s,
            now_s,
            self._calm_since_s(),
        )

    def _calm_since_s(self) -> float:
        """Return since when workers no longer count as failing by themselves.

        While they do, most losses look provoked, as tasks that were lost start
        again all the time.  Only a task that runs alone explains a loss.
        """
        return max(
            (
                loss.given_up_s + _CALM_AFTER_S
                for loss in self._recent_losses.values()
                if not loss.is_trial
            ),
            default=self._began_s,
        )

    def _mark_unsettled(self, loss: WorkerLoss) -> None:
        """Record a loss as unsettled for the runs that may have caused it.

        The record is all that a next leader knows of the loss.
        """
        self._unexplained[loss.worker] = loss
        for run, evidence in loss.runs.items():
            if evidence is not CrashEvidence.SOUND:
                record = loss.crash_record(run, CrashEvidence.UNSETTLED)
                self._unrecorded[run] = record

    def _mark_starts_uncertain(self, loss: WorkerLoss) -> None:
        """Record an explained loss as uncertain for the starts on the worker.

        A crashing task may start just when a rack fails, or on a VM that was
        to be ordered although the order was never carried out.
        """
        for run in loss.at_start:
            self._unrecorded[run] = loss.crash_record(
                run, CrashEvidence.UNCERTAIN
            )

    def _mark_explained(self, loss: WorkerLoss) -> None:
        """Record that a loss is no evidence against any of its runs."""
        for run in loss.runs:
            self._unrecorded[run] = loss.crash_record(
                run, CrashEvidence.EXPLAINED
            )

    def _mark_crashed(
        self,
        loss: WorkerLoss,
        max_evidence: CrashEvidence,
    ) -> None:
        """Record what a crash proves against each of the worker's runs."""
        for run, evidence in loss.runs.items():
            self._unrecorded[run] = loss.crash_record(
                run, weakened(evidence, max_evidence)
            )

    def _mark_returned(self, loss: WorkerLoss) -> None:
        """Record that a worker was heard again, so that it never crashed."""
        for run in loss.runs:
            self._unrecorded[run] = RunCrashed(
                *run, CrashEvidence.EXPLAINED, has_returned=True
            )

    def _add_runs(
        self,
        loss: WorkerLoss,
        incarnation: Incarnation,
        runs: Iterable[Run],
    ) -> None:
        """Add the runs of a lost worker, and the evidence of its crash."""
        causes = self._possible_causes(incarnation)
        evidence = evidence_of(causes)
        for run in runs:
            lost = causes.get(run)
            if lost is None:
                continue
            loss.is_provoked |= lost.may_be_cause
            loss.is_trial |= lost.crashes >= CRASHES_BEFORE_ISOLATION
            loss.runs[run] = evidence[run]
            if lost.is_at_start:
                loss.at_start.add(run)

    def _possible_causes(self, incarnation: Incarnation) -> dict[Run, LostRun]:
        """Return the runs of a worker that may have crashed it.

        A run that the worker was never ordered to start is left out.  A former
        leader may have sent the order.
        """
        listed = {(row.task, row.run) for row in incarnation.running}
        held = self._store.runs_of(incarnation.report.worker).items()
        begun = incarnation.ordered_starts.union(
            run for run in held if not incarnation.has_not_begun(run)
        )
        return {
            run: self._lost_run(run, incarnation.heard_s, run in listed)
            for run in listed.union(begun.intersection(held))
        }

    def _lost_run(self, run: Run, heard_s: float, is_listed: bool) -> LostRun:
        key, _ = run
        task = self._store.task_of(key)
        return LostRun(
            key.job_id,
            self._progress.reported_for_s(run, heard_s),
            is_at_start=not is_listed,
            crashes=_suspicions(task) if task else 0,
        )

    def _is_replaced(self, loss: WorkerLoss) -> bool:
        """Whether another worker appeared on the VM after the loss."""
        joined_s, worker = self._newest_worker.get(loss.vm, (0.0, loss.worker))
        return worker != loss.worker and joined_s > loss.heard_s

    def _max_evidence(
        self,
        loss: WorkerLoss,
        now_s: float,
    ) -> CrashEvidence:
        """Return the upper limit of the evidence that a crash provides."""
        joined_s, _ = self._newest_worker[loss.vm]
        if joined_s - loss.heard_s >= LEASE_MS / _MS_PER_S:
            # A partition may have lasted longer than the lease and ended the
            # runs before the worker went down.
            return CrashEvidence.UNCERTAIN
        if loss.is_coincident:
            return CrashEvidence.UNCERTAIN
        if (
            now_s - self._vm_unprovoked_s.get(loss.vm, _NEVER_S)
            < _RECENT_CRASH_S
        ):
            # The VM recently crashed unprovoked, so it may be the cause.
            return CrashEvidence.BESIDE_OTHERS
        return CrashEvidence.ALONE

    def _settle(
        self,
        loss: WorkerLoss,
        correlation: LossCorrelation,
        now_s: float,
    ) -> None:
        """Record a loss as evidence against its runs unless it is explained."""
        domain = correlation.failed_domain(loss)
        if domain is not None and domain.is_conclusive:
            self._add_note(loss, f'{domain.name} failed with it')
            self._mark_explained(loss)
            self._mark_starts_uncertain(loss)
            return
        joined_s, _ = self._newest_worker[loss.vm]
        if loss.heard_s < self._orders.last_s(loss.worker, loss.vm) < joined_s:
            # The platform was told to move or maintain the VM.
            self._add_note(loss, 'its VM was ordered while it was silent')
            self._mark_explained(loss)
            self._mark_starts_uncertain(loss)
            return
        loss.is_coincident = (
            domain is not None or correlation.coincides_with_unprovoked(loss)
        )
        max_evidence = self._max_evidence(loss, now_s)
        self._vm_crashed_s[loss.vm] = now_s
        if not loss.is_provoked:
            self._vm_unprovoked_s[loss.vm] = now_s
        self._mark_crashed(loss, max_evidence)
        self._add_note(loss, f'{len(loss.runs)} runs may be the cause')

    def _settle_inherited(self) -> None:
        """Settle the losses of former terms once all workers were heard.

        Of a task's newest run the worker is known, and may have returned.  For
        earlier ones nobody knows it any more, and nothing explains them.
        """
        for run, is_at_start in self._inherited_losses:
            key, number = run
            task = self._store.task_of(key)
            if task is None:
                continue
            has_returned = (
                task.run == number and task.worker in self._workers.incarnations
            )
            evidence = (
                CrashEvidence.EXPLAINED
                if has_returned
                else CrashEvidence.UNCERTAIN
            )
            self._unrecorded[run] = RunCrashed(
                *run, evidence, is_at_start, has_returned
            )
        self._inherited_losses = ()

    def _silent_workers(self, now_s: float) -> Iterator[WorkerLoss]:
        """Yield the losses of silent workers that are not given up yet."""
        for incarnation in self._workers.incarnations.values():
            if not incarnation.is_silent(now_s) or incarnation.is_ending:
                continue
            if not self._orders.may_have_ended(incarnation):
                loss = _worker_loss(incarnation, now_s)
                loss.is_provoked = any(
                    lost.may_be_cause
                    for lost in self._possible_causes(incarnation).values()
                )
                yield loss

    def _add_note(self, loss: WorkerLoss, reason: str) -> None:
        self.notes.append(LogNote(LogEvent.WORKER_CRASHED, loss.worker, reason))


def _suspicions(task: TaskRecord) -> int:
    """Return how many crashes, explained ones too, make a task a suspect."""
    losses = len(task.lost_runs)
    return max(task.crash_count, losses if losses >= _EXCUSED_LOSSES else 0)


def _unsettled_losses(store: JobStore) -> Iterator[tuple[Run, bool]]:
    """Yield the runs lost for an unknown cause, and whether at their start."""
    active = (job for job in store.jobs.values() if job.is_active)
    for key, task in itertools.chain.from_iterable(
        job.all_tasks() for job in active
    ):
        for crash in task.crashes:
            if crash.evidence is CrashEvidence.UNSETTLED:
                yield (key, crash.run), crash.is_at_start


def _worker_loss(incarnation: Incarnation, now_s: float) -> WorkerLoss:
    report = incarnation.report
    return WorkerLoss(
        report.worker,
        report.vm_or_address,
        incarnation.heard_s,
        now_s,
        report.service,
        report.zone,
        report.rack,
    )
