"""Throttle batch work beside serving tasks that respond too slowly.

Batch tasks disturb serving tasks on the same worker by amounts that are not
declared and change within seconds.  The pace is halved at once when a tail
latency nears its target, and is raised again in steps.
"""

from __future__ import annotations

from collections.abc import Mapping

from wigeonreach.jobs import JobStore, StepSpec
from wigeonreach.scheduling._incarnation import Incarnation

FULL_PACE = 100
# Tail latencies cover the last half second, so the pace has to be lowered
# before the target is reached.
_SLOWER_ABOVE_RATIO = 0.8
_FASTER_BELOW_RATIO = 0.6
_PACE_STEP = 20
# Below this share batch work is suspended.
_MIN_PACE = 20


class Pacing:
    """The share of full speed at which batch work runs on each worker."""

    def __init__(self) -> None:
        """Start at full pace everywhere."""
        self._paces: dict[str, int] = {}

    def pace(self, worker: str) -> int | None:
        """Return a worker's pace in percent, or None if none was ever set."""
        return self._paces.get(worker)

    def is_paced(self, worker: str) -> bool:
        """Whether batch work on a worker is throttled."""
        return self._paces.get(worker, FULL_PACE) < FULL_PACE

    def set(self, worker: str, percent: int) -> None:
        """Set the pace of batch work on a worker."""
        self._paces[worker] = percent

    def forget(self, worker: str) -> None:
        """Drop the pace of a dead worker."""
        self._paces.pop(worker, None)

    def on_heartbeat(self, incarnation: Incarnation, store: JobStore) -> str:
        """Adjust the pace to the tail latencies that a worker reports.

        Returns
        -------
        str
            A description of the change, or '' if the pace stays.
        """
        worker = incarnation.report.worker
        ratio = _worst_ratio(incarnation, store)
        pace = self._paces.get(worker, FULL_PACE)
        if ratio > _SLOWER_ABOVE_RATIO:
            slower = pace // 2
            self._paces[worker] = slower if slower >= _MIN_PACE else 0
        elif ratio < _FASTER_BELOW_RATIO and worker in self._paces:
            self._paces[worker] = min(pace + _PACE_STEP, FULL_PACE)
        new_pace = self._paces.get(worker, FULL_PACE)
        if new_pace == pace:
            return ''
        # The ratio is the worst tail latency as a share of its latency target.
        return f'{pace} to {new_pace} percent, tail at {ratio:.2f} of target'


def _worst_ratio(incarnation: Incarnation, store: JobStore) -> float:
    specs = _serving_specs(incarnation, store)
    return max(
        (
            row.load / specs[row.task.job_id].latency_target_ms
            for row in incarnation.running
            if row.task.job_id in specs
        ),
        default=0.0,
    )


def _serving_specs(
    incarnation: Incarnation, store: JobStore
) -> Mapping[str, StepSpec]:
    specs: dict[str, StepSpec] = {}
    for row in incarnation.running:
        spec = store.spec_of(row.task)
        if spec is None:
            continue
        if spec.is_service and spec.latency_target_ms:
            specs[row.task.job_id] = spec
    return specs
