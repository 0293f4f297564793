"""Lead for one term: hear workers, decide, and answer them."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Sequence

from wigeonreach.agreement import Agreement
from wigeonreach.core._barrier import SharedBarrier
from wigeonreach.core._clock import DayClock, steady_s
from wigeonreach.core._term_load import TermLoad
from wigeonreach.core._term_log import TermLog
from wigeonreach.exceptions import StateError
from wigeonreach.jobs import (
    BeginTerm,
    Command,
    ForgetJobs,
    JobStore,
    RecordRuns,
    RunCrashed,
    RunEnded,
    RunStarted,
    Verdict,
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

_TICK_S = 0.05
# Longer than the status of a job that ended may be asked for (120 s).
_KEEP_ENDED_S = 150.0


@dataclasses.dataclass(slots=True)
class _Heartbeat:
    """A heartbeat that waits for its answer."""

    report: WorkerReport
    came_s: float
    answer: asyncio.Future[WorkerOrders | None]
    incarnation: Incarnation | None = None

    def settle(self, orders: WorkerOrders | None) -> None:
        """Answer, unless whoever waits has gone."""
        if not self.answer.done():
            self.answer.set_result(orders)


class LeaderTerm:
    """What a core process does while it leads.

    Parameters
    ----------
    agreement, store
        The replicated state and how it is changed.
    term
        Which this is.
    settings, day_clock
        What decisions go by.
    logger, metrics
        Where decisions are logged and counted.
    """

    def __init__(
        self,
        agreement: Agreement,
        store: JobStore,
        term: int,
        settings: SchedulingSettings,
        day_clock: DayClock,
        logger: Logger,
        metrics: Metrics,
    ) -> None:
        """Decide nothing before ``begin``."""
        self.term = term
        self.barrier = SharedBarrier(agreement)
        self.wake = asyncio.Event()
        self._agreement = agreement
        self._store = store
        self._settings = settings
        self.day_clock = day_clock
        self._log = TermLog(store, logger, metrics)
        self._metrics = metrics
        self._scheduler: Scheduler | None = None
        self._arrived: list[_Heartbeat] = []
        self._held: list[_Heartbeat] = []
        self._ended_s: dict[str, float] = {}
        self._load = TermLoad(steady_s())

    @property
    def scheduler(self) -> Scheduler:
        """What decides; only there once the term began."""
        assert self._scheduler is not None
        return self._scheduler

    @property
    def has_begun(self) -> bool:
        """Whether earlier leaders can record nothing any more."""
        return self._scheduler is not None

    async def propose(self, command: Command) -> Verdict:
        """Replicate a command.

        Raises
        ------
        StateError
            If a quorum did not confirm: the command may still be applied.
        """
        encoded = encode_command(command)
        began_s = steady_s()
        reply = decode_reply(await self._agreement.propose(encoded))
        self._metrics.observe_s('commit', steady_s() - began_s)
        return reply.verdict

    async def begin(self) -> None:
        """Shut earlier leaders out, then start to decide.

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
            self.day_clock.now_ms(),
        )
        self._log.term_began(self.term)

    async def hear(self, report: WorkerReport) -> WorkerOrders | None:
        """Take a heartbeat; return its answer, or None if there is none."""
        heartbeat = _Heartbeat(report, steady_s(), asyncio.Future())
        self._arrived.append(heartbeat)
        self.wake.set()
        return await heartbeat.answer

    def note_leaving(self, worker: str) -> None:
        """Take note that a worker says that it ends."""
        self.scheduler.workers.leave(worker, steady_s())

    async def run(self) -> None:
        """Decide until cancelled."""
        try:
            while True:
                await self._wait()
                await self._cycle_safely()
        finally:
            self._settle_all()

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(_TICK_S):
                await self.wake.wait()
        except TimeoutError:
            return
        self.wake.clear()

    async def _cycle_safely(self) -> None:
        try:
            await self._cycle()
        except StateError as error:
            # The term may go on: only what waited now gets no answer.
            waiting = len(self._arrived) + len(self._held)
            self._log.cycle_failed(self.term, str(error), waiting)
            self._settle_all()

    async def _cycle(self) -> None:
        arrived = self._arrived
        self._arrived = []
        self._held.extend(arrived)
        began_s = steady_s()
        await self._decide(arrived, began_s)
        took_s = steady_s() - began_s
        self._metrics.observe_s('cycle', took_s)
        self._load.note(took_s, len(arrived))
        figures = self._load.take_due(steady_s())
        if figures is not None:
            self._log.load(self.term, figures)

    async def _decide(
        self,
        arrived: Sequence[_Heartbeat],
        now_s: float,
    ) -> None:
        ends = self._hear_all(arrived, now_s)
        lost = self.scheduler.lost(now_s)
        crashes = self.scheduler.crashed(now_s)
        self._log.reassigned(lost)
        self._log.notes(self.scheduler.notes)
        self.scheduler.notes.clear()
        await self._record_ends((*ends, *lost), crashes)
        for heartbeat in arrived:
            _note_ends(heartbeat)
        starts = self.scheduler.plan(steady_s(), self.day_clock.now_ms())
        await self._record_starts(starts)
        if arrived and not ends and not starts:
            await self.barrier.wait()
        self._answer(steady_s())

    def _hear_all(
        self,
        arrived: Sequence[_Heartbeat],
        now_s: float,
    ) -> tuple[RunEnded, ...]:
        ends: list[RunEnded] = []
        for heartbeat in arrived:
            known = self.scheduler.workers.incarnations.get(
                heartbeat.report.worker
            )
            heard = self.scheduler.hear(heartbeat.report, heartbeat.came_s)
            if heard is None:
                self._note_ignored(heartbeat.report)
                heartbeat.settle(WorkerOrders())
                continue
            heartbeat.incarnation = heard.incarnation
            ends.extend(heard.ends)
            if heard.stalled:
                self._log.stopped_stalled(heard)
            if known is None:
                self._log.joined(heartbeat.report)
        self._metrics.count('heartbeats', amount=len(arrived))
        return tuple(ends)

    def _note_ignored(self, report: WorkerReport) -> None:
        if self.scheduler.is_foreign(report):
            self._log.foreign(report)
            return
        is_over = self.scheduler.workers.is_gone(report.worker)
        self._log.late(report, is_over)

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
        self._log.runs_ordered(starts)

    def _age_s(self, job_id: str) -> float:
        accepted_s = self.scheduler.ready.accepted_s(job_id)
        return 0.0 if accepted_s is None else steady_s() - accepted_s

    async def _record(self, command: RecordRuns) -> None:
        verdict = await self.propose(command)
        if verdict is Verdict.OUTDATED:
            raise asyncio.CancelledError

    def _answer(self, now_s: float) -> None:
        still_held: list[_Heartbeat] = []
        for heartbeat in self._held:
            if heartbeat.answer.done():
                continue
            orders = self._orders_due(heartbeat, now_s)
            if orders is None:
                still_held.append(heartbeat)
            else:
                heartbeat.settle(orders)
        self._held = still_held

    def _orders_due(
        self,
        heartbeat: _Heartbeat,
        now_s: float,
    ) -> WorkerOrders | None:
        """Return a worker's orders, or None to wait until there are some."""
        incarnation = heartbeat.incarnation
        if incarnation is None:
            return WorkerOrders()
        return self.scheduler.answers.due(incarnation, heartbeat.came_s, now_s)

    async def forget_ended(self) -> None:
        """Forget jobs that ended so long ago that nobody may ask."""
        now_s = steady_s()
        for job in self._store.jobs.values():
            if not job.is_active:
                self._ended_s.setdefault(job.spec.job_id, now_s)
        old = tuple(
            job_id
            for job_id, ended_s in self._ended_s.items()
            if now_s - ended_s > _KEEP_ENDED_S
        )
        if old:
            await self.propose(ForgetJobs(old))
            for job_id in old:
                self._ended_s.pop(job_id)

    def _settle_all(self) -> None:
        for heartbeat in (*self._arrived, *self._held):
            heartbeat.settle(None)
        self._arrived = []
        self._held = []


def _note_ends(heartbeat: _Heartbeat) -> None:
    """Take note that the ends a worker told of are recorded."""
    incarnation = heartbeat.incarnation
    if incarnation is not None:
        # Of what it told: a repeated heartbeat may be of another writer.
        for ended in incarnation.report.ended:
            incarnation.noted = max(incarnation.noted, ended.number)
