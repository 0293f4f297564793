"""Decide, for the leader of one term, which task runs on which worker."""

from __future__ import annotations

import collections
from collections.abc import Collection

from wigeonreach.jobs import (
    JobStore,
    Run,
    RunCrashed,
    RunEnded,
    RunStarted,
)
from wigeonreach.observe import LogEvent
from wigeonreach.scheduling._answers import HeartbeatAnswers
from wigeonreach.scheduling._disruption_budget import DisruptionBudget
from wigeonreach.scheduling._ends import RunEnds
from wigeonreach.scheduling._foreign import is_foreign
from wigeonreach.scheduling._incarnation import (
    HeartbeatResult,
    Incarnation,
    resources_of,
)
from wigeonreach.scheduling._lost_runs import LostRuns
from wigeonreach.scheduling._maintenance import Maintenance
from wigeonreach.scheduling._notes import LogNote
from wigeonreach.scheduling._pacing import Pacing
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._ready import ReadyStep, ReadySteps
from wigeonreach.scheduling._settings import SchedulingSettings
from wigeonreach.scheduling._stops import RunStops
from wigeonreach.scheduling._workers import Workers
from wigeonreach.scheduling.placing import (
    AvailableCapacity,
    AvailableWorkers,
    AvoidedWorkers,
    CapacityByService,
    HomeZones,
    Plan,
    TermTrackers,
    TicketCache,
)
from wigeonreach.scheduling.pooling import (
    Move,
    PoolPlanner,
    ServingNeed,
)
from wigeonreach.scheduling.sharing import CapTracker
from wigeonreach.scheduling.shortage import Shortage
from wigeonreach.wire._worker_messages import WorkerReport

_DEFAULTS = SchedulingSettings()


