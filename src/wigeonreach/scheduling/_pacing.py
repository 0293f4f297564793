"""Slow down batch work beside serving tasks that answer too slowly.

Answers the pattern of fillers that disturb serving tasks by amounts that
nobody declared and that change within seconds: pace goes down at once and by
halves when a tail nears its target, and comes back in steps.
"""

from __future__ import annotations

from collections.abc import Mapping

from wigeonreach.jobs import JobStore, StepSpec
from wigeonreach.scheduling._incarnation import Incarnation

FULL_PACE = 100
# Tails are figures of the last half second, so pace has to go down before
# the target is reached.
_SLOWER_ABOVE_RATIO = 0.8
_FASTER_BELOW_RATIO = 0.6
_STEP_UP = 20
# Below this share a task is stopped from working at all.
_LEAST_PACE = 20


class Pacing:
    """The share of its speed at which batch work runs on each worker."""

    def __init__(self) -> None:
        """Let everything run."""
        self._paces: dict[str, int] = {}

    def pace(self, worker: str) -> int | None:
        """Return the share in percent, or None if none was ever set."""
        return self._paces.get(worker)

    def is_paced(self, worker: str) -> bool:
        """Whether batch work on a worker is slowed down."""
        return self._paces.get(worker, FULL_PACE) < FULL_PACE

    def set(self, worker: str, percent: int) -> None:
        """Let batch work on a worker run at a share of its speed."""
        self._paces[worker] = percent

    def forget(self, worker: str) -> None:
        """Drop what is known of a dead worker."""
        self._paces.pop(worker, None)

    def note(self, incarnation: Incarnation, store: JobStore) -> str:
        """Look at the tails that a worker reports.

        Returns
        -------
        str
            What changed, or nothing.
        """
        worker = incarnation.report.worker
        ratio = _worst_ratio(incarnation, store)
        pace = self._paces.get(worker, FULL_PACE)
        if ratio > _SLOWER_ABOVE_RATIO:
            slower = pace // 2
            self._paces[worker] = slower if slower >= _LEAST_PACE else 0
        elif ratio < _FASTER_BELOW_RATIO and worker in self._paces:
            self._paces[worker] = min(pace + _STEP_UP, FULL_PACE)
        changed = self._paces.get(worker, FULL_PACE)
        if changed == pace:
            return ''
        return f'{pace} to {changed} percent, tail at {ratio:.2f} of target'


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
    found: dict[str, StepSpec] = {}
    for row in incarnation.running:
        spec = store.spec_of(row.task)
        if spec is None:
            continue
        if spec.is_service and spec.latency_target_ms:
            found[row.task.job_id] = spec
    return found
