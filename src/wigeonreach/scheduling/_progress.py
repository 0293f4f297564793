"""Find runs that stand still, and how fast the others go.

Answers workers that look healthy while what runs on them stands still or
takes several times as long: their tasks decide when a step ends, so they are
stopped early and done elsewhere, and the worker is chosen last.  A gang ends
together, so a member that is done stands still until the slowest is: a gang
moves as long as one member does.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from wigeonreach.jobs import JobStore, Run, StepSpec, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._objectives import estimate_s
from wigeonreach.scheduling._pacing import FULL_PACE
from wigeonreach.scheduling._speeds import Stretch, WorkerSpeeds
from wigeonreach.wire._worker_messages import RunningTask

# Heartbeats come every quarter of a second, and a task that works moves by a
# percent in a hundredth of its time: this is several heartbeats.
_STALLED_S = 1.5
# Long tasks move by a percent only now and then.
_STALLED_RATIO = 0.05
# A new worker may be cold for as long as it says; a serving task that does not
# come to work in this time does not come at all.
_NO_START_S = 4.0
_WHOLE_PERCENT = 100
# A stop is ordered with the next heartbeat, takes up to 0.4 s and is told with
# another one.
_RESTART_S = 0.8
# How long a run takes elsewhere is an estimate, so it has to be much less.
_GAIN_RATIO = 1.3
# What was moved once stays: the worker may not have been the cause.
_FIRST_RUN = 1


@dataclasses.dataclass(slots=True)
class _Seen:
    """A run, and how far it was when its worker last told."""

    percent: int
    began_s: float
    heard_s: float


class ProgressWatch:
    """What heartbeats tell of the runs' progress."""

    def __init__(self) -> None:
        """Have seen nothing."""
        self._seen: dict[Run, _Seen] = {}
        # When a run, or a gang under the run of its first member, last moved.
        self._moved_s: dict[Run, float] = {}
        self._speeds = WorkerSpeeds()

    def note(
        self,
        incarnation: Incarnation,
        store: JobStore,
        pace_percent: int | None,
        now_s: float,
    ) -> list[Run]:
        """Take a heartbeat; return the runs that stand still.

        Parameters
        ----------
        incarnation
            Whose heartbeat it was.
        store
            What runs.
        pace_percent
            At which share of its speed batch work was told to run, or None.
        now_s
            Clock in seconds.
        """
        stalled: list[Run] = []
        stretches: list[Stretch] = []
        is_paced = pace_percent is not None and pace_percent < FULL_PACE
        for row in incarnation.running:
            spec = store.spec_of(row.task)
            if spec is None:
                continue
            if not is_paced and _tells_speed(spec, incarnation):
                stretches.extend(self._stretch(row, spec, now_s))
            moving = _moving_part(row, spec)
            seen = self._look(row, moving, is_paced, now_s)
            still_s = now_s - self._moved_s[moving]
            if _is_stalled(spec, seen, still_s, now_s):
                stalled.append((row.task, row.run))
        self._speeds.note(incarnation.report.worker, stretches, now_s)
        return stalled

    def worked_s(self, run: Run, until_s: float) -> float:
        """Return for how long a run was listed in this term, 0 if never."""
        seen = self._seen.get(run)
        return until_s - seen.began_s if seen else 0.0

    def slow(self, workers: Iterable[str], now_s: float) -> dict[str, float]:
        """Return the workers of a service that are slow, and how much."""
        return self._speeds.slow(workers, now_s)

    def laggards(
        self,
        incarnation: Incarnation,
        store: JobStore,
        slower_times: float,
    ) -> list[Run]:
        """Return the runs of a slow worker that end sooner if begun elsewhere.

        Parameters
        ----------
        incarnation
            The worker.
        store
            What runs.
        slower_times
            How many times as long as on others a run takes there.
        """
        return [
            (row.task, row.run)
            for row in incarnation.running
            if row.run == _FIRST_RUN
            and (spec := store.spec_of(row.task)) is not None
            and _tells_speed(spec, incarnation)
            and _lags(row, spec, slower_times)
        ]

    def _stretch(
        self,
        row: RunningTask,
        spec: StepSpec,
        now_s: float,
    ) -> Iterator[Stretch]:
        """Yield what a run got done since it was last told of, if it works."""
        seen = self._seen.get((row.task, row.run))
        if seen is None:
            return
        done = (row.percent - seen.percent) / _WHOLE_PERCENT
        yield Stretch(done * estimate_s(spec), now_s - seen.heard_s)

    def _look(
        self,
        row: RunningTask,
        moving: Run,
        is_paced: bool,
        now_s: float,
    ) -> _Seen:
        run = (row.task, row.run)
        seen = self._seen.setdefault(run, _Seen(row.percent, now_s, now_s))
        seen.heard_s = now_s
        self._moved_s.setdefault(moving, now_s)
        if row.percent != seen.percent or is_paced:
            seen.percent = row.percent
            self._moved_s[moving] = now_s
        return seen

    def forget(self, worker: str, runs: Mapping[TaskKey, int]) -> None:
        """Drop what is known of a dead worker and its runs."""
        self._speeds.forget(worker)
        for run in runs.items():
            self.forget_run(run)

    def forget_run(self, run: Run) -> None:
        """Drop a run that ended."""
        self._seen.pop(run, None)
        self._moved_s.pop(run, None)


def _tells_speed(spec: StepSpec, incarnation: Incarnation) -> bool:
    """Whether a run's progress depends on its own worker alone.

    Away from its data a run is slow on the soundest worker.
    """
    is_far = spec.data_rack and spec.data_rack != incarnation.report.rack
    return not (is_far or spec.is_service or spec.is_gang)


def _lags(row: RunningTask, spec: StepSpec, slower_times: float) -> bool:
    whole_s = estimate_s(spec)
    left_s = whole_s * (1 - row.percent / _WHOLE_PERCENT) * slower_times
    return left_s > _GAIN_RATIO * (whole_s + _RESTART_S)


def _moving_part(row: RunningTask, spec: StepSpec) -> Run:
    """Return what moves or stands still as one: a run, or its whole gang."""
    if not spec.is_gang:
        return row.task, row.run
    return msgspec.structs.replace(row.task, index=0), row.run


def _is_stalled(
    spec: StepSpec,
    seen: _Seen,
    still_s: float,
    now_s: float,
) -> bool:
    is_whole = seen.percent >= _WHOLE_PERCENT
    if spec.is_service:
        return not is_whole and now_s - seen.began_s > _NO_START_S
    if spec.is_gang and is_whole:
        return False
    allowed_s = max(_STALLED_S, spec.estimate_ms / 1000 * _STALLED_RATIO)
    if spec.is_gang and not seen.percent:
        # It waits for members that are still to come.
        allowed_s = max(allowed_s, _NO_START_S)
    return still_s > allowed_s
