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
        In how many losses each task was that are not explained, but soon will.
    newly_lost
        Tasks that were lost so short a time ago that they may still wait for
        a worker without others of them.
    """

    doubtful: collections.Counter[TaskKey]
    newly_lost: Collection[TaskKey] = frozenset()

    def must_wait(self, key: TaskKey, task: TaskRecord) -> bool:
        """Whether a task may not start before its losses are explained."""
        is_settled = not self.doubtful[key]
        return not is_settled and task.crash_count >= _MOST_DOUBTS
