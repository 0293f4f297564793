"""Stand-in for a worker that runs tasks under a lease."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Iterator

from wigeonreach.jobs import Run, RunEnd, TaskKey
from wigeonreach.wire._worker_messages import (
    EndedRun,
    RunningTask,
    StartOrder,
    WorkerOrders,
    WorkerReport,
    incarnation_name,
)

_MS_PER_S = 1000


@dataclasses.dataclass(slots=True)
class StandInWorker:
    """Simulated worker: follows orders, but performs no work.

    Attributes
    ----------
    name
        Id of the worker, kept across restarts.
    vm
        VM that the worker runs on; it outlives the worker.
    born_ms
        Start time, in milliseconds since 1970; None if not reported.
    clock_ms
        Reading of its monotonic clock; None if not reported.
    fence
        Highest fencing token received; orders with a lower one are ignored.
    lease_until_s
        When its lease expires, on the clock that is passed to ``obey``.
    running, ended
        Active runs, and ended runs, listed until they are acknowledged.
    over
        Highest ended run of each task; a run up to it is refused.
    """

    name: str
    vm: str
    service: str = 'desk'
    cpu_millicores: int = 16_000
    memory_mb: int = 32 * 1024
    sequence: int = 0
    is_draining: bool = False
    zone: str = 'a'
    rack: str = 'rack'
    kind: str = 'kind'
    fence: int = 0
    lease_until_s: float = 0.0
    running: dict[Run, RunningTask] = dataclasses.field(default_factory=dict)
    ended: list[EndedRun] = dataclasses.field(default_factory=list)
    over: dict[TaskKey, int] = dataclasses.field(default_factory=dict)
    born_ms: int | None = None
    clock_ms: int | None = None
    _end_numbers: Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1),
    )

    @property
    def incarnation(self) -> str:
        """Name of the current incarnation."""
        return incarnation_name(self.name, self.born_ms)

    @property
    def last_report(self) -> WorkerReport:
        """The latest heartbeat."""
        return WorkerReport(
            worker=self.incarnation,
            vm=self.vm,
            service=self.service,
            address='127.0.0.1:1',
            zone=self.zone,
            sequence=self.sequence,
            is_draining=self.is_draining,
            cpu_millicores=self.cpu_millicores,
            memory_mb=self.memory_mb,
            labels=(self.kind, self.rack),
            rack=self.rack,
            running=tuple(self.running.values()),
            ended=tuple(self.ended),
            clock_ms=self.clock_ms,
        )

    def report(self) -> WorkerReport:
        """Return the next heartbeat."""
        self.sequence += 1
        return self.last_report

    def restart(self, born_ms: int) -> None:
        """Restart with the same id and without any earlier state."""
        self.born_ms = born_ms
        self.sequence = 0
        self.fence = 0
        self.lease_until_s = 0.0
        self.is_draining = False
        self.running = {}
        self.ended = []
        self.over = {}
        self._end_numbers = itertools.count(1)

    def obey(
        self,
        orders: WorkerOrders,
        percent: int = 100,
        sent_s: float = 0.0,
    ) -> tuple[StartOrder, ...]:
        """Stop and start runs as ordered.

        Parameters
        ----------
        orders
            Answer to the latest heartbeat.
        percent
            Initial progress of started runs.
        sent_s
            When that heartbeat was sent, in seconds.

        Returns
        -------
        tuple of StartOrder
            The orders of the runs that were started.
        """
        if orders.fence < self.fence:
            return ()
        self.fence = orders.fence
        if orders.lease_ms:
            lease_until_s = sent_s + orders.lease_ms / _MS_PER_S
            self.lease_until_s = max(self.lease_until_s, lease_until_s)
        self.ended = [
            ended for ended in self.ended if ended.number > orders.acknowledged
        ]
        for stop in orders.stops:
            if (stop.task, stop.run) in self.running:
                self.end((stop.task, stop.run), RunEnd.STOPPED)
        if not orders.lease_ms:
            return ()
        started = tuple(
            start for start in orders.starts if self._may_start(start)
        )
        for start in started:
            run = (start.task, start.run)
            self.running[run] = RunningTask(*run, '', percent)
        return started

    def lapse(self, now_s: float) -> None:
        """End all runs if the lease has expired."""
        if now_s > self.lease_until_s:
            for run in list(self.running):
                self.end(run, RunEnd.LAPSED)

    def advance(self, percent: int) -> None:
        """Set the progress of all runs."""
        for run in self.running:
            self.advance_one(run, percent)

    def advance_one(self, run: Run, percent: int) -> None:
        """Set the progress of one run."""
        self.running[run] = RunningTask(*run, '', percent)

    def end(self, run: Run, how: RunEnd) -> None:
        """End a run and report it in the next heartbeats."""
        self.running.pop(run)
        self._report_end(run, how)

    def _may_start(self, start: StartOrder) -> bool:
        """Refuse a run that is not newer than one that ended here."""
        if start.run > self.over.get(start.task, 0):
            return True
        self._report_end((start.task, start.run), RunEnd.REFUSED)
        return False

    def _report_end(self, run: Run, how: RunEnd) -> None:
        self.over[run[0]] = max(run[1], self.over.get(run[0], 0))
        self.ended.append(EndedRun(next(self._end_numbers), *run, how))