class Scheduler:
    """The scheduling decisions and unreplicated state of one leader.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    term
        Term of this leader.
    now_s
        When the term began, on a clock that also counts suspended time.
    settings
        Properties of the platform.
    wall_ms
        Time of day when the term began, from which the age of older jobs is
        derived.

    Attributes
    ----------
    answers
        Builds the answers to heartbeats.
    notes
        Notes that are not logged yet.
    """

    def __init__(
        self,
        store: JobStore,
        term: int,
        now_s: float,
        settings: SchedulingSettings = _DEFAULTS,
        wall_ms: float = 0,
    ) -> None:
        """Start without any worker."""
        self.term = term
        self.workers = Workers(now_s)
        self.pacing = Pacing()
        self.progress = ProgressTracker()
        self.advice = TicketCache()
        self.notes: list[LogNote] = []
        self.disruption_budget = DisruptionBudget(
            store,
            self.workers.incarnations,
            self.progress,
            settings,
        )
        self.maintenance = Maintenance(
            store,
            self.workers,
            self.disruption_budget,
            settings.maintenance_s,
        )
        self.pools = PoolPlanner(store, self.workers, settings, now_s)
        self.stopping: set[Run] = set()
        self._stops = RunStops(
            store,
            self.pacing,
            self.progress,
            self.disruption_budget,
            self.stopping,
            self.notes,
        )
        self.quarantine = self._stops.quarantine
        self._ends = RunEnds(store, self.advice, self.stopping, self.notes)
        self.answers = HeartbeatAnswers(
            self._ends.checks,
            term,
            self.pacing,
            self.disruption_budget,
            self.stopping,
            self.notes,
        )
        self.ready = ReadySteps()
        self.cap_tracker = CapTracker(store)
        self.shortage = Shortage(store, settings.shares_shortage)
        self._lost_runs = LostRuns(store, self.workers, self.progress, now_s)
        self.crashes = self._lost_runs.crashes
        self._placing = TermTrackers(
            self.advice,
            HomeZones(
                store, self.workers.incarnations, settings.keeps_jobs_in_zones
            ),
            AvoidedWorkers(store),
        )
        self._available = AvailableWorkers(
            store,
            self.workers,
            self.progress,
            self.pacing,
            self.quarantine,
            self.crashes,
            now_s,
        )
        # Number of VMs that unplaced serving tasks would fill, by service and
        # label.
        self._unplaced_vms: dict[str, dict[str, float]] = {}
        self._store = store
        store.changed_jobs.update(store.jobs)
        self.ready.refresh(store, now_s, wall_ms)

    def process_heartbeat(
        self,
        report: WorkerReport,
        now_s: float,
    ) -> HeartbeatResult | None:
        """Apply a heartbeat; return None if it is outdated or foreign."""
        if self.is_foreign(report):
            return None
        known = self.workers.incarnations.get(report.worker)
        before = known.report if known else None
        incarnation = self.workers.process_heartbeat(report, now_s)
        if incarnation is None:
            return None
        if before is not None and before.sequence == report.sequence:
            # The repeat is already applied, but its ends may not be recorded.
            return HeartbeatResult(
                incarnation, tuple(self._ends.reported(incarnation))
            )
        self._available.forget(report.worker)
        self.crashes.note_heard(incarnation)
        self.cap_tracker.untracked_runs.on_heartbeat(incarnation)
        self._note_report_changes(incarnation, before, now_s)
        self._note_unbegun_starts(incarnation, now_s)
        paced = self.pacing.on_heartbeat(incarnation, self._store)
        self._add_note(LogEvent.WORKER_PACED, incarnation, paced)
        ends = (
            *self._ends.reported(incarnation),
            *self._ends.withdrawn(incarnation),
        )
        for ended in ends:
            self._stops.note_end(ended, now_s)
            self.answers.forget_run((ended.task, ended.run))
        stalled = self._stops.stop_stalled(incarnation, now_s)
        if report.is_draining:
            self._stop_serving_runs(incarnation, now_s)
        return HeartbeatResult(incarnation, ends, stalled)

    def _note_report_changes(
        self,
        incarnation: Incarnation,
        before: WorkerReport | None,
        now_s: float,
    ) -> None:
        """Add notes for changes that a worker reports of itself."""
        report = incarnation.report
        if before is None and incarnation.first_heard_s < now_s:
            returned = 'heard again after its lease expired'
            self._add_note(LogEvent.WORKER_RETURNED, incarnation, returned)
        if report.is_draining and not (before and before.is_draining):
            left = f'has {report.drain_left_ms} ms left'
            self._add_note(LogEvent.WORKER_DRAINING, incarnation, left)
        if before is not None and resources_of(before) != incarnation.resources:
            has = f'has {incarnation.resources}, had {resources_of(before)}'
            self._add_note(LogEvent.WORKER_RESIZED, incarnation, has)

    def _note_unbegun_starts(
        self, incarnation: Incarnation, now_s: float
    ) -> None:
        """Let the lease of a worker expire that begins no starts."""
        if incarnation.withheld_s is not None:
            return
        unbegun = incarnation.unbegun
        unbegun.note_heartbeat(
            incarnation.report,
            incarnation.ordered_starts,
            incarnation.answered_s,
            incarnation.sent_s,
        )
        if unbegun.is_limit_reached(now_s):
            worker = incarnation.report.worker
            self.workers.withhold_lease(worker, now_s)
            ignored = (
                f'{unbegun.ignored} answers with starts in'
                f' {now_s - unbegun.since_s:.2f} s'
            )
            self._add_note(LogEvent.STARTS_IGNORED, incarnation, ignored)

    def is_foreign(self, report: WorkerReport) -> bool:
        """Whether a heartbeat can't be attributed to a worker of this fleet."""
        return is_foreign(report, self.workers, self._store)

    def take_lost_runs(self, now_s: float) -> tuple[RunEnded, ...]:
        """Return the runs of lost workers, which are to be reassigned."""
        ended = self.workers.ended(now_s)
        lost = self._lost_runs.of_ended_workers(ended, now_s)
        for worker, ending in ended.items():
            note = LogNote(LogEvent.WORKER_ENDED, worker, ending.reason)
            self.notes.append(note)
            self.pacing.forget(worker)
            self.quarantine.forget(worker)
            self._available.forget(worker)
            self.cap_tracker.untracked_runs.forget(worker)
            self.progress.forget(worker, self._store.runs_of(worker))
        self._drop_ended_stops()
        for run_lost in lost:
            self._stops.stop_gang(run_lost.task)
            self.answers.forget_run((run_lost.task, run_lost.run))
        doubled = self._lost_runs.to_be_copied(now_s)
        for run_doubled in doubled:
            self.progress.forget_run((run_doubled.task, run_doubled.run))
            self.cap_tracker.untracked_runs.add(
                run_doubled.worker, run_doubled.task
            )
        return (*lost, *doubled)

    def crashes_to_record(self, now_s: float) -> tuple[RunCrashed, ...]:
        """Return the crashes to record; they repeat until they are recorded."""
        found = self.crashes.unrecorded(now_s)
        self.notes.extend(self.crashes.notes)
        self.crashes.notes.clear()
        return found

    def plan(self, now_s: float, wall_ms: float) -> tuple[RunStarted, ...]:
        """Return the runs to start now."""
        steps = self._steps_due(now_s, wall_ms)
        self._unplaced_vms = {}
        if not steps:
            return ()
        needed = {self._store.service_of(step.job) for step in steps}
        available = self._available_capacity(now_s, needed)
        near = self.pools.data_locality(now_s)
        suspects = self.crashes.suspects(now_s)
        cap_plan = self.cap_tracker.begin_plan()
        self.notes.extend(self._placing.homes.begin_plan(now_s))
        self._placing.avoided.begin_plan(available, now_s)
        plan = Plan(
            self._store,
            available.accepting,
            self._placing,
            near,
            suspects,
            cap_plan,
            now_s,
        )
        plan.place(steps)
        self.notes.extend(self.advice.notes)
        self.advice.notes.clear()
        self.notes.extend(self.cap_tracker.note_plan(cap_plan))
        made = plan.preempt(self.stopping, self.pools.vms.vm_resources)
        self.stopping.update(made.stops)
        self._unplaced_vms = made.unmet_vms
        for start in plan.starts:
            # The cached capacity already lacks the resources of this start, which
            # may never be recorded.
            self._available.forget(start.worker)
            self.workers.incarnations[start.worker].unlisted_starts.add(
                (start.task, start.run),
            )
        self.workers.note_starting({start.worker for start in plan.starts})
        return tuple(plan.starts)

    def discard_plan(self) -> None:
        """Drop what a failed plan has changed, so that the next starts afresh."""
        self._available.forget_all()
        self.notes.extend(self.ready.notes)
        self.ready.notes.clear()

    def take_start_places(self) -> collections.Counter[str]:
        """Return how many batch starts were in their job's home zone or away.

        Starts are counted since the last call.
        """
        return self._placing.homes.take_starts()

    def _steps_due(self, now_s: float, wall_ms: float) -> list[ReadyStep]:
        """Return the steps that may start, in the order of placement."""
        # Earlier starts are recorded by now, or never will be.
        self.workers.note_starting(())
        accepted = self.ready.refresh(self._store, now_s, wall_ms)
        for work in accepted:
            self.pools.note_accepted(work, now_s)
        self._stops.stop_stragglers(self.workers.incarnations, now_s)
        steps = self.ready.by_priority(
            now_s,
            wall_ms,
            self.workers.processors(now_s),
            self.cap_tracker.processors(),
            self.shortage.weights(),
        )
        self.notes.extend(self.ready.notes)
        self.ready.notes.clear()
        return steps

    def plan_moves(
        self,
        now_s: float,
        held: Collection[str] = (),
    ) -> list[Move]:
        """Return the VMs to move to another pool now.

        Parameters
        ----------
        now_s
            Clock in seconds.
        held
            VMs that may not be ordered yet.
        """
        work = self.shortage.split(
            self.ready.pending_work(now_s),
            self.pools.capacity(now_s),
            now_s,
        )
        plan = self.pools.plan_moves(
            self.cap_tracker.limit_work(work),
            ServingNeed(self.ready.serving_workers(), self._unplaced_vms),
            self.maintenance.cordoned.union(held),
            now_s,
        )
        self.stopping.update(plan.stops)
        self.shortage.note_figures(plan.figures, now_s)
        self.notes.extend(self.shortage.take_notes())
        return plan.moves

    def _drop_ended_stops(self) -> None:
        if not self.stopping:
            return
        held = {
            run
            for assigned in self._store.assigned_runs.values()
            for run in assigned.items()
        }
        self.stopping &= held
        self.disruption_budget.retain_only(held)

    def _stop_serving_runs(
        self, incarnation: Incarnation, now_s: float
    ) -> None:
        """Stop the serving runs of a draining worker, within their limits."""
        self.stopping.update(
            self.disruption_budget.stoppable_now(
                incarnation, self.stopping, now_s
            ),
        )

    def _add_note(
        self, event: LogEvent, incarnation: Incarnation, reason: str
    ) -> None:
        if reason:
            self.notes.append(LogNote(event, incarnation.report.worker, reason))

    def available_workers(
        self,
        now_s: float,
        services: Collection[str],
    ) -> CapacityByService:
        """Return the free resources on each worker of some services.

        Workers that accept no work now are left out, and quarantined ones.
        """
        return self._available_capacity(now_s, services).accepting

    def _available_capacity(
        self,
        now_s: float,
        services: Collection[str],
    ) -> AvailableCapacity:
        cordoned = self.maintenance.cordoned | self.pools.cordoned
        return self._available.by_service(
            services, cordoned, self.stopping, now_s
        )
