"""Find runs that are begun anew elsewhere before they end.

Answers workers that are slow or cut off for some seconds: what they have would
end after its job is due.  A run of a slow worker is stopped first; one that can't
be reached goes on, so only work that may run twice is begun again before its
lease is over.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterator, Mapping

from wigeonreach.jobs import JobStore, Run, TaskKey
from wigeonreach.scheduling._incarnation import Incarnation
from wigeonreach.scheduling._progress import ProgressWatch


@dataclasses.dataclass(frozen=True, slots=True)
class Laggards:
    """Runs of a slow worker that end sooner if begun elsewhere.

    Attributes
    ----------
    slower_times
        How many times as long as on others a run takes there.
    """

    worker: str
    runs: tuple[Run, ...]
    slower_times: float


def laggards(
    incarnations: Mapping[str, Incarnation],
    progress: ProgressWatch,
    store: JobStore,
    now_s: float,
) -> Iterator[Laggards]:
    """Yield what slow workers would end later than others would."""
    by_service: dict[str, list[str]] = collections.defaultdict(list)
    for worker, known in incarnations.items():
        by_service[known.report.service].append(worker)
    for workers in by_service.values():
        slow = progress.slow(workers, now_s)
        for slow_worker, slower_times in slow.items():
            incarnation = incarnations[slow_worker]
            runs = progress.laggards(incarnation, store, slower_times)
            yield Laggards(slow_worker, tuple(runs), slower_times)


def copied(
    incarnations: Mapping[str, Incarnation],
    store: JobStore,
    now_s: float,
) -> Iterator[tuple[Incarnation, Run]]:
    """Yield the runs of silent workers beside which a copy may run.

    What may have brought a worker down has no copy: it would take down three in
    the time of one.
    """
    for worker, incarnation in incarnations.items():
        if not incarnation.is_silent(now_s):
            continue
        for run in store.held_by(worker).items():
            if _may_be_copied(run[0], store):
                yield incarnation, run


def _may_be_copied(key: TaskKey, store: JobStore) -> bool:
    task = store.task_of(key)
    if task is None or not store.may_run_twice(key):
        return False
    return not task.crashes
