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


# A task with few starts left waits for so long while workers fail by themselves:
# more than twice what it takes to find a lost worker.
_CALM_WAIT_S = 10.0


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
    is_calm
        Whether no worker was lost lately that no run had provoked.
    """

    unexplained_losses: collections.Counter[TaskKey]
    lost_s: Mapping[TaskKey, float]
    began_s: float
    now_s: float
    is_calm: bool

    @property
    def may_isolate(self) -> bool:
        """Whether any task may have to be isolated now."""
        return bool(self.lost_s) or self.now_s - self.began_s < ISOLATION_S

    def isolation_of(self, key: TaskKey, task: TaskRecord) -> Isolation:
        """Return the isolation that a task needs now."""
        lost_for_s = self.now_s - self.lost_s.get(key, self.began_s)
        is_suspect = task.crash_count >= CRASHES_BEFORE_ISOLATION
        if not is_suspect or lost_for_s >= ISOLATION_S:
            return Isolation.FROM_NOTHING
        if lost_for_s < _ALONE_S:
            return Isolation.FROM_ALL
        return Isolation.FROM_SUSPECTS

    def must_wait(self, key: TaskKey, task: TaskRecord) -> bool:
        """Whether a task must not start before its losses are explained."""
        if not task.has_starts_left:
            return True
        losses = max(task.crash_count, len(task.lost_runs))
        if losses < _MAX_UNSETTLED_CRASHES:
            return False
        is_settled = not self.unexplained_losses[key]
        return not is_settled or self._awaits_calm(key, task)

    def _awaits_calm(self, key: TaskKey, task: TaskRecord) -> bool:
        """Whether a task saves one of its last starts for a calmer moment."""
        is_limited = len(task.lost_runs) >= _MAX_UNSETTLED_CRASHES
        lost_for_s = self.now_s - self.lost_s.get(key, self.began_s)
        return is_limited and not self.is_calm and lost_for_s < _CALM_WAIT_S
