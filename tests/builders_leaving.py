"""Build fleets whose workers leave while they run tasks."""

from __future__ import annotations

from tests.builders_jobs import FakeLead, job, step, store_with, workers
from wigeonreach.jobs import Run
from wigeonreach.standins import StandInWorker

# How long a worker drains before it announces its end, in seconds.
DRAINED_S = 2.5
_ROUND_S = 0.1
# So much of a worker that each task is alone on one.
_LARGE_MILLICORES = 9000
# How long a task takes; longer than a test.
_WORK_S = 60.0
_MS_PER_S = 1000
_WHOLE_PERCENT = 100


class LeavingFleet:
    """Two workers with a large task each, and two without one.

    Their leases are counted on a clock of the test, so that a run that a worker
    goes on with unheard is known.

    Attributes
    ----------
    lead
        The leader.
    leaving
        The workers that have a task at first.
    """

    def __init__(self) -> None:
        """Start a task on each of two workers."""
        everyone = workers(4)
        large = step(
            2,
            cpu_millicores=_LARGE_MILLICORES,
            estimate_ms=int(_WORK_S * _MS_PER_S),
        )
        self.store = store_with(job(large))
        self.lead = FakeLead(self.store, everyone)
        self._cut: list[StandInWorker] = []
        self.run(1.0)
        self.leaving = [worker for worker in everyone if worker.running]

    def drain(self) -> None:
        """Let the workers with a task drain as long as the platform says."""
        for worker in self.leaving:
            worker.is_draining = True
        self.run(DRAINED_S)

    def announce(self) -> None:
        """Let the leader receive the announcements of their end."""
        assert all(worker.running for worker in self.leaving)
        for worker in self.leaving:
            self.lead.scheduler.workers.mark_leaving(
                worker.name, self.lead.now_s
            )

    def cut(self) -> None:
        """Lose all messages of the leaving workers from now on."""
        for worker in self.leaving:
            self.lead.workers.pop(worker.name)
            self._cut.append(worker)

    def change_leader(self) -> None:
        """Replace the leader by one that has heard no worker yet."""
        self.lead = FakeLead(
            self.store,
            self.lead.workers.values(),
            self.lead.term + 1,
            self.lead.now_s,
        )

    def run(self, for_s: float) -> None:
        """Simulate some time."""
        until_s = self.lead.now_s + for_s
        while self.lead.now_s < until_s:
            self.round()

    def round(self) -> None:
        """Simulate a tenth of a second; leases that are over end runs."""
        lead = self.lead
        lead.now_s += _ROUND_S
        for worker in self._all():
            worker.lapse(lead.now_s)
            worker.advance(int(lead.now_s / _WORK_S * _WHOLE_PERCENT))
        for heard in lead.workers.values():
            lead.hear(heard)
        lead.plan()
        for receiver in lead.workers.values():
            name = receiver.incarnation
            known = lead.scheduler.workers.incarnations.get(name)
            if known is not None:
                orders = lead.scheduler.answers.orders(known, lead.now_s)
                receiver.obey(orders, percent=0, sent_s=lead.now_s)

    def most_runs(self) -> int:
        """Return how many runs the task with the most runs has now."""
        tasks = [task for task, _ in self._running()]
        return max((tasks.count(task) for task in tasks), default=0)

    def is_restarted(self) -> bool:
        """Whether each task of the leaving workers runs on another one."""
        on_others = {
            run
            for worker in self.lead.workers.values()
            if worker not in self.leaving
            for run in worker.running
        }
        return len(on_others) == len(self.leaving)

    def seconds_until_restart(self, limit_s: float) -> float:
        """Simulate until the tasks run elsewhere; return how long it took."""
        began_s = self.lead.now_s
        while not self.is_restarted() and self.lead.now_s - began_s < limit_s:
            self.round()
        return self.lead.now_s - began_s

    def _all(self) -> list[StandInWorker]:
        return [*self.lead.workers.values(), *self._cut]

    def _running(self) -> list[Run]:
        return [run for worker in self._all() for run in worker.running]
