"""Tell which tasks may bring their workers down, at one moment."""

from __future__ import annotations

import collections
import dataclasses
import enum
from collections.abc import Mapping

from wigeonreach.jobs import TaskKey, TaskRecord

# With so many crashes and doubts a task waits until the doubts are settled, as
# its next start may be one too many.
_MOST_DOUBTS = 3
# Of two crashes one may be chance; after them a task runs alone, so that the
# next one tells, and takes nothing else with it.
CRASHES_BEFORE_TRIAL = 2
# It waits for a worker of its own for several times what most tasks take that are
# on it, and for as long again for one without others that may be the cause.
_ALONE_FOR_S = 8.0
APART_FOR_S = 16.0


class Apart(enum.Enum):
    """Beside what a task may not run."""

    FROM_NOTHING = enum.auto()
    FROM_SUSPECTS = enum.auto()
    FROM_ALL = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """Tasks with crashes that count, or with losses that are not explained.

    Attributes
    ----------
    doubtful
        In how many losses each task was that are not explained, but soon will.
    lost_s
        When each task was lost, if it was lately.
    began_s
        When the term began, before which others may have been lost.
    now_s
        Clock in seconds.
    """

    doubtful: collections.Counter[TaskKey]
    lost_s: Mapping[TaskKey, float]
    began_s: float
    now_s: float

    @property
    def may_wait(self) -> bool:
        """Whether any task may have to be kept apart now."""
        return bool(self.lost_s) or self.now_s - self.began_s < APART_FOR_S

    def kept_apart(self, key: TaskKey, task: TaskRecord) -> Apart:
        """Return from what a task has to be kept for now."""
        lost_for_s = self.now_s - self.lost_s.get(key, self.began_s)
        is_suspect = task.crash_count >= CRASHES_BEFORE_TRIAL
        if not is_suspect or lost_for_s >= APART_FOR_S:
            return Apart.FROM_NOTHING
        if lost_for_s < _ALONE_FOR_S:
            return Apart.FROM_ALL
        return Apart.FROM_SUSPECTS

    def must_wait(self, key: TaskKey, task: TaskRecord) -> bool:
        """Whether a task may not start before its losses are explained."""
        is_settled = not self.doubtful[key]
        return not is_settled and task.crash_count >= _MOST_DOUBTS
