"""Tell which tasks may bring their workers down, at one moment."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection

from wigeonreach.jobs import TaskKey, TaskRecord

# With so many crashes and doubts a task waits until the doubts are settled, as
# its next start may be one too many.
_MOST_DOUBTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """Tasks with crashes that count, or with losses that are not explained.

    Attributes
    ----------
    doubtful
        In how many losses that are not explained yet each task was.
    newly_lost
        Tasks that were lost so short a time ago that they may still wait for
        a worker without others of them.
    """

    doubtful: collections.Counter[TaskKey]
    newly_lost: Collection[TaskKey] = frozenset()

    def crashes(self, key: TaskKey, task: TaskRecord) -> int:
        """Return how many crashes speak against a task, with doubtful ones.

        One loss without an explanation is most often a worker that is cut off,
        and speaks against nothing.
        """
        counted = len(task.crashes)
        doubtful = self.doubtful[key]
        return counted + doubtful if counted or doubtful > 1 else 0

    def may_be_copied(self, key: TaskKey, task: TaskRecord) -> bool:
        """Whether a copy of a task's run may begin before the run is over."""
        return not task.crashes and not self.doubtful[key]

    def must_wait(self, key: TaskKey, task: TaskRecord) -> bool:
        """Whether a task may not start before its losses are explained."""
        is_settled = not self.doubtful[key]
        return not is_settled and self.crashes(key, task) >= _MOST_DOUBTS
