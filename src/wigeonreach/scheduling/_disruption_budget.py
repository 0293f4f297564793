"""Limit how many tasks of a serving step are unavailable at the same time.

Maintenance waves, drains, runs without progress and changes of leader may all
stop serving runs at the same moment.  Each stop is checked here twice, when it
is decided and whenever it is about to be sent to a worker, so that no two of
them rely on the same task.  A task that may be unavailable already counts as
unavailable.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Container, Iterable, Mapping, Set

from wigeonreach.jobs import (
    JobRecord,
    JobStore,
    Run,
    StepSpec,
    TaskKey,
    TaskPhase,
)
from wigeonreach.scheduling._incarnation import SILENT_AFTER_S, Incarnation
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._settings import SchedulingSettings

# Limit for steps that don't set one.
_DEFAULT_MAX_UNAVAILABLE = 1
_SERVING_PERCENT = 100
# A worker drops an answer that arrives later than 1 s after its heartbeat.
_ANSWER_TIMEOUT_S = 1.0
# The end of a stopped run is reported with the next heartbeat, 0.05 s later.
_END_REPORT_DELAY_S = 0.1
# Busy workers send heartbeats about this often, so reports are rarely younger.
_MIN_REPORT_AGE_S = 0.3
# A serving run that does not serve this long after it was first listed is taken
# never to serve, even on a worker that is several times slower than others.
_STARTUP_TIMEOUT_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopReview:
    """Stops that were decided but may not be sent now.

    Attributes
    ----------
    withheld
        Runs whose stop was sent before, so that they may have ended; the stop
        is not repeated now.
    retracted
        Runs whose stop was never sent, or did not reach the worker; they stay.
    """

    withheld: set[Run] = dataclasses.field(default_factory=set)
    retracted: set[Run] = dataclasses.field(default_factory=set)


def is_empty(incarnation: Incarnation, store: JobStore) -> bool:
    """Whether a worker certainly has no run, and none is about to start.

    While it is uncertain which incarnation on a VM is alive, another one may
    have runs that this one does not list.
    """
    held = store.runs_of(incarnation.report.worker)
    has_work = held or incarnation.running or incarnation.has_unrecorded_start
    return incarnation.is_proven_alive and not has_work


class DisruptionBudget:
    """Decides which serving runs may be stopped, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    incarnations
        The tracked workers, by name; the mapping is live.
    progress
        Tells how long runs have been listed.
    settings
        How long a stop takes, and when a task counts as unavailable.
    """

    def __init__(
        self,
        store: JobStore,
        incarnations: Mapping[str, Incarnation],
        progress: ProgressTracker,
        settings: SchedulingSettings,
    ) -> None:
        """Take over the runs that earlier leaders started or stopped."""
        self._store = store
        self._incarnations = incarnations
        self._progress = progress
        # How long a run may still be listed after its stop was sent.
        self._stop_settles_s = (
            _ANSWER_TIMEOUT_S + settings.stop_s + _END_REPORT_DELAY_S
        )
        # Greatest age of a heartbeat that shows a task as serving.  The task
        # may have failed right after the heartbeat.  A stop of another task
        # that relies on the heartbeat must arrive before the failed task counts
        # as unavailable.
        max_age_s = min(
            SILENT_AFTER_S, settings.unavailable_after_s - _ANSWER_TIMEOUT_S
        )
        self._max_report_age_s = max(max_age_s, _MIN_REPORT_AGE_S)
        # When the stop of each run was last put into an answer.
        self._stop_sent_s: dict[Run, float] = {}
        self._inherited_runs: frozenset[Run] = frozenset(
            run
            for assigned in store.assigned_runs.values()
            for run in assigned.items()
            if store.is_serving(run[0])
        )

    def stoppable_now(
        self,
        incarnation: Incarnation,
        stopping: Iterable[Run],
        now_s: float,
    ) -> list[Run]:
        """Return the serving runs that may be stopped on a worker now.

        At most one run of each step is returned, so that the unavailable tasks
        are counted again before the next.

        Parameters
        ----------
        incarnation
            The worker.
        stopping
            Runs that are being stopped already.
        now_s
            Clock in seconds.
        """
        if incarnation.is_silent(now_s):
            # Other tasks may become unavailable before it is heard again.
            return []
        being_stopped = frozenset(stopping)
        steps: set[tuple[str, int, int]] = set()
        chosen: list[Run] = []
        for run in self._store.runs_of(incarnation.report.worker).items():
            key, _ = run
            step = (key.job_id, key.occurrence, key.step)
            job = self._store.job_of(key)
            if job is None or run in being_stopped or step in steps:
                continue
            spec = job.step_spec(key)
            if spec.is_service and self._is_within_budget(
                key, job, spec, being_stopped, now_s
            ):
                steps.add(step)
                chosen.append(run)
        return chosen

    def review(
        self,
        incarnation: Incarnation,
        stopping: Collection[Run],
        now_s: float,
    ) -> StopReview:
        """Return the decided stops that must not be sent to a worker now.

        They were within the limit when they were decided.  Other tasks of their
        steps may have become unavailable before the answer is sent.

        Parameters
        ----------
        incarnation
            The worker, whose answer is about to be sent.
        stopping
            Runs that are being stopped.
        now_s
            Clock in seconds.
        """
        held = self._store.runs_of(incarnation.report.worker)
        found = StopReview()
        for run in held.items():
            if run not in stopping:
                continue
            if self.may_stop(run, incarnation, stopping, now_s):
                self._stop_sent_s[run] = now_s
            elif self._may_have_stopped(run, incarnation):
                found.withheld.add(run)
            else:
                found.retracted.add(run)
        return found

    def may_stop(
        self,
        run: Run,
        incarnation: Incarnation,
        stopping: Collection[Run],
        now_s: float,
    ) -> bool:
        """Whether stopping a run keeps its step within its limit.

        Parameters
        ----------
        run, incarnation
            A run, and its worker.
        stopping
            Runs that are being stopped.
        now_s
            Clock in seconds.
        """
        key, _ = run
        job = self._store.job_of(key)
        spec = self._store.spec_of(key)
        if job is None or spec is None or not spec.is_service:
            return True
        if not self._may_be_serving(run, incarnation):
            return True
        return self._is_within_budget(key, job, spec, stopping, now_s)

    def retain_only(self, held: Set[Run]) -> None:
        """Drop the runs that are not assigned any more."""
        for run in self._stop_sent_s.keys() - held:
            self._stop_sent_s.pop(run)

    def _may_have_stopped(self, run: Run, incarnation: Incarnation) -> bool:
        """Whether a worker may have carried out a stop.

        If it lists the run long after the answer, the answer did not reach it.
        """
        sent_s = self._stop_sent_s.get(run, float('-inf'))
        return incarnation.heard_s - sent_s < self._stop_settles_s

    def _may_be_serving(self, run: Run, incarnation: Incarnation) -> bool:
        """Whether a run serves requests, or may do so when it is stopped.

        A run that was about to serve may do so by now, unless it has not done
        so within the startup timeout.
        """
        if not _is_listed(incarnation, run):
            return False
        if _is_listed_serving(incarnation, run):
            return True
        worked_s = self._progress.reported_for_s(run, incarnation.heard_s)
        return worked_s < _STARTUP_TIMEOUT_S

    def _is_within_budget(
        self,
        key: TaskKey,
        job: JobRecord,
        spec: StepSpec,
        being_stopped: Container[Run],
        now_s: float,
    ) -> bool:
        max_unavailable = (
            _DEFAULT_MAX_UNAVAILABLE
            if spec.max_unavailable is None
            else spec.max_unavailable
        )
        unavailable = sum(
            not self._is_serving(other, job, being_stopped, now_s)
            for other in job.step_keys(key)
            if other != key
        )
        return unavailable < max_unavailable

    def _is_serving(
        self,
        key: TaskKey,
        job: JobRecord,
        being_stopped: Container[Run],
        now_s: float,
    ) -> bool:
        task = job.task(key)
        if task is None or task.phase is not TaskPhase.ASSIGNED:
            return False
        run = (key, task.run)
        incarnation = self._incarnations.get(task.worker)
        if incarnation is None or run in being_stopped:
            return False
        # The runs that a silent worker listed last may have ended: by its
        # lease, by a stop, or with the worker.
        is_doubtful = now_s - incarnation.sent_s > self._max_report_age_s or (
            run in self._inherited_runs and not self._has_settled(incarnation)
        )
        return not is_doubtful and _is_listed_serving(incarnation, run)

    def _has_settled(self, incarnation: Incarnation) -> bool:
        """Whether the effect of an earlier leader's stop would show by now.

        The earlier leader may have answered the first heartbeat that this one
        received.
        """
        heard_for_s = incarnation.heard_s - incarnation.first_heard_s
        return heard_for_s >= self._stop_settles_s


def _is_listed(incarnation: Incarnation, run: Run) -> bool:
    return any((row.task, row.run) == run for row in incarnation.running)


def _is_listed_serving(incarnation: Incarnation, run: Run) -> bool:
    return any(
        (row.task, row.run) == run and row.percent >= _SERVING_PERCENT
        for row in incarnation.running
    )
