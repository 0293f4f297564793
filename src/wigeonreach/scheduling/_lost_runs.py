"""Give up runs that their workers can't tell the end of."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from wigeonreach.jobs import JobStore, Run, RunEnd, RunEnded
from wigeonreach.scheduling._crashes import CrashWatch
from wigeonreach.scheduling._incarnation import EndedIncarnation
from wigeonreach.scheduling._progress import ProgressWatch
from wigeonreach.scheduling._second_runs import copied
from wigeonreach.scheduling._workers import Workers

# A leader looks at leases every 0.05 s; whatever kept it for longer also kept
# heartbeats.
_STALL_S = 0.5
# Each worker sends within this, also if its last heartbeat was given up.
_LISTEN_S = 1.5


class LostRuns:
    """Find the runs of workers that are over, and those that may have a copy.

    Parameters
    ----------
    store
        What runs where; it is only read.
    workers
        Those that are heard.
    progress
        Since when runs are at work.
    now_s
        When the term began.

    Attributes
    ----------
    crashes
        What the losses say of the runs.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        progress: ProgressWatch,
        now_s: float,
    ) -> None:
        """Have given up nothing."""
        self._store = store
        self._workers = workers
        self.crashes = CrashWatch(store, workers, progress, now_s)
        self._looked_s = now_s
        self._awake_s = now_s

    def of_ended(
        self,
        ended: Mapping[str, EndedIncarnation],
        now_s: float,
    ) -> tuple[RunEnded, ...]:
        """Return the runs of workers that are over.

        Parameters
        ----------
        ended
            Those of them that were heard until now.
        now_s
            Clock in seconds.
        """
        for worker, ending in ended.items():
            held = self._store.held_by(worker).items()
            self.crashes.note_lost(ending.incarnation, held, now_s)
        over = {*ended, *self._unheard(now_s)}
        return tuple(
            self._lost(worker, run)
            for worker in sorted(over)
            for run in self._store.held_by(worker).items()
        )

    def doubled(self, now_s: float) -> tuple[RunEnded, ...]:
        """Return the runs of silent workers of which copies may begin."""
        if not self._is_awake(now_s):
            return ()
        incarnations = self._workers.incarnations
        found = tuple(copied(incarnations, self._store, now_s))
        for incarnation, run in found:
            self.crashes.note_lost(incarnation, (run,), now_s)
        return tuple(
            self._lost(incarnation.report.worker, run)
            for incarnation, run in found
        )

    def _unheard(self, now_s: float) -> Iterator[str]:
        """Yield the workers with runs that are over and are not followed."""
        for worker in tuple(self._store.assigned):
            if not self._workers.is_over(worker, now_s):
                continue
            if not self._workers.was_heard(worker):
                self.crashes.note_unheard(worker, now_s)
            yield worker

    def _lost(self, worker: str, run: Run) -> RunEnded:
        key, number = run
        task = self._store.task_of(key)
        saved = task.checkpoint if task else ''
        return RunEnded(key, number, worker, RunEnd.LOST, saved)

    def _is_awake(self, now_s: float) -> bool:
        """Whether this process has listened for as long as workers may take.

        One that stood still finds all its workers silent, and none is.
        """
        if now_s - self._looked_s > _STALL_S:
            self._awake_s = now_s
        self._looked_s = now_s
        return now_s - self._awake_s >= _LISTEN_S
