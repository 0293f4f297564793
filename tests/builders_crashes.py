"""Build fleets whose workers are crashed by some of their tasks."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Callable, Iterable

from tests.builders_jobs import JOB, FakeLead, key, workers
from wigeonreach.jobs import JobPhase, JobStore, Run, RunEnd, TaskKey
from wigeonreach.standins import StandInWorker

# A task fails after its third crash.  Two more starts are tolerated, as
# evidence of a crash arrives seconds after it.
CRASHES = 3
MOST_LATE_STARTS = 2
MOST_STARTS = CRASHES + MOST_LATE_STARTS
# How long a worker is cut off or a rack has no power; longer than a lease.
OUTAGE_S = 7.0
# Time from a crash until the VM has a new worker, as observed.
RESTART_DELAY_S = 3.2
_ROUND_S = 0.1
_WHOLE_PERCENT = 100


@dataclasses.dataclass(slots=True)
class _DownWorker:
    """A worker that is down, and when its VM has a new one."""

    worker: StandInWorker
    back_s: float


class CrashingFleet:
    """Stand-in workers that crash when they start certain tasks.

    Parameters
    ----------
    store
        The replicated state.
    workers
        The workers at the beginning.
    crashes
        Whether a task crashes each worker that starts it.
    work_s
        How long every other batch task takes.
    back_after_s
        How long a worker is down.
    successor
        Returns the next worker on the VM of one that was down.
    crashes_after_s
        How long such a task works before it crashes its worker.

    Attributes
    ----------
    lead
        The leader.
    starts
        Names of the workers on which each task was started.
    crashed
        Names of the crashed workers that ran each task.
    late_starts
        How often each task was started after ``CRASHES`` crashed workers.
    """

    def __init__(
        self,
        store: JobStore,
        workers: Iterable[StandInWorker],
        crashes: Callable[[TaskKey], bool],
        work_s: float = 0.5,
        back_after_s: float = RESTART_DELAY_S,
        successor: Callable[[StandInWorker], StandInWorker] | None = None,
        crashes_after_s: float = 0.0,
    ) -> None:
        """Begin with all workers up."""
        self.lead = FakeLead(store, workers)
        self.starts: dict[TaskKey, list[str]] = collections.defaultdict(list)
        self.crashed: dict[TaskKey, list[str]] = collections.defaultdict(list)
        self.late_starts = collections.Counter[TaskKey]()
        self._store = store
        self._crashes = crashes
        self._work_s = work_s
        self._back_after_s = back_after_s
        self._successor = successor or self._with_another_id
        self._down: list[_DownWorker] = []
        self._restarts = collections.Counter[str]()
        self._begun_s: dict[tuple[Run, str], float] = {}
        self._crashes_after_s = crashes_after_s

    @property
    def up(self) -> list[StandInWorker]:
        """Return the workers that are up."""
        return list(self.lead.workers.values())

    def run(self, for_s: float) -> None:
        """Simulate some time."""
        until_s = self.lead.now_s + for_s
        while self.lead.now_s < until_s:
            self.round()

    def round(self) -> None:
        """Simulate a tenth of a second."""
        self._replace_down()
        self.lead.round(_ROUND_S)
        for worker in self.up:
            self._work(worker)

    def crash_workers(
        self,
        workers: Iterable[StandInWorker],
        back_after_s: float | None = None,
    ) -> None:
        """Crash workers, whatever they run."""
        for worker in list(workers):
            self.lead.workers.pop(worker.name)
            self._forget_begun(worker)
            after_s = back_after_s or self._back_after_s
            self._down.append(_DownWorker(worker, self.lead.now_s + after_s))
            for task, _ in worker.running:
                self.crashed[task].append(worker.name)

    def change_leader(self) -> None:
        """Replace the leader by one that has heard no worker yet."""
        term = self.lead.term + 1
        self.lead = FakeLead(self._store, self.up, term, self.lead.now_s)

    def _replace_down(self) -> None:
        now_s = self.lead.now_s
        due = [down for down in self._down if down.back_s <= now_s]
        for down in due:
            self._down.remove(down)
            successor = self._successor(down.worker)
            self.lead.workers[successor.name] = successor

    def _with_another_id(self, worker: StandInWorker) -> StandInWorker:
        self._restarts[worker.vm] += 1
        return dataclasses.replace(
            worker,
            name=f'{worker.vm}-life{self._restarts[worker.vm]}',
            sequence=0,
            fence=0,
            running={},
            ended=[],
            over={},
        )

    def _work(self, worker: StandInWorker) -> None:
        now_s = self.lead.now_s
        self._note_begun(worker)
        if any(self._has_crashed(run, worker) for run in worker.running):
            self.crash_workers((worker,))
            return
        for ending in list(worker.running):
            if self._store.is_serving(ending[0]):
                continue
            worked_s = now_s - self._begun_s[ending, worker.name]
            done = min(worked_s / self._work_s, 1.0)
            worker.advance_one(ending, int(done * _WHOLE_PERCENT))
            if done >= 1 and self._is_whole(ending):
                worker.end(ending, RunEnd.DONE)

    def _has_crashed(self, run: Run, worker: StandInWorker) -> bool:
        worked_s = self.lead.now_s - self._begun_s[run, worker.name]
        return self._crashes(run[0]) and worked_s >= self._crashes_after_s

    def _forget_begun(self, worker: StandInWorker) -> None:
        """Forget start times, as the next worker may have the same name."""
        for run in worker.running:
            self._begun_s.pop((run, worker.name), None)

    def _note_begun(self, worker: StandInWorker) -> None:
        for run in worker.running:
            name = (run, worker.name)
            if name not in self._begun_s:
                self._begun_s[name] = self.lead.now_s
                self.starts[run[0]].append(worker.name)
                is_late = len(self.crashed.get(run[0], ())) >= CRASHES
                self.late_starts[run[0]] += is_late

    def _is_whole(self, run: Run) -> bool:
        """Whether a run may end: all members of its gang are running."""
        key, number = run
        job = self._store.jobs[key.job_id]
        running = {there for worker in self.up for there in worker.running}
        members = {(member, number) for member in job.step_keys(key)}
        return not job.step_spec(key).is_gang or members <= running


def is_first(task: TaskKey) -> bool:
    """Whether a task is the first of its step."""
    return task == key(0)


def crashes_nothing(task: TaskKey) -> bool:
    """Return False: no task crashes its workers."""
    return False


def phase_of(store: JobStore, job_id: str = JOB) -> JobPhase:
    """Return the phase of a job."""
    return store.jobs[job_id].phase


def crash_counts(store: JobStore, job_id: str = JOB) -> list[int]:
    """Return the number of crashes counted for each task of the first step."""
    record = store.jobs[job_id]
    return [len(task.crashes) for task in record.occurrences[0][0]]


def workers_on_racks(count: int, racks: int) -> list[StandInWorker]:
    """Return workers spread over racks, with two racks in each zone."""
    fleet = workers(count)
    for number, worker in enumerate(fleet):
        worker.rack = f'r{number % racks}'
        worker.zone = f'z{number % racks // 2}'
    return fleet
