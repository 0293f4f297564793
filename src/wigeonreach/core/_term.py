"""The leader's term: collects heartbeats, schedules and replies."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Sequence

from wigeonreach.agreement import Agreement
from wigeonreach.core._barrier import SharedReadBarrier
from wigeonreach.core._clock import WallClock, steady_s
from wigeonreach.core._cycle_stats import CycleStats
from wigeonreach.core._decision_guard import Decision, DecisionGuard
from wigeonreach.core._forgetting import Forgetting
from wigeonreach.core._term_log import TermLog
from wigeonreach.exceptions import StateError
from wigeonreach.jobs import (
    BeginTerm,
    Command,
    CommandResult,
    JobStore,
    RecordRuns,
    RunCrashed,
    RunEnded,
    RunStarted,
    decode_reply,
    encode_command,
)
from wigeonreach.observe import Logger, Metrics
from wigeonreach.scheduling import (
    Incarnation,
    Scheduler,
    SchedulingSettings,
)
from wigeonreach.wire._worker_messages import WorkerOrders, WorkerReport

_MAX_WAIT_S = 0.05
# A heartbeat comes at least every second, and a lease lasts for a few of them.
_MAX_FAILED_HEARTBEATS = 3


@dataclasses.dataclass(slots=True)
class _Heartbeat:
    """A heartbeat that waits for its reply."""

    report: WorkerReport
    received_s: float
    reply: asyncio.Future[WorkerOrders | None]
    incarnation: Incarnation | None = None

    def resolve(self, orders: WorkerOrders | None) -> None:
        """Set the reply unless the waiter has gone."""
        if not self.reply.done():
            self.reply.set_result(orders)


class LeaderTerm:
    """The work of a core process during one term as the leader.

    Parameters
    ----------
    agreement, store
        The replicated log and the state machine that it drives.
    term
        Number of the term.
    settings, wall_clock
        Settings and wall clock of the scheduler.
    logger, metrics
        Log and count the decisions.
    guard
        Contains unexpected errors of single decisions.
    """

    def __init__(
        self,
        agreement: Agreement,
        store: JobStore,
        term: int,
        settings: SchedulingSettings,
        wall_clock: WallClock,
        logger: Logger,
        metrics: Metrics,
        guard: DecisionGuard,
    ) -> None:
        """Prepare; the scheduler is created by ``begin``."""
        self.term = term
        self.barrier = SharedReadBarrier(agreement)
        self.wake = asyncio.Event()
        self._agreement = agreement
        self._store = store
        self._settings = settings
        self.wall_clock = wall_clock
        self._log = TermLog(store, logger, metrics)
        self._metrics = metrics
        self._scheduler: Scheduler | None = None
        self._received: list[_Heartbeat] = []
        self._pending: list[_Heartbeat] = []
        self._forgetting = Forgetting(store)
        self._cycle_stats = CycleStats(steady_s())
        self.guard = guard
        guard.begin_term()
        # Heartbeats in a row that could not be processed, by worker.
        self._failed_heartbeats = collections.Counter[str]()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler; only available once the term has begun."""
        assert self._scheduler is not None
        return self._scheduler

    @property
    def has_begun(self) -> bool:
        """Whether ``begin`` is done, so that earlier leaders are fenced off."""
        return self._scheduler is not None

    async def propose(self, command: Command) -> CommandResult:
        """Replicate a command and return its result.

        Raises
        ------
        StateError
            If a quorum did not confirm; the command may still be applied.
        """
        encoded = encode_command(command)
        began_s = steady_s()
        reply = decode_reply(await self._agreement.propose(encoded))
        self._metrics.observe_s('commit', steady_s() - began_s)
        return reply.verdict

    async def begin(self) -> None:
        """Fence off earlier leaders, then create the scheduler.

        Raises
        ------
        StateError
            If a quorum did not confirm.
        """
        await self.propose(BeginTerm(self.term))
        self._scheduler = Scheduler(
            self._store,
            self.term,
            steady_s(),
            self._settings,
            self.wall_clock.now_ms(),
        )
        self._log.term_began(self.term)

    async def receive_heartbeat(
        self, report: WorkerReport
    ) -> WorkerOrders | None:
        """Return a heartbeat's orders; None if a cycle failed or term ended."""
        heartbeat = _Heartbeat(report, steady_s(), asyncio.Future())
        self._received.append(heartbeat)
        self.wake.set()
        return await heartbeat.reply

    def mark_leaving(self, worker: str) -> None:
        """Record that a worker announced its shutdown."""
        self.scheduler.workers.mark_leaving(worker, steady_s())

    async def run(self) -> None:
        """Run scheduling cycles until cancelled."""
        try:
            while True:
                await self._wait()
                await self._try_cycle()
        finally:
            self._resolve_all()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(_MAX_WAIT_S):
                await self.wake.wait()
        except TimeoutError:
            return
        self.wake.clear()

    async def _try_cycle(self) -> None:
        # Neither a failed commit nor an unexpected error ends the term: only the
        # waiting heartbeats get no orders.
        try:
            with self.guard.contain(Decision.CYCLE):
                await self._cycle()
                return
        except StateError as error:
            waiting = len(self._received) + len(self._pending)
            self._log.cycle_failed(self.term, str(error), waiting)
        self._resolve_all()

    async def _cycle(self) -> None:
        received = self._received
        self._received = []
        self._pending.extend(received)
        began_s = steady_s()
        await self._decide(received, began_s)
        took_s = steady_s() - began_s
        self._metrics.observe_s('cycle', took_s)
        self._cycle_stats.record(took_s, len(received))
        figures = self._cycle_stats.take_if_due(steady_s())
        if figures is not None:
            self._log.cycle_stats(self.term, figures)

    async def _decide(
        self,
        received: Sequence[_Heartbeat],
        now_s: float,
    ) -> None:
        ends = self._process_heartbeats(received, now_s)
        lost: tuple[RunEnded, ...] = ()
        crashes: tuple[RunCrashed, ...] = ()
        with self.guard.contain(Decision.LOSSES):
            lost = self.scheduler.take_lost_runs(now_s)
            crashes = self.scheduler.crashes_to_record(now_s)
        self._log.runs_reassigned(lost)
        self._log.beliefs_changed(self.scheduler.notes)
        self.scheduler.notes.clear()
        self._log.pools_planned(self.scheduler.shortage.figures)
        await self._record_ends((*ends, *lost), crashes)
        for heartbeat in received:
            _mark_ends_recorded(heartbeat)
        starts = self._plan()
        await self._record_starts(starts)
        if received and not ends and not starts:
            # A commit of ends or starts would have confirmed leadership.
            await self.barrier.wait()
        self._answer_pending(steady_s())

    def _plan(self) -> tuple[RunStarted, ...]:
        """Return the runs to start; none if they could not be chosen."""
        with self.guard.contain(Decision.PLACING):
            return self.scheduler.plan(steady_s(), self.wall_clock.now_ms())
        self.scheduler.discard_plan()
        return ()

    def _process_heartbeats(
        self,
        received: Sequence[_Heartbeat],
        now_s: float,
    ) -> tuple[RunEnded, ...]:
        ends: list[RunEnded] = []
        for heartbeat in received:
            processed: tuple[RunEnded, ...] | None = None
            with self.guard.contain(Decision.HEARTBEAT):
                processed = self._process_heartbeat(heartbeat)
            if processed is None:
                self._note_failed_heartbeat(heartbeat, now_s)
            else:
                self._failed_heartbeats.pop(heartbeat.report.worker, None)
                ends.extend(processed)
        self._metrics.count('heartbeats', amount=len(received))
        return tuple(ends)

    def _process_heartbeat(self, heartbeat: _Heartbeat) -> tuple[RunEnded, ...]:
        """Apply a heartbeat; return the ends that it reports."""
        report = heartbeat.report
        is_known = report.worker in self.scheduler.workers.incarnations
        result = self.scheduler.process_heartbeat(report, heartbeat.received_s)
        if result is None:
            self._log_ignored(report)
            heartbeat.resolve(WorkerOrders())
            return ()
        heartbeat.incarnation = result.incarnation
        if result.stalled:
            self._log.runs_stopped(result)
        if not is_known:
            self._log.worker_joined(report)
        return result.ends

    def _note_failed_heartbeat(
        self, heartbeat: _Heartbeat, now_s: float
    ) -> None:
        """Answer without a lease; after some in a row, let the lease expire.

        The heartbeat counts as heard, so the worker's runs would otherwise be
        assigned to it although it gets no orders.
        """
        worker = heartbeat.report.worker
        heartbeat.resolve(WorkerOrders())
        self._failed_heartbeats[worker] += 1
        if self._failed_heartbeats[worker] >= _MAX_FAILED_HEARTBEATS:
            self._failed_heartbeats.pop(worker)
            self.scheduler.workers.withhold_lease(worker, now_s)

    def _log_ignored(self, report: WorkerReport) -> None:
        if self.scheduler.is_foreign(report):
            self._log.heartbeat_foreign(report)
            return
        has_ended = self.scheduler.workers.has_ended(report.worker)
        self._log.heartbeat_late(report, has_ended)

    async def _record_ends(
        self,
        ends: tuple[RunEnded, ...],
        crashes: tuple[RunCrashed, ...],
    ) -> None:
        if not ends and not crashes:
            return
        tasks = [ended.task for ended in ends]
        tasks.extend(crashed.task for crashed in crashes)
        before = {
            task.job_id: self._store.jobs[task.job_id].phase
            for task in tasks
            if task.job_id in self._store.jobs
        }
        record = RecordRuns(self.term, ends=ends, crashes=crashes)
        await self._record(record)
        for ended in ends:
            self._log.run_ended(ended)
        for crashed in crashes:
            self._log.run_crashed(crashed)
        self.scheduler.crashes.note_recorded(crashes)
        for job_id, phase in before.items():
            job = self._store.jobs.get(job_id)
            if job is not None and job.phase is not phase:
                self.scheduler.advice.forget(job_id)
                self._log.job_ended(job, self._age_s(job_id))

    async def _record_starts(self, starts: tuple[RunStarted, ...]) -> None:
        if not starts:
            return
        await self._record(RecordRuns(self.term, starts=starts))
        self._log.runs_ordered(starts, self.scheduler.take_start_places())

    def _age_s(self, job_id: str) -> float:
        accepted_s = self.scheduler.ready.accepted_s(job_id)
        return 0.0 if accepted_s is None else steady_s() - accepted_s

    async def _record(self, command: RecordRuns) -> None:
        result = await self.propose(command)
        if result is CommandResult.OUTDATED:
            # A newer leader has begun, so this task ends as if cancelled.
            raise asyncio.CancelledError

    def _answer_pending(self, now_s: float) -> None:
        still_pending: list[_Heartbeat] = []
        for heartbeat in self._pending:
            if heartbeat.reply.done():
                continue
            orders: WorkerOrders | None = WorkerOrders()
            with self.guard.contain(Decision.ANSWER):
                orders = self._orders_due(heartbeat, now_s)
            if orders is None:
                still_pending.append(heartbeat)
            else:
                heartbeat.resolve(orders)
        self._pending = still_pending

    def _orders_due(
        self,
        heartbeat: _Heartbeat,
        now_s: float,
    ) -> WorkerOrders | None:
        """Return a worker's orders, or None to keep its heartbeat waiting."""
        incarnation = heartbeat.incarnation
        if incarnation is None:
            return WorkerOrders()
        return self.scheduler.answers.answer_if_due(
            incarnation, heartbeat.received_s, now_s
        )

    async def forget_ended(self) -> None:
        """Delete ended jobs and early cancels that nobody asks for any more.

        Raises
        ------
        StateError
            If a quorum did not confirm.
        """
        with self.guard.contain(Decision.FORGETTING):
            await self._forget_ended()

    async def _forget_ended(self) -> None:
        command = self._forgetting.due(steady_s())
        if command is not None:
            await self.propose(command)

    def _resolve_all(self) -> None:
        for heartbeat in (*self._received, *self._pending):
            heartbeat.resolve(None)
        self._received = []
        self._pending = []


def _mark_ends_recorded(heartbeat: _Heartbeat) -> None:
    """Mark the ends that a worker reported as recorded."""
    incarnation = heartbeat.incarnation
    if incarnation is not None:
        # From the incarnation's own report: a repeated heartbeat may come from
        # another writer.
        for ended in incarnation.report.ended:
            incarnation.last_recorded_end = max(
                incarnation.last_recorded_end, ended.number
            )
