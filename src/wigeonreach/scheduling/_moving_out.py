"""Empty a worker without taking more of a serving step than it may miss.

Answers waves, drains, runs without progress and changes of leader that come
together: all that ends serving runs asks here, when it decides and each time that
a worker is told, so that no two of them count the same task as at work.  A task
that may be away already, for all that is known, is taken for away.
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
from wigeonreach.scheduling._incarnation import SILENT_S, Incarnation
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._settings import SchedulingSettings

# A serving task whose step says nothing is moved with one away at a time.
_DEFAULT_MAY_MISS = 1
_AT_WORK_PERCENT = 100
# An answer that arrives does so within 1 s of its heartbeat.
_ANSWER_LASTS_S = 1.0
# The end of a stop is told with the next heartbeat, 0.05 s later.
_TELLING_S = 0.1
# Busy workers are heard as often, so what they tell is never much younger.
_LEAST_FRESH_S = 0.3
# Even on a worker that takes several times as long a serving task is at work so
# soon after it began, or never.
_NEVER_WORKS_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class StopReview:
    """Stops that were decided and are not told now.

    Attributes
    ----------
    withheld
        Told before, so their runs may be away, but not to be told again.
    retracted
        Never told, or not heard: their runs stay.
    """

    withheld: set[Run] = dataclasses.field(default_factory=set)
    retracted: set[Run] = dataclasses.field(default_factory=set)


def is_empty(incarnation: Incarnation, store: JobStore) -> bool:
    """Whether nothing is on a worker, may be, or is about to be started.

    Where it is not sure which incarnation goes on at a VM, another one may have
    what this one lacks.
    """
    held = store.held_by(incarnation.report.worker)
    has_work = held or incarnation.running or incarnation.awaits_start
    return incarnation.is_proven and not has_work


class MovingOut:
    """Which serving runs may be stopped, for the leader of one term.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    incarnations
        The workers of now, by name.
    progress
        Since when runs are listed.
    settings
        How long stops take, and from when on a task counts as away.
    """

    def __init__(
        self,
        store: JobStore,
        incarnations: Mapping[str, Incarnation],
        progress: ProgressWatch,
        settings: SchedulingSettings,
    ) -> None:
        """Take over what earlier leaders started, and may have stopped."""
        self._store = store
        self._incarnations = incarnations
        self._progress = progress
        # So long after a stop was told its run may be listed though it ends.
        self._told_for_s = _ANSWER_LASTS_S + settings.stop_s + _TELLING_S
        # A task that fell after it was last heard must not count as away yet
        # when a stop that was decided by that arrives.
        fresh_s = min(SILENT_S, settings.notice_s - _ANSWER_LASTS_S)
        self._fresh_s = max(fresh_s, _LEAST_FRESH_S)
        # Stops that were put into an answer, which may have arrived, and when.
        self._told_s: dict[Run, float] = {}
        self._inherited: frozenset[Run] = frozenset(
            run
            for assigned in store.assigned.values()
            for run in assigned.items()
            if store.is_serving(run[0])
        )

    def movable_now(
        self,
        incarnation: Incarnation,
        stopping: Iterable[Run],
        now_s: float,
    ) -> list[Run]:
        """Return the serving runs that may be stopped on a worker now.

        Of each step one at most is returned, so that what is away is counted
        anew before the next.

        Parameters
        ----------
        incarnation
            The worker.
        stopping
            What is being stopped already.
        now_s
            Clock in seconds.
        """
        if incarnation.is_silent(now_s):
            # Until it is heard and told, others may have gone.
            return []
        leaving = frozenset(stopping)
        steps: set[tuple[str, int, int]] = set()
        chosen: list[Run] = []
        for run in self._store.held_by(incarnation.report.worker).items():
            key, _ = run
            step = (key.job_id, key.occurrence, key.step)
            job = self._store.job_of(key)
            if job is None or run in leaving or step in steps:
                continue
            spec = job.step_spec(key)
            if spec.is_service and self._may_go(key, job, spec, leaving, now_s):
                steps.add(step)
                chosen.append(run)
        return chosen

    def review(
        self,
        incarnation: Incarnation,
        stopping: Collection[Run],
        now_s: float,
    ) -> StopReview:
        """Return the stops that a worker is not to be told, or not again.

        They were right when they were decided; its answer is due only now, and
        others of their steps have gone meanwhile.

        Parameters
        ----------
        incarnation
            The worker, whose answer is about to be sent.
        stopping
            What is being stopped.
        now_s
            Clock in seconds.
        """
        held = self._store.held_by(incarnation.report.worker)
        found = StopReview()
        for run in held.items():
            if run not in stopping:
                continue
            if self.may_stop(run, incarnation, stopping, now_s):
                self._told_s[run] = now_s
            elif self._was_told(run, incarnation):
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
        """Whether a run may be stopped, for all that is away of its step.

        Parameters
        ----------
        run, incarnation
            A run, and its worker.
        stopping
            What is being stopped.
        now_s
            Clock in seconds.
        """
        key, _ = run
        job = self._store.job_of(key)
        spec = self._store.spec_of(key)
        if job is None or spec is None or not spec.is_service:
            return True
        if not self._may_be_at_work(run, incarnation):
            return True
        return self._may_go(key, job, spec, stopping, now_s)

    def keep_only(self, held: Set[Run]) -> None:
        """Drop the runs that are over."""
        for run in self._told_s.keys() - held:
            self._told_s.pop(run)

    def _was_told(self, run: Run, incarnation: Incarnation) -> bool:
        """Whether a worker may have carried a stop out.

        One that lists the run long after was not reached by the answer.
        """
        told_s = self._told_s.get(run, float('-inf'))
        return incarnation.heard_s - told_s < self._told_for_s

    def _may_be_at_work(self, run: Run, incarnation: Incarnation) -> bool:
        """Whether a run serves somebody by now, or may when it is stopped.

        One that was about to may do so since it was told of; one that did not
        for so long will not.
        """
        if not _is_listed(incarnation, run):
            return False
        if _lists_at_work(incarnation, run):
            return True
        worked_s = self._progress.worked_s(run, incarnation.heard_s)
        return worked_s < _NEVER_WORKS_S

    def _may_go(
        self,
        key: TaskKey,
        job: JobRecord,
        spec: StepSpec,
        leaving: Container[Run],
        now_s: float,
    ) -> bool:
        may_miss = _DEFAULT_MAY_MISS if spec.may_miss is None else spec.may_miss
        away = sum(
            not self._is_at_work(other, job, leaving, now_s)
            for other in job.step_keys(key)
            if other != key
        )
        return away < may_miss

    def _is_at_work(
        self,
        key: TaskKey,
        job: JobRecord,
        leaving: Container[Run],
        now_s: float,
    ) -> bool:
        task = job.task(key)
        if task is None or task.phase is not TaskPhase.ASSIGNED:
            return False
        run = (key, task.run)
        incarnation = self._incarnations.get(task.worker)
        if incarnation is None or run in leaving:
            return False
        # What a silent worker told last may be over: its lease, by a stop that
        # was ordered, or all that ran there.
        is_doubtful = now_s - incarnation.sent_s > self._fresh_s or (
            run in self._inherited and not self._is_proven(incarnation)
        )
        return not is_doubtful and _lists_at_work(incarnation, run)

    def _is_proven(self, incarnation: Incarnation) -> bool:
        """Whether a stop by an earlier leader would have been told by now.

        It may have answered the first heartbeat that was heard here.
        """
        heard_for_s = incarnation.heard_s - incarnation.first_heard_s
        return heard_for_s >= self._told_for_s


def _is_listed(incarnation: Incarnation, run: Run) -> bool:
    return any((row.task, row.run) == run for row in incarnation.running)


def _lists_at_work(incarnation: Incarnation, run: Run) -> bool:
    return any(
        (row.task, row.run) == run and row.percent >= _AT_WORK_PERCENT
        for row in incarnation.running
    )
