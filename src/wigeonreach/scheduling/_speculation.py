"""Find runs to restart on another worker before they end.

A worker may be slow or unreachable for some seconds, so that its runs would
end after their jobs are due.  Runs of a slow worker are stopped and restarted
elsewhere.  Runs of an unreachable worker can't be stopped and may go on, so
only tasks that may run twice get a speculative copy before the worker's lease
is over.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from wigeonreach.jobs import JobStore, Run, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._progress import ProgressTracker


@dataclasses.dataclass(frozen=True, slots=True)
class Stragglers:
    """Runs of a slow worker that would end sooner on another worker.

    Attributes
    ----------
    worker
        The slow worker.
    runs
        The runs that would end sooner elsewhere.
    slowdown_factor
        Slowdown factor compared with the other workers.
    """

    worker: str
    runs: tuple[Run, ...]
    slowdown_factor: float


def stragglers(
    incarnations: Mapping[str, Incarnation],
    progress: ProgressTracker,
    store: JobStore,
    now_s: float,
) -> Iterator[Stragglers]:
    """Yield each slow worker with the runs to be restarted elsewhere."""
    by_service: dict[str, list[str]] = collections.defaultdict(list)
    for worker, known in incarnations.items():
        by_service[known.report.service].append(worker)
    for workers in by_service.values():
        slow = progress.slow(workers, now_s)
        for slow_worker, slowdown_factor in slow.items():
            incarnation = incarnations[slow_worker]
            runs = progress.stragglers(incarnation, store, slowdown_factor)
            yield Stragglers(slow_worker, tuple(runs), slowdown_factor)


def runs_to_copy(
    incarnations: Mapping[str, Incarnation],
    store: JobStore,
    now_s: float,
) -> Iterator[tuple[Incarnation, Run]]:
    """Yield the runs of silent workers that may get a speculative copy.

    A task that may have crashed a worker gets no copy.  Each copy is made
    before the lease of the crashed worker is over, so copies would crash three
    workers in the time in which the task would otherwise crash one.
    """
    for worker, incarnation in incarnations.items():
        if not incarnation.is_silent(now_s):
            continue
        for run in store.runs_of(worker).items():
            if _may_be_copied(run[0], store):
                yield incarnation, run


def _may_be_copied(key: TaskKey, store: JobStore) -> bool:
    task = store.task_of(key)
    if task is None or not store.allows_copies(key):
        return False
    return not task.crashes
