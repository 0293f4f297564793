"""Give up runs whose workers can no longer report their end."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping

from wigeonreach.jobs import JobStore, Run, RunEnd, RunEnded
from wigeonreach.scheduling._crashes import CrashTracker
from wigeonreach.scheduling._incarnation import (
    EndedIncarnation,
    Incarnation,
)
from wigeonreach.scheduling._progress import ProgressTracker
from wigeonreach.scheduling._speculation import runs_to_copy
from wigeonreach.scheduling._workers import Workers

# The leader checks leases every 0.05 s.  If a check is this late, the process
# was stalled and did not receive heartbeats either.
_STALL_S = 0.5
# Each worker sends a heartbeat within this time, even if its last one timed
# out.
_LISTEN_S = 1.5


class LostRuns:
    """Finds the runs of ended workers, and runs of silent ones to copy.

    Parameters
    ----------
    store
        The replicated state; it is only read.
    workers
        The incarnations heard in this term.
    progress
        Tells how long runs have been listed.
    now_s
        When the term began.

    Attributes
    ----------
    crashes
        Evidence against runs from the loss of their workers.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Workers,
        progress: ProgressTracker,
        now_s: float,
    ) -> None:
        """Start with no run given up."""
        self._store = store
        self._workers = workers
        self.crashes = CrashTracker(store, workers, progress, now_s)
        self._last_check_s = now_s
        self._listening_since_s = now_s

    def of_ended_workers(
        self,
        ended: Mapping[str, EndedIncarnation],
        now_s: float,
    ) -> tuple[RunEnded, ...]:
        """Return the runs of workers that have ended.

        Parameters
        ----------
        ended
            The ended workers that were heard in this term.
        now_s
            Clock in seconds.
        """
        lost: list[RunEnded] = []
        for worker, ending in ended.items():
            held = self._store.runs_of(worker).items()
            begun = self._note_lost(ending.incarnation, held, now_s)
            lost.extend(self._lost_end(worker, run, begun) for run in held)
        for unheard in self._unheard_workers(now_s):
            if unheard in ended:
                continue
            # It is not known which of these their worker began.
            unknown = self._store.runs_of(unheard).items()
            lost.extend(
                self._lost_end(unheard, run, unknown) for run in unknown
            )
        return tuple(lost)

    def _note_lost(
        self,
        incarnation: Incarnation,
        held: Collection[Run],
        now_s: float,
    ) -> Collection[Run]:
        """Note the loss of a worker; return its runs that may have begun."""
        if incarnation.withheld_s is None:
            return self.crashes.note_lost(incarnation, held, now_s)
        # It was heard until its lease was over, so no run has crashed it.
        return {(row.task, row.run) for row in incarnation.running}

    def to_be_copied(self, now_s: float) -> tuple[RunEnded, ...]:
        """Return runs of silent workers as lost, so that copies may start."""
        if not self._has_listened_long(now_s):
            return ()
        incarnations = self._workers.incarnations
        found = tuple(runs_to_copy(incarnations, self._store, now_s))
        return tuple(
            self._lost_end(
                incarnation.report.worker,
                run,
                self.crashes.note_lost(incarnation, (run,), now_s),
            )
            for incarnation, run in found
        )

    def _unheard_workers(self, now_s: float) -> Iterator[str]:
        """Yield the ended workers with runs that are not tracked any more."""
        for worker in tuple(self._store.assigned_runs):
            if not self._workers.is_over(worker, now_s):
                continue
            if not self._workers.was_heard(worker):
                self.crashes.note_unheard(worker, now_s)
            yield worker

    def _lost_end(
        self,
        worker: str,
        run: Run,
        begun: Collection[Run],
    ) -> RunEnded:
        key, number = run
        task = self._store.task_of(key)
        saved = task.checkpoint if task else ''
        return RunEnded(
            key,
            number,
            worker,
            RunEnd.LOST,
            saved,
            may_have_begun=run in begun,
        )

    def _has_listened_long(self, now_s: float) -> bool:
        """Whether this process has run long enough to hear every worker.

        After a stall of the process all workers look silent although none is.
        """
        if now_s - self._last_check_s > _STALL_S:
            self._listening_since_s = now_s
        self._last_check_s = now_s
        return now_s - self._listening_since_s >= _LISTEN_S
