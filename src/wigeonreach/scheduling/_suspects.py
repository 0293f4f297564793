"""Decide how tasks that may crash their workers are isolated."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Mapping

from wigeonreach.jobs import TaskKey, TaskRecord

# A task with this many crashes, unsettled ones included, is not started while
# any of its losses is unexplained, as another start may be one too many.
_MAX_UNSETTLED_CRASHES = 3
# One of two crashes may be a coincidence.  After two a task runs alone, so
# that a third one is conclusive and affects nothing else.
CRASHES_BEFORE_ISOLATION = 2
# How long it waits for a worker of its own: several times as long as most
# tasks on such a worker take.  It then waits as long again for a worker
# without other suspects.
_ALONE_S = 8.0
ISOLATION_S = 16.0
# A task with few starts left waits at most for so long until workers no longer
# fail by themselves; outages of racks are shorter.
_CALM_WAIT_S = 30.0
# The time of a task's last loss is needed until it needs no isolation.
LOSS_RETENTION_S = _CALM_WAIT_S + ISOLATION_S


class Isolation(enum.Enum):
    """The runs from which a task is isolated."""

    FROM_NOTHING = enum.auto()
    FROM_SUSPECTS = enum.auto()
    FROM_ALL = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """Tasks with crashes or unexplained losses, at one moment.

    Attributes
    ----------
    unexplained_losses
        Number of recent losses of each task that are not explained yet.
    lost_s
        When each recently lost task was lost.
    began_s
        When the term began; other tasks may have been lost before.
    now_s
        Clock in seconds.
    calm_since_s
        Since when, or from when on, workers count as no longer failing by
        themselves.
    """

    unexplained_losses: collections.Counter[TaskKey]
    lost_s: Mapping[TaskKey, float]
    began_s: float
    now_s: float
    calm_since_s: float

    @property
    def may_isolate(self) -> bool:
        """Whether any task may have to be isolated now."""
        return bool(self.lost_s) or self.now_s - self.began_s < ISOLATION_S

    def isolation_of(self, key: TaskKey, task: TaskRecord) -> Isolation:
        """Return the isolation that a task needs now."""
        waited_s = self.now_s - self._startable_since_s(key, task)
        is_suspect = (
            task.crash_count >= CRASHES_BEFORE_ISOLATION
            or _has_few_starts(task)
        )
        if not is_suspect or waited_s >= ISOLATION_S:
            return Isolation.FROM_NOTHING
        if waited_s < _ALONE_S:
            return Isolation.FROM_ALL
        return Isolation.FROM_SUSPECTS

    def must_wait(
        self, key: TaskKey, task: TaskRecord, is_serving: bool = False
    ) -> bool:
        """Whether a task must not start before its losses are explained.

        Serving tasks do not wait for that: no number of losses ends them.
        """
        if is_serving:
            return False
        if not task.has_starts_left:
            return True
        losses = max(task.crash_count, len(task.lost_runs))
        if losses < _MAX_UNSETTLED_CRASHES:
            return False
        is_settled = not self.unexplained_losses[key]
        return not is_settled or self.now_s < self._startable_since_s(key, task)

    def _startable_since_s(self, key: TaskKey, task: TaskRecord) -> float:
        """Return from when on a task may start again, after its last loss.

        A task with few starts left saves them for a calmer moment, so that
        another loss shows whether it is the cause.
        """
        lost_s = self.lost_s.get(key, self.began_s)
        if not _has_few_starts(task):
            return lost_s
        return min(lost_s + _CALM_WAIT_S, max(lost_s, self.calm_since_s))


def _has_few_starts(task: TaskRecord) -> bool:
    return len(task.lost_runs) >= _MAX_UNSETTLED_CRASHES
