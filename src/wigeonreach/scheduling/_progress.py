"""Detect stalled runs, and measure the progress of the others.

A worker may look healthy while its runs stall or take several times as long.
Such runs decide when a step ends, so they are stopped early and restarted
elsewhere, and the worker is avoided.  The members of a gang end together,
so a finished member shows no progress until the slowest one is done: a gang is
stalled only if none of its members makes progress.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from wigeonreach.jobs import JobStore, Run, StepSpec, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._objectives import task_estimate_s
from wigeonreach.scheduling._pacing import FULL_PACE
from wigeonreach.scheduling._speeds import ProgressSample, WorkerSpeeds
from wigeonreach.wire._worker_messages import RunningTask

# Several heartbeats: these come every quarter of a second, and a working task
# advances by a percent in a hundredth of its run time.
_STALLED_S = 1.5
# Share of the estimate; a long task takes a while to advance by a percent.
_STALLED_RATIO = 0.05
# A new worker needs time to warm up, so a serving run counts as stalled only if
# it does not serve this long after it was first listed.  The warm-up time that
# the worker declares is not used here.
_START_TIMEOUT_S = 4.0
_COMPLETE_PERCENT = 100
# A stop is ordered with the next heartbeat, takes up to 0.4 s and is reported
# with another heartbeat.
_RESTART_S = 0.8
# The run time elsewhere is an estimate, so the gain has to be large.
_MIN_GAIN_RATIO = 1.3
# Only a task's first run is moved: if its next run is slow too, the worker may
# not have been the cause.
_FIRST_RUN = 1


@dataclasses.dataclass(slots=True)
class _RunProgress:
    """Progress of a run as of its worker's last heartbeat.

    Attributes
    ----------
    percent
        Progress that was reported.
    began_s
        When the run was first reported in this term.
    heard_s
        When it was last reported.
    """

    percent: int
    began_s: float
    heard_s: float


class ProgressTracker:
    """Tracks the progress of runs by their workers' heartbeats."""

    def __init__(self) -> None:
        """Start without any runs."""
        self._progress_by_run: dict[Run, _RunProgress] = {}
        # When a run last made progress; a gang is kept under its first member.
        self._last_progress_s: dict[Run, float] = {}
        self._speeds = WorkerSpeeds()

    def on_heartbeat(
        self,
        incarnation: Incarnation,
        store: JobStore,
        pace_percent: int | None,
        now_s: float,
    ) -> list[Run]:
        """Process a heartbeat and return the stalled runs.

        Parameters
        ----------
        incarnation
            The worker that sent the heartbeat.
        store
            The replicated state.
        pace_percent
            Pace of batch work on the worker, or None if it was never set.
        now_s
            Clock in seconds.
        """
        stalled: list[Run] = []
        samples: list[ProgressSample] = []
        is_paced = pace_percent is not None and pace_percent < FULL_PACE
        for row in incarnation.running:
            spec = store.spec_of(row.task)
            if spec is None:
                continue
            if not is_paced and _reflects_worker_speed(spec, incarnation):
                samples.extend(self._sample(row, spec, now_s))
            progress_key = _progress_key(row, spec)
            progress = self._update(row, progress_key, is_paced, now_s)
            unchanged_s = now_s - self._last_progress_s[progress_key]
            if _is_stalled(spec, progress, unchanged_s, now_s):
                stalled.append((row.task, row.run))
        self._speeds.note(incarnation.report.worker, samples, now_s)
        return stalled

    def reported_for_s(self, run: Run, until_s: float) -> float:
        """Return how long a run has been reported in this term, 0 if never."""
        progress = self._progress_by_run.get(run)
        return until_s - progress.began_s if progress else 0.0

    def slow(self, workers: Iterable[str], now_s: float) -> dict[str, float]:
        """Return the slow workers of a service with their slowdown factors."""
        return self._speeds.slow(workers, now_s)

    def stragglers(
        self,
        incarnation: Incarnation,
        store: JobStore,
        slowdown_factor: float,
    ) -> list[Run]:
        """Return the runs of a slow worker that would end sooner elsewhere.

        Parameters
        ----------
        incarnation
            The worker.
        store
            The replicated state.
        slowdown_factor
            Slowdown factor compared with the other workers.
        """
        return [
            (row.task, row.run)
            for row in incarnation.running
            if row.run == _FIRST_RUN
            and (spec := store.spec_of(row.task)) is not None
            and _reflects_worker_speed(spec, incarnation)
            and _ends_sooner_elsewhere(row, spec, slowdown_factor)
        ]

    def _sample(
        self,
        row: RunningTask,
        spec: StepSpec,
        now_s: float,
    ) -> Iterator[ProgressSample]:
        """Yield the progress of a run since its previous heartbeat, if any."""
        progress = self._progress_by_run.get((row.task, row.run))
        if progress is None:
            return
        done = (row.percent - progress.percent) / _COMPLETE_PERCENT
        yield ProgressSample(
            done * task_estimate_s(spec), now_s - progress.heard_s
        )

    def _update(
        self,
        row: RunningTask,
        progress_key: Run,
        is_paced: bool,
        now_s: float,
    ) -> _RunProgress:
        run = (row.task, row.run)
        progress = self._progress_by_run.setdefault(
            run, _RunProgress(row.percent, now_s, now_s)
        )
        progress.heard_s = now_s
        self._last_progress_s.setdefault(progress_key, now_s)
        if row.percent != progress.percent or is_paced:
            progress.percent = row.percent
            self._last_progress_s[progress_key] = now_s
        return progress

    def forget(self, worker: str, runs: Mapping[TaskKey, int]) -> None:
        """Drop a dead worker and its runs."""
        self._speeds.forget(worker)
        for run in runs.items():
            self.forget_run(run)

    def forget_run(self, run: Run) -> None:
        """Drop a run that ended."""
        self._progress_by_run.pop(run, None)
        self._last_progress_s.pop(run, None)


def _reflects_worker_speed(spec: StepSpec, incarnation: Incarnation) -> bool:
    """Whether a run's progress depends on its own worker alone.

    Away from its data a run is slow even on a healthy worker.
    """
    is_far = spec.data_rack and spec.data_rack != incarnation.report.rack
    return not (is_far or spec.is_service or spec.is_gang)


def _ends_sooner_elsewhere(
    row: RunningTask, spec: StepSpec, slowdown_factor: float
) -> bool:
    total_s = task_estimate_s(spec)
    left_s = total_s * (1 - row.percent / _COMPLETE_PERCENT) * slowdown_factor
    return left_s > _MIN_GAIN_RATIO * (total_s + _RESTART_S)


def _progress_key(row: RunningTask, spec: StepSpec) -> Run:
    """Return the run under which progress is kept: its own, or its gang's."""
    if not spec.is_gang:
        return row.task, row.run
    return msgspec.structs.replace(row.task, index=0), row.run


def _is_stalled(
    spec: StepSpec,
    progress: _RunProgress,
    unchanged_s: float,
    now_s: float,
) -> bool:
    is_complete = progress.percent >= _COMPLETE_PERCENT
    if spec.is_service:
        return not is_complete and now_s - progress.began_s > _START_TIMEOUT_S
    if spec.is_gang and is_complete:
        return False
    allowed_s = max(_STALLED_S, spec.estimate_ms / 1000 * _STALLED_RATIO)
    if spec.is_gang and not progress.percent:
        # The gang waits for members that have not started.
        allowed_s = max(allowed_s, _START_TIMEOUT_S)
    return unchanged_s > allowed_s
